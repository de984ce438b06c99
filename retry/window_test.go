package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/retry"
)

// Guards against nodes that together send more repeats in some window than the deployment allows.
func TestWindowBudgetsStayWithinTheSharedBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, fixed = 0.2, 50.0
		const length = 10 * time.Second
		nodes := make([]retry.WindowBudgets, rapid.IntRange(1, 8).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = retry.WindowBudgets{Ratio: ratio, Fixed: fixed, Length: length}
		}
		start := time.Unix(1000, 0)
		var requests, repeats []time.Time
		now := start
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			n := &nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			n.CountRequest(now, "maps")
			requests = append(requests, now)
			if n.Withdraw(now, "maps", 1, len(nodes)) {
				repeats = append(repeats, now)
			}
		}
		for i, from := range repeats {
			inWindow, requestCount := 0, 0
			for _, at := range repeats[i:] {
				if at.Sub(from) < length {
					inWindow++
				}
			}
			for _, at := range requests {
				if d := at.Sub(from); d >= -length && d < length {
					requestCount++
				}
			}
			require.LessOrEqual(t, float64(inWindow), ratio*float64(requestCount)+fixed)
		}
	})
}

// Guards against a repeat that causes many downstream calls and is counted as one.
func TestWindowBudgetsCountTheCostOfARepeat(t *testing.T) {
	w := retry.WindowBudgets{Ratio: 0.2, Fixed: 20, Length: 10 * time.Second}
	now := time.Unix(1000, 0)
	require.True(t, w.Withdraw(now, "maps", 10, 1))
	require.False(t, w.Withdraw(now, "maps", 1, 1))
	require.True(t, w.Withdraw(now.Add(11*time.Second), "maps", 10, 1))
	require.False(t, (&retry.WindowBudgets{}).Withdraw(now, "maps", 1, 1))
}
