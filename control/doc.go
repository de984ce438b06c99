// Package control runs the control plane of a node: over QUIC connections to a few other nodes it gossips membership, the
// configuration and crash reports, and it synchronizes membership and the configuration with the store.
package control
