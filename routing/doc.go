// Package routing selects the service for a request: by host and longest-prefix match on the path, and by weight where a route
// is split between services. A configuration is immutable, so that a request uses one version from its arrival to its answer.
package routing
