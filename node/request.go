package node

import (
	"sync"
	"time"

	"lovagelane/retry"
)

// requests recognises resends that enter at this node and opens the retry accounts of requests.
type requests struct {
	policy retry.Policy

	mu    sync.Mutex
	sends retry.Requests
}

// use selects the retry policy by name; an empty name means the default.
func (r *requests) use(name string) error {
	if name == "" {
		name = retry.DefaultPolicy
	}
	policy, err := retry.Policies.Lookup(name)
	r.policy = policy
	return err
}

// begin records a send and returns its account and resend number; ok is false when the request has used its bound.
func (r *requests) begin(now time.Time, s retry.Send) (a *account, resend int, ok bool) {
	r.mu.Lock()
	resend = r.sends.Begin(now, s)
	r.mu.Unlock()
	entry, ok := r.policy.Entry(resend)
	return newAccount(r.policy, entry), resend, ok
}

// end records whether a send got an answer of a backend server.
func (r *requests) end(now time.Time, s retry.Send, resend int, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sends.End(now, s, resend, good)
}

// received returns the account of a call from another node.
func (r *requests) received(allowance int) *account {
	return newAccount(r.policy, r.policy.Received(allowance))
}

// owned returns the account of a request that its owner starts.
func (r *requests) owned(allowance int) *account {
	return newAccount(r.policy, retry.NewAccount(allowance))
}
