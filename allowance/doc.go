// Package allowance divides allowances, each with a rate and a burst, over all nodes of a deployment without a coordinator, so
// that the tokens that all nodes use in any period stay within the rate and the burst, or within what Limit.Tolerant allows. The
// owner of an allowance, a node chosen by hash, hands out tokens from the parts that the nodes have lent to it;
// docs/design/client-accounts.md describes the protocol.
//
// The package does no I/O: time is an argument, and messages are values that the caller carries.
package allowance
