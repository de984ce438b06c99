// Package event writes one key=value log line for each event, with a bound on repeats, and keeps the metrics of a node.
package event
