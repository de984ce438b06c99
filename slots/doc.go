// Package slots decides when a call may run on the own backend server: how many run at once, in which order the others
// wait, and which are told at once that there is no room. It does no I/O and takes the time as an argument.
package slots
