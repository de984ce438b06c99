// Package failure contains only tests. They run a small deployment of real processes, kill and freeze them, inject faults,
// and check the guarantees in section 2 of docs/design.md. docs/PROOFS.md lists the test of each guarantee and fault.
package failure
