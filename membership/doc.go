// Package membership keeps a node's view of all nodes: announcements, incarnations, suspicion, removal, and the rings that
// decide which node watches which. It does no I/O.
package membership
