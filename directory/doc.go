// Package directory keeps a node's view of the other nodes: their state, the store version at which each row was written,
// and the backend servers recorded as leaving. Entries merge by version, in any order. It does no I/O.
package directory
