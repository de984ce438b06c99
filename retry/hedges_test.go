package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/retry"
)

// Guards against hedges beyond 5% of the calls, and against a burst of more than 50 hedges that old calls allow.
// Mutation: callsPerHedge = 19; CountCall without the halving.
func TestHedgesAreAShareOfRecentCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h retry.HedgeBudget
		calls, hedges := 0, 0
		for _, n := range rapid.SliceOfN(rapid.IntRange(1, 3000), 1, 20).Draw(t, "calls") {
			for range n {
				h.CountCall()
			}
			calls += n
			burst := 0
			for h.Withdraw() {
				burst++
			}
			hedges += burst
			require.LessOrEqual(t, burst, 50)
			require.LessOrEqual(t, hedges*20, calls)
		}
	})
}

// Guards against hedges that are always denied, which would disable hedging.
// Mutation: Withdraw always false.
func TestHedgesReachTheirShare(t *testing.T) {
	var h retry.HedgeBudget
	require.False(t, h.Withdraw())
	hedges := 0
	for range 10000 {
		h.CountCall()
		if h.Withdraw() {
			hedges++
		}
	}
	require.GreaterOrEqual(t, hedges, 450)
	require.LessOrEqual(t, hedges, 500)
}
