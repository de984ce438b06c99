// Package admission decides which calls a backend server starts, queues or refuses: a learned concurrency limit, a queue
// ordered by priority and deadline, and an admission level that follows the queueing delay. It does no I/O.
package admission
