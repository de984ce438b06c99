// Package dispatch chooses the backend server for a call by place, room and speed. It does no I/O and takes the time and
// its random choices from outside.
package dispatch
