// Package retry implements retry budgets: for the whole call chain of one request, for the requests of each service across
// all nodes, and for hedged requests.
package retry
