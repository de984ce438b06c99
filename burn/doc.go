// Package burn reports the rate at which each service and class spends the error budget of its service-level objective.
//
// Each node counts calls in a Recorder, in memory only: in one-minute buckets for 6 hours and in one-hour buckets for
// 3 days. A report merges the snapshots of all nodes. Since a node loses its counts on a restart, the report shows since
// when each node has data and which nodes did not answer.
//
// A request is counted once, by the node that received it from an external caller. It counts for the availability zone of
// the node that served it last or, if no node served it, of the node that counts it. The report is computed by the program
// that requests it; a node only increments counters and returns them on request.
package burn
