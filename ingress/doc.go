// Package ingress sheds load at the node where a request enters. Levels holds the admission level of each operation as
// learned from answers, and Shares marks the requests beyond a caller's max-min fair share. The package does no I/O.
package ingress
