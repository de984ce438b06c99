// Package routing decides which service a request goes to: by host and longest path prefix, and by weight where a route is
// split between services. A configuration is immutable, so that a request sees one version from its arrival to its answer.
package routing
