// Package rollout decides when a node puts a configuration version in force, and implements an operator's apply as a
// conditional transaction on the store.
package rollout
