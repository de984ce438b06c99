package rollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/rollout"
)

var start = time.Unix(1_000_000, 0)

// Guards against a version that is put in force before other nodes have it or that is never put in force, and against a node
// that starts with a version below the one that was in force in its region.
func TestAdopterAdoptsOnlySafeVersions(t *testing.T) {
	region := []string{"a", "b", "c", "d"}
	reported := func(ids ...string) func(*rollout.Adopter) {
		return func(a *rollout.Adopter) {
			for _, id := range ids {
				a.SetPeerVersion(id, 5)
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
		{"three of the region answered", region, true, 0, reported("a", "b", "c"), 5},
		{"two of four answered", region, true, time.Hour, reported("a", "b"), 0},
		{"three of another region answered", region, true, time.Hour, reported("x", "y", "z"), 0},
		{"both known peers answered", region[:2], true, 0, reported("a", "b"), 5},
		{"the view is not complete yet", region[:2], false, time.Hour, reported("a", "b"), 0},
		{"no other member in the region", nil, true, 0, reported("x", "y"), 5},
		{"peers without a version do not count as three", region, true, time.Hour, func(a *rollout.Adopter) {
			reported("a")(a)
			a.SetPeerVersion("b", 0)
			a.SetPeerVersion("c", 0)
		}, 0},
		{"peers without a version count when all answered", region, true, 2 * time.Second, func(a *rollout.Adopter) {
			reported("a")(a)
			for _, id := range region[1:] {
				a.SetPeerVersion(id, 0)
			}
		}, 5},
		{"the store answered", region, false, 2 * time.Second, func(a *rollout.Adopter) { a.SetStoreVersion(5) }, 5},
		{"the store named a higher version", region, false, time.Hour, func(a *rollout.Adopter) { a.SetStoreVersion(6) }, 0},
		{"the store named a higher version and lost it", region, false, time.Hour, func(a *rollout.Adopter) {
			a.SetStoreVersion(6)
			a.SetStoreVersion(5)
		}, 5},
		{"a peer named a higher version", region, true, time.Hour, func(a *rollout.Adopter) {
			reported("a", "b", "c")(a)
			a.SetPeerVersion("d", 6)
		}, 0},
		{"the peer with a higher version was removed", region, true, 0, func(a *rollout.Adopter) {
			reported("a", "b", "c")(a)
			a.SetPeerVersion("gone", 6)
			a.RetainPeers(func(id string) bool { return id != "gone" })
		}, 5},
		{"one peer has it, before the timeout", region, false, 1999 * time.Millisecond, func(a *rollout.Adopter) {
			a.SetStoreVersion(5)
			reported("a")(a)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var a rollout.Adopter
			a.SetLoadedVersion(start, 5)
			c.do(&a)
			got, ok := a.Adopt(start.Add(c.after), c.region, c.complete)
			require.Equal(t, c.want, got)
			require.Equal(t, c.want > 0, ok)
		})
	}
}

// Guards against a configuration that reverts to a lower version, for any versions and order of reports by peers and the store.
func TestAdopterNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a rollout.Adopter
		now, last := start, uint64(0)
		version := rapid.Uint64Range(0, 6)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				a.SetLoadedVersion(now, version.Draw(t, "loaded"))
			case 1:
				a.SetStoreVersion(version.Draw(t, "stored"))
			case 2:
				a.SetPeerVersion(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "peer"), version.Draw(t, "reported"))
			case 3:
				a.RetainPeers(func(string) bool { return false })
			}
			if got, ok := a.Adopt(now, []string{"a", "b", "c"}, true); ok {
				require.Greater(t, got, last)
				require.Equal(t, a.LoadedVersion(), got)
				last = got
			}
			require.Equal(t, last, a.InForce())
		}
	})
}
