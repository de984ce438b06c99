// Package ticket gives non-idempotent requests at-most-once semantics: tickets that bind a request to one incarnation of
// one node, the owner's table of requests, and the serving node's table of attempts. It does no I/O.
package ticket
