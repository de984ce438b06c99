// Package membership implements a node's view of all members for a gossip protocol: announcements with incarnations,
// suspicion and refutation, tombstones, a digest for anti-entropy, and the rings that determine which nodes each node
// watches. It does no I/O.
package membership
