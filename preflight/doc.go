// Package preflight checks a configuration before it is put in force: entries that can never match or have no effect, limits that
// contradict each other, and the differences from the version in force. It does no I/O.
package preflight
