// Package event provides the rate-limited key=value log of a node, one line for each event, and its metrics.
package event
