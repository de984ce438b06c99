// Package balance chooses the backend server for a call from the calling node's own evidence: calls in flight, observed
// latency, then reported load, nearest place first. It does no I/O.
package balance
