// Package slots limits the calls in flight on the node's own backend server. Queue starts, queues or refuses calls by priority
// and expected queueing delay, and Caps adapts a concurrency limit for each route. The package does no I/O and takes the time
// as an argument.
package slots
