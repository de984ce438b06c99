// Package retry implements retry budgets: for the whole call chain of one request, for the requests of each service across
// all nodes, and for hedged requests. It also detects the resends of external callers and the inner calls that a backend
// server repeats, both of which count as retries.
package retry
