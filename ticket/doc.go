// Package ticket implements at-most-once execution of non-idempotent requests. A ticket is a signed idempotency key that
// binds a request to one incarnation of the node that issued it, its owner. The owner deduplicates requests by ticket, and
// each serving node deduplicates and fences attempts. The package does no I/O.
package ticket
