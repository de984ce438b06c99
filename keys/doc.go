// Package keys loads the TLS keys of a process, reloads them when they change, and issues keys for tests and new
// deployments.
package keys
