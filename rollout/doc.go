// Package rollout decides which configuration version a node puts in force, and carries out an operator's apply against
// the store.
package rollout
