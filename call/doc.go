// Package call holds the values that travel with a call between nodes: its priority, deadline, retry allowance and
// identity on the way in, and its outcome, load report and admission level on the way back.
package call
