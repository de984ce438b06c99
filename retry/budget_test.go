package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/retry"
)

// callTree generates a tree of calls and counts its retries.
type callTree struct {
	t       *rapid.T
	policy  retry.Policy
	retries int
	calls   int
}

// outstandingShare is the allowance of an attempt whose answer is outstanding.
type outstandingShare struct {
	budget *retry.Budget
	given  int
}

// serve serves a call with a budget. It starts all inner calls at once and retries each while the budget allows it. Their
// answers state the unused retries, are lost, or state more than the share.
func (c *callTree) serve(budget *retry.Budget, depth int) {
	c.calls++
	if depth == 0 || c.calls > 2000 {
		return
	}
	var pending []outstandingShare
	for range rapid.IntRange(0, 2).Draw(c.t, "fan-out") {
		from := c.policy.Outgoing(budget)
		pending = append(pending, outstandingShare{from, c.policy.Share(from)})
	}
	for len(pending) > 0 {
		p := pending[0]
		pending = pending[1:]
		inner := c.policy.Received(p.given)
		c.serve(&inner, depth-1)
		switch rapid.IntRange(0, 3).Draw(c.t, "answer") {
		case 0:
		case 1:
			c.policy.Return(p.budget, p.given, p.given+1+rapid.IntRange(0, 300).Draw(c.t, "claim"))
		default:
			c.policy.Return(p.budget, p.given, inner.Remaining())
		}
		if rapid.Bool().Draw(c.t, "retry") && p.budget.Withdraw() {
			c.retries++
			pending = append(pending, outstandingShare{p.budget, c.policy.Share(p.budget)})
		}
	}
}

// Guards against a fan-out, a lost answer or an answer with too many unused retries that raises the number of retries of a
// request above its bound, over all its resends.
func TestRetriesOfAChainStayWithinTheBound(t *testing.T) {
	policy, err := retry.Policies.Lookup(retry.DefaultPolicy)
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		c := &callTree{t: t, policy: policy}
		for n := range 5 {
			budget, ok := policy.Entry(n)
			require.Equal(t, n <= 2, ok)
			if !ok {
				break
			}
			if n > 0 {
				c.retries++
			}
			c.serve(&budget, 15)
			if n == 0 {
				require.LessOrEqual(t, c.retries, retry.MaxRetriesPerSend)
			}
		}
		require.LessOrEqual(t, c.retries, retry.MaxRetriesPerRequest)
	})
}

// Guards against a budget that loses retries although all answers arrive, that exceeds MaxRetriesPerSend because of a header,
// or that refunds more than a share.
func TestBudgetSplitsAndRefunds(t *testing.T) {
	budget := retry.NewBudget(3)
	first, second := budget.Share(), budget.Share()
	require.Equal(t, []int{2, 1, 0}, []int{first, second, budget.Share()})
	require.False(t, budget.Withdraw())
	budget.Return(first, first)
	budget.Return(second, second+1)
	budget.Return(second, -1)
	require.Equal(t, 2, budget.Remaining())
	budget.Return(second, second)
	require.Equal(t, 3, budget.Remaining())

	for n, want := range []int{3, 1, 0} {
		resend, ok := retry.BudgetForResend(n)
		require.Equal(t, []any{want, true}, []any{resend.Remaining(), ok}, "resend %d", n)
	}
	policy, err := retry.Policies.Lookup("shared")
	require.NoError(t, err)
	received := policy.Received(255)
	require.Equal(t, retry.MaxRetriesPerSend, received.Remaining())
}

// Guards against a "per-hop" policy that does not multiply retries with the depth, which would make it useless as a baseline.
func TestPerHopRetriesMultiply(t *testing.T) {
	policy, err := retry.Policies.Lookup("per-hop")
	require.NoError(t, err)
	var attempts func(budget retry.Budget, depth int) int
	attempts = func(budget retry.Budget, depth int) int {
		if depth == 0 {
			return 1
		}
		from, n := policy.Outgoing(&budget), 0
		for again := true; again; again = from.Withdraw() {
			n += attempts(policy.Received(policy.Share(from)), depth-1)
		}
		return n
	}
	budget, ok := policy.Entry(9)
	require.True(t, ok)
	received := policy.Received(0)
	require.Equal(t, retry.MaxRetriesPerHop, received.Remaining())
	require.Equal(t, 4*4*4, attempts(budget, 3))
}
