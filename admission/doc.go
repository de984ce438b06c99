// Package admission decides which calls a backend server starts, queues or refuses. It combines an adaptive concurrency
// limit, a queue ordered by priority with fair turns between callers, and an admission level that sheds the least important
// calls while the queue does not drain. It does no I/O.
package admission
