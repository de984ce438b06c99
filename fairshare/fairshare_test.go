package fairshare_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/fairshare"
)

var epoch = time.Unix(1000, 0)

// Guards against a small demand that is cut, a large one that gets more than another, and room that stays empty.
// Mutation: room/len(demands) as the share, or no `room -= demand`.
func TestLevelIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 50).Draw(t, "demands")
		room := rapid.Float64Range(0, 1000).Draw(t, "room")
		level := fairshare.Level(room, append([]float64{}, demands...))
		asked, served := 0.0, 0.0
		for _, d := range demands {
			asked += d
			served += math.Min(d, level)
		}
		require.InDelta(t, math.Min(asked, room), served, 1e-6)
	})
}

// Pattern: a retry storm. One of 50 accounts asks for ten times as much as before, until it asks for more than there is.
// An account within its share must not pay: its excess is 0, and the storm's excess is what doesn't fit.
// Mutation: Level by count of accounts alone; Excess of 1 for all while the room is short.
func TestOnlyTheStormIsBeyondItsShare(t *testing.T) {
	var u fairshare.Usage
	now := epoch
	for range 5000 {
		now = now.Add(time.Millisecond)
		u.Record(now, "storm", 0.080)                                  // 80 slots.
		u.Record(now, fmt.Sprint("small-", now.UnixMilli()%49), 0.049) // 1 slot each.
	}
	for i := range 49 {
		require.Zero(t, u.Excess(now, fmt.Sprint("small-", i), 100))
	}
	require.InDelta(t, 1-51.0/80, u.Excess(now, "storm", 100), 0.05)
	require.Zero(t, u.Excess(now, "storm", 1000), "nothing is short")
	require.Zero(t, u.Excess(now.Add(10*time.Second), "storm", 100), "the storm is over")
	require.Zero(t, (&fairshare.Usage{}).Excess(now, "storm", 0))
}
