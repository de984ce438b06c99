package node

import (
	"sync"
	"time"

	"lovagelane/retry"
)

// resendTracker detects resends of requests that enter at this node and creates the retry budgets of requests.
type resendTracker struct {
	policy retry.Policy

	mu    sync.Mutex
	sends retry.ResendDetector
}

// setPolicy selects the retry policy by name. An empty name selects the default.
func (r *resendTracker) setPolicy(name string) error {
	if name == "" {
		name = retry.DefaultPolicy
	}
	policy, err := retry.Policies.Lookup(name)
	r.policy = policy
	return err
}

// begin records a send and returns its retry budget and resend number. It returns false when the request has used all its
// retries.
func (r *resendTracker) begin(now time.Time, s retry.Send) (budget *retryBudget, resend int, ok bool) {
	r.mu.Lock()
	resend = r.sends.Begin(now, s)
	r.mu.Unlock()
	entry, ok := r.policy.Entry(resend)
	return newRetryBudget(r.policy, entry), resend, ok
}

// end records whether a send got an answer of a backend server.
func (r *resendTracker) end(now time.Time, s retry.Send, resend int, gotAnswer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sends.End(now, s, resend, gotAnswer)
}

// receivedBudget returns the budget of a call from another node.
func (r *resendTracker) receivedBudget(allowance int) *retryBudget {
	return newRetryBudget(r.policy, r.policy.Received(allowance))
}

// ticketBudget returns the budget of a request that the owner of its ticket starts.
func (r *resendTracker) ticketBudget(allowance int) *retryBudget {
	return newRetryBudget(r.policy, retry.NewBudget(allowance))
}
