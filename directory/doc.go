// Package directory holds what a node knows of the others: who they are, at which version of the store that was written,
// and which backend servers are recorded as leaving. It does no I/O.
package directory
