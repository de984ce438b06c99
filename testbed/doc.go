// Package testbed runs a deployment of real processes on loopback for the demo, the benchmarks and the failure tests. It
// starts, kills, freezes and resumes processes, waits until they are ready and breaks connections. It signals only
// processes that it started, by process id.
package testbed
