// Package call defines the metadata that nodes propagate with a call: priority, deadline, retry allowance and attempt
// identity with the call, and outcome, load and admission level with the answer.
package call
