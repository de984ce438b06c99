// Package testbed runs a deployment of real processes on loopback for the demo, the benchmarks and failure tests: it
// starts, kills, freezes and resumes them, waits until they are ready and cuts connections. It ends only processes that
// it started, by process id.
package testbed
