// Package balance chooses the backend server for a call by locality, calls in flight, observed latency and reported load. It
// relies on the calling node's own observations first. It does no I/O.
package balance
