package rollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/rollout"
)

var start = time.Unix(1_000_000, 0)

// Guards against a version that takes force before others hold it, never takes force, or is started from below what the
// region had.
func TestAdopter(t *testing.T) {
	region := []string{"a", "b", "c", "d"}
	says := func(ids ...string) func(*rollout.Adopter) {
		return func(a *rollout.Adopter) {
			for _, id := range ids {
				a.PeerSays(id, 5)
			}
		}
	}
	cases := []struct {
		name     string
		region   []string
		complete bool
		after    time.Duration
		do       func(a *rollout.Adopter)
		want     uint64
	}{
		{"three of the region answered", region, true, 0, says("a", "b", "c"), 5},
		{"two of four answered", region, true, time.Hour, says("a", "b"), 0},
		{"three of another region answered", region, true, time.Hour, says("x", "y", "z"), 0},
		{"all two known answered", region[:2], true, 0, says("a", "b"), 5},
		{"the view is not complete yet", region[:2], false, time.Hour, says("a", "b"), 0},
		{"alone in the region", nil, true, 0, says("x", "y"), 5},
		{"empty peers do not count as three", region, true, time.Hour, func(a *rollout.Adopter) {
			says("a")(a)
			a.PeerSays("b", 0)
			a.PeerSays("c", 0)
		}, 0},
		{"empty peers count when all answered", region, true, 2 * time.Second, func(a *rollout.Adopter) {
			says("a")(a)
			for _, id := range region[1:] {
				a.PeerSays(id, 0)
			}
		}, 5},
		{"the store answered", region, false, 2 * time.Second, func(a *rollout.Adopter) { a.StoreSays(5) }, 5},
		{"the store named a higher version", region, false, time.Hour, func(a *rollout.Adopter) { a.StoreSays(6) }, 0},
		{"a peer named a higher version", region, true, time.Hour, func(a *rollout.Adopter) {
			says("a", "b", "c")(a)
			a.PeerSays("d", 6)
		}, 0},
		{"the holder of a higher version is gone", region, true, 0, func(a *rollout.Adopter) {
			says("a", "b", "c")(a)
			a.PeerSays("gone", 6)
			a.Forget(func(id string) bool { return id != "gone" })
		}, 5},
		{"one peer holds it, before the timeout", region, false, 1999 * time.Millisecond, func(a *rollout.Adopter) {
			a.StoreSays(5)
			says("a")(a)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var a rollout.Adopter
			a.Hold(start, 5)
			c.do(&a)
			got, ok := a.Adopt(start.Add(c.after), c.region, c.complete)
			require.Equal(t, c.want, got)
			require.Equal(t, c.want > 0, ok)
		})
	}
}

// Guards against a configuration that reverts, whatever peers and the store say in whatever order.
func TestAdopterNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a rollout.Adopter
		now, last := start, uint64(0)
		version := rapid.Uint64Range(0, 6)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				a.Hold(now, version.Draw(t, "held"))
			case 1:
				a.StoreSays(version.Draw(t, "stored"))
			case 2:
				a.PeerSays(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "peer"), version.Draw(t, "said"))
			case 3:
				a.Forget(func(string) bool { return false })
			}
			if got, ok := a.Adopt(now, []string{"a", "b", "c"}, true); ok {
				require.Greater(t, got, last)
				require.Equal(t, a.Held(), got)
				last = got
			}
			require.Equal(t, last, a.InForce())
		}
	})
}
