// Package disconnect detects callers that close their connection before they receive an answer. It peeks at the sockets and
// consumes no data.
package disconnect
