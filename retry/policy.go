package retry

import "lovagelane/kernel"

// MaxRetriesPerHop is the maximum number of retries of each call under the "per-hop" policy.
const MaxRetriesPerHop = 3

// Policy allocates the retry budget of each call of a chain. The caller serializes access to the budgets.
type Policy interface {
	// Entry returns the budget of the n-th resend of a request by its caller (0 is the first send), and false when the
	// resend must be refused.
	Entry(n int) (Budget, bool)
	// Received returns the budget of a call that arrived from another node with this allowance.
	Received(allowance int) Budget
	// Outgoing returns the budget from which the retries of one outgoing call of the parent are withdrawn.
	Outgoing(parent *Budget) *Budget
	// Share withdraws the allowance that is sent with one attempt of an outgoing call, and returns it.
	Share(b *Budget) int
	// Return refunds the unused part of the allowance, as stated in the answer to an attempt.
	Return(b *Budget, share, unused int)
}

// Policies is the registry of retry policies by name.
var Policies kernel.Registry[Policy]

// DefaultPolicy is the name of the policy that keeps requests within MaxRetriesPerSend and MaxRetriesPerRequest.
const DefaultPolicy = "shared"

func init() {
	Policies.Register(DefaultPolicy, shared{})
	Policies.Register("per-hop", perHop{})
}

// shared divides one budget among all calls of the chain.
type shared struct{}

func (shared) Entry(n int) (Budget, bool)          { return BudgetForResend(n) }
func (shared) Received(allowance int) Budget       { return NewBudget(min(allowance, MaxRetriesPerSend)) }
func (shared) Outgoing(parent *Budget) *Budget     { return parent }
func (shared) Share(b *Budget) int                 { return b.Share() }
func (shared) Return(b *Budget, share, unused int) { b.Return(share, unused) }

// perHop is the baseline policy in which each hop retries independently, so that retries multiply with the depth.
type perHop struct{}

func (perHop) Entry(int) (Budget, bool) { return NewBudget(MaxRetriesPerHop), true }
func (perHop) Received(int) Budget      { return NewBudget(MaxRetriesPerHop) }
func (perHop) Share(*Budget) int        { return 0 }
func (perHop) Return(*Budget, int, int) {}
func (perHop) Outgoing(*Budget) *Budget {
	b := NewBudget(MaxRetriesPerHop)
	return &b
}
