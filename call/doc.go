// Package call defines the metadata that nodes propagate: priority, deadline, retry allowance and attempt identity with a
// call, and outcome, load and admission level with its answer.
package call
