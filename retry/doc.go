// Package retry keeps the retries of one request, over its whole call chain, within a fixed bound, and bounds hedges.
package retry
