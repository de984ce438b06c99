package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/retry"
)

// chain is a generated tree of calls that counts the retries in it.
type chain struct {
	t       *rapid.T
	policy  retry.Policy
	retries int
	calls   int
}

// share is the allowance of an attempt whose answer is outstanding.
type share struct {
	account *retry.Account
	given   int
}

// run serves a call with an account: it makes inner calls at once, each with attempts while retries are left, and their
// answers are honest, lost, or claim more than was given.
func (c *chain) run(account *retry.Account, depth int) {
	c.calls++
	if depth == 0 || c.calls > 2000 {
		return
	}
	var open []share
	for range rapid.IntRange(0, 2).Draw(c.t, "fan-out") {
		from := c.policy.Outgoing(account)
		open = append(open, share{from, c.policy.Share(from)})
	}
	for len(open) > 0 {
		s := open[0]
		open = open[1:]
		inner := c.policy.Received(s.given)
		c.run(&inner, depth-1)
		switch rapid.IntRange(0, 3).Draw(c.t, "answer") {
		case 0:
		case 1:
			c.policy.Return(s.account, s.given, s.given+1+rapid.IntRange(0, 300).Draw(c.t, "claim"))
		default:
			c.policy.Return(s.account, s.given, inner.Left())
		}
		if rapid.Bool().Draw(c.t, "retry") && s.account.Take() {
			c.retries++
			open = append(open, share{s.account, c.policy.Share(s.account)})
		}
	}
}

// Guards against a fan-out, a lost answer or a false claim that adds retries to a request, over all its resends.
func TestRetriesOfAChainStayWithinTheBound(t *testing.T) {
	policy, err := retry.Policies.Lookup(retry.DefaultPolicy)
	require.NoError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		c := &chain{t: t, policy: policy}
		for n := range 5 {
			account, ok := policy.Entry(n)
			require.Equal(t, n <= 2, ok)
			if !ok {
				break
			}
			if n > 0 {
				c.retries++
			}
			c.run(&account, 15)
			if n == 0 {
				require.LessOrEqual(t, c.retries, retry.Bound)
			}
		}
		require.LessOrEqual(t, c.retries, retry.RequestBound)
	})
}

// Guards against an account that loses retries when all answers come back, or trusts a header or a false claim.
func TestAccountDividesAndTakesBack(t *testing.T) {
	account := retry.NewAccount(3)
	first, second := account.Share(), account.Share()
	require.Equal(t, []int{2, 1, 0}, []int{first, second, account.Share()})
	require.False(t, account.Take())
	account.Return(first, first)
	account.Return(second, second+1)
	account.Return(second, -1)
	require.Equal(t, 2, account.Left())
	account.Return(second, second)
	require.Equal(t, 3, account.Left())

	for n, want := range []int{3, 1, 0} {
		resend, ok := retry.ForResend(n)
		require.Equal(t, []any{want, true}, []any{resend.Left(), ok}, "resend %d", n)
	}
	policy, err := retry.Policies.Lookup("shared")
	require.NoError(t, err)
	received := policy.Received(255)
	require.Equal(t, retry.Bound, received.Left())
}

// Guards against a baseline that does not multiply retries and so makes the comparison meaningless.
func TestPerHopRetriesMultiply(t *testing.T) {
	policy, err := retry.Policies.Lookup("per-hop")
	require.NoError(t, err)
	var attempts func(account retry.Account, depth int) int
	attempts = func(account retry.Account, depth int) int {
		if depth == 0 {
			return 1
		}
		from, n := policy.Outgoing(&account), 0
		for again := true; again; again = from.Take() {
			n += attempts(policy.Received(policy.Share(from)), depth-1)
		}
		return n
	}
	account, ok := policy.Entry(9)
	require.True(t, ok)
	received := policy.Received(0)
	require.Equal(t, retry.PerHopBound, received.Left())
	require.Equal(t, 4*4*4, attempts(account, 3))
}
