// Package failure holds only tests. They kill, freeze and cut real processes of a small deployment and check what
// docs/design.md promises in section 2. docs/PROOFS.md lists each promise and fault with its test.
package failure
