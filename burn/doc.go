// Package burn reports how fast each service and class uses up the calls that its objective allows to go wrong.
//
// Each node counts in a Recorder and keeps its counts in memory only: buckets of a minute for 6 hours and of an hour
// for 3 days. A report joins the snapshots of all nodes. It says since when each node has data and which ones did not
// answer, since a node that restarts loses its counts.
//
// A request is counted once, by the node that took it from an outside caller, under the availability zone of the node
// that served it last or, if none did, of the node that counts. All processor time for a report is spent where the
// report is made; a node only adds to its counts and writes them out when asked.
package burn
