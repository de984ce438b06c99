package retry

import "lovagelane/kernel"

// PerHopBound is the number of retries of each call under the "per-hop" policy.
const PerHopBound = 3

// Policy decides how many retries each call of a chain may use. The caller serializes access to the accounts.
type Policy interface {
	// Entry returns the account of the n-th resend of a request by its caller (0 is the first send), and false when it is
	// to be refused.
	Entry(n int) (Account, bool)
	// Received returns the account of a call that arrived from another node with this allowance.
	Received(allowance int) Account
	// Outgoing returns the account that the retries of one outgoing call of the parent draw from.
	Outgoing(parent *Account) *Account
	// Share removes the allowance that goes with one attempt of an outgoing call.
	Share(a *Account) int
	// Return gives back the unused part of the allowance that came with the answer to an attempt.
	Return(a *Account, share, unused int)
}

// Policies holds the retry policies by name.
var Policies kernel.Registry[Policy]

// DefaultPolicy is the name of the policy that keeps requests within Bound and RequestBound.
const DefaultPolicy = "shared"

func init() {
	Policies.Register(DefaultPolicy, shared{})
	Policies.Register("per-hop", perHop{})
}

// shared divides one account over the whole chain.
type shared struct{}

func (shared) Entry(n int) (Account, bool)          { return ForResend(n) }
func (shared) Received(allowance int) Account       { return NewAccount(min(allowance, Bound)) }
func (shared) Outgoing(parent *Account) *Account    { return parent }
func (shared) Share(a *Account) int                 { return a.Share() }
func (shared) Return(a *Account, share, unused int) { a.Return(share, unused) }

// perHop is the baseline in which each hop retries by itself, so that retries multiply with the depth.
type perHop struct{}

func (perHop) Entry(int) (Account, bool) { return NewAccount(PerHopBound), true }
func (perHop) Received(int) Account      { return NewAccount(PerHopBound) }
func (perHop) Share(*Account) int        { return 0 }
func (perHop) Return(*Account, int, int) {}
func (perHop) Outgoing(*Account) *Account {
	a := NewAccount(PerHopBound)
	return &a
}
