// Package control connects a node to a few others over QUIC and to the store, and keeps membership, configuration and
// quarantine in step.
package control
