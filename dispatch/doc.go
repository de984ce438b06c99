// Package dispatch chooses the backend server for a call by locality, free capacity and observed run time. It does no I/O;
// the caller passes in the time and the source of random numbers.
package dispatch
