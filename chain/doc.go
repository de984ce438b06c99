// Package chain decides at the entry which requests to start when most of them fail because of services further down the call
// graph. Ends sums up how the runs of a route end at a backend server, Callers tells routes of outside callers from those that only
// backend servers call, and Gate uses the reports of both. The package does no I/O and takes the time as an argument.
package chain
