package membership_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/membership"
)

var start = time.Unix(1_000_000, 0)

func member(id string, counter uint64) membership.Member {
	return membership.Member{
		ID: id, Counter: counter, Region: "rn", Control: id + ":1", State: membership.StateServing,
	}
}

func drawMember(t *rapid.T) membership.Member {
	m := member(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"), rapid.Uint64Range(1, 3).Draw(t, "counter"))
	m.Started = rapid.Int64Range(0, 2).Draw(t, "started")
	m.Control = rapid.SampledFrom([]string{"x:1", "y:1"}).Draw(t, "control")
	m.State = rapid.SampledFrom([]membership.State{
		membership.StateStarting, membership.StateServing, membership.StateLeft,
	}).Draw(t, "state")
	m.Suspected = rapid.Bool().Draw(t, "suspected")
	m.Dead = rapid.Bool().Draw(t, "dead")
	return m
}

func viewOf(members []membership.Member) *membership.View {
	v := &membership.View{}
	for _, m := range members {
		v.Merge(start, m)
	}
	return v
}

func describe(v *membership.View) string {
	var b strings.Builder
	for _, id := range []string{"a", "b", "c", "d"} {
		m, ok := v.Get(id)
		fmt.Fprintln(&b, m, ok, v.IsLive(id))
	}
	return b.String()
}

// Guards against views that differ because announcements were merged in another order or grouping, or more than once.
func TestMergeIsCommutativeAssociativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfN(rapid.Custom(drawMember), 1, 12).Draw(t, "members")
		want := viewOf(members)

		shuffled := rapid.Permutation(members).Draw(t, "shuffled")
		got := viewOf(shuffled)
		require.Equal(t, describe(want), describe(got), "the view depends on the order of merges")
		require.Equal(t, want.Digest(), got.Digest(), "the digest depends on the order of merges")
		require.Equal(t, want.Len(), len(want.Live()))

		for _, m := range members {
			require.False(t, got.Merge(start, m), "a repeated announcement changed the view")
		}

		// A view that merges the entries of another view equals a view that merged every announcement itself.
		cut := rapid.IntRange(0, len(members)).Draw(t, "cut")
		left, right := viewOf(members[:cut]), viewOf(members[cut:])
		for _, id := range []string{"a", "b", "c", "d"} {
			if m, ok := right.Get(id); ok {
				left.Merge(start, m)
			}
		}
		require.Equal(t, describe(want), describe(left), "the view depends on the grouping of merges")
	})
}

// Guards against an own member that stays removed although it refutes, after other nodes suspected, removed or replaced it.
func TestRefutationRestoresTheMemberInEveryView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := member("a", 1)
		self.Control = "x:1"
		own := membership.NewView(start, self)
		other := membership.NewView(start, member("b", 1))
		for _, m := range rapid.SliceOfN(rapid.Custom(drawMember), 0, 8).Draw(t, "gossip") {
			if m.ID == "a" && m.State == membership.StateLeft || m.ID == "b" {
				continue
			}
			own.Merge(start, m)
			other.Merge(start, m)
		}
		own.Refute(start)
		other.Merge(start, own.Self())
		for _, v := range []*membership.View{own, other} {
			got, _ := v.Get("a")
			require.True(t, v.IsLive("a"))
			require.False(t, got.Suspected)
		}
		require.False(t, own.Refute(start), "refuted twice")
	})
}

// Guards against members that are removed too early or never, and against removed members that reappear through old gossip.
func TestSuspicionRefutationAndRemoval(t *testing.T) {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	steps := []struct {
		name      string
		do        func(v *membership.View)
		live      bool
		suspected bool
	}{
		{"unknown member suspected", func(v *membership.View) { v.MergeSuspicion(start, membership.Suspicion{ID: "z", Counter: 1}) }, true, false},
		{"old announcement suspected", func(v *membership.View) {
			v.Merge(start, member("b", 2))
			v.MergeSuspicion(start, membership.Suspicion{ID: "b", Counter: 1})
		}, true, false},
		{"suspected", func(v *membership.View) { v.Suspect(start, "b") }, true, true},
		{"refuted", func(v *membership.View) { v.Suspect(start, "b"); v.Merge(at(time.Second), member("b", 2)) }, true, false},
		{"within the timeout", func(v *membership.View) { v.Suspect(start, "b"); v.Tick(at(4999*time.Millisecond), false) }, true, true},
		{"after the timeout", func(v *membership.View) { v.Suspect(start, "b"); v.Tick(at(5*time.Second), false) }, false, true},
		{"the timeout does not run while isolated", func(v *membership.View) {
			v.Suspect(start, "b")
			v.Tick(at(time.Hour), true)
			v.Tick(at(time.Hour+4*time.Second), false)
		}, true, true},
		{"old gossip after removal", func(v *membership.View) {
			v.Suspect(start, "b")
			v.Tick(at(5*time.Second), false)
			v.Merge(at(9*time.Minute), member("b", 1))
		}, false, true},
		{"back after removal", func(v *membership.View) {
			v.Suspect(start, "b")
			v.Tick(at(5*time.Second), false)
			v.Merge(at(6*time.Second), member("b", 2))
		}, true, false},
		{"another member answers at the address", func(v *membership.View) { v.MarkDead(start, "b") }, false, true},
		{"left", func(v *membership.View) {
			m := member("b", 1)
			m.State = membership.StateLeft
			v.Merge(start, m)
			v.Merge(start, member("b", 9))
		}, false, false},
		{"a later process at the same address", func(v *membership.View) {
			m := member("c", 1)
			m.Control, m.Started = "b:1", 1
			v.Merge(start, m)
			v.Merge(start, member("b", 9))
		}, false, false},
	}
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			v := membership.NewView(start, member("a", 1))
			v.Merge(start, member("b", 1))
			s.do(v)
			got, ok := v.Get("b")
			require.True(t, ok)
			require.Equal(t, s.live, v.IsLive("b"))
			require.Equal(t, s.suspected, got.Suspected)
		})
	}
}

// Guards against tombstones that never expire, for example because two nodes send them to each other again and again.
func TestTombstonesExpire(t *testing.T) {
	v := membership.NewView(start, member("a", 1))
	v.Merge(start, member("b", 1))
	v.MarkDead(start, "b")
	v.Tick(start.Add(membership.TombstoneRetention-time.Second), false)
	_, ok := v.Get("b")
	require.True(t, ok)
	v.Tick(start.Add(membership.TombstoneRetention+time.Minute), false)
	_, ok = v.Get("b")
	require.False(t, ok)
}

// Guards against unbounded memory when peers announce too many members or fields that are too long.
func TestViewIsBounded(t *testing.T) {
	v := membership.NewView(start, member("a", 1))
	long := member("b", 1)
	long.Service = strings.Repeat("x", 129)
	require.False(t, v.Merge(start, long))
	dead := member("dead", 1)
	dead.Dead = true
	v.Merge(start, dead)
	for i := range membership.MaxMembers + 10 {
		v.Merge(start, member(fmt.Sprint(i), 1))
	}
	require.Equal(t, membership.MaxMembers, v.Len())
	_, ok := v.Get("dead")
	require.False(t, ok, "a tombstone was kept instead of a live member")
}

// Guards against anti-entropy that misses a difference or exchanges buckets that are equal.
func TestDifferingReturnsTheBucketsThatDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := &membership.View{}, &membership.View{}
		for i := range rapid.IntRange(1, 100).Draw(t, "members") {
			m := member(fmt.Sprint(i), 1)
			a.Merge(start, m)
			b.Merge(start, m)
		}
		changed := member(fmt.Sprint(rapid.IntRange(0, 100).Draw(t, "changed")), 2)
		a.Merge(start, changed)
		members, buckets := a.Differing(b.Digest())
		require.Len(t, buckets, 1)
		require.Contains(t, members, changed)
	})
}

// Guards against members that no other member watches, rings that are not connected, and pairs of regions without links.
func TestRingsWatchAndLinkAllMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := []string{"ce", "pi", "rn"}
		var members []membership.Member
		for i := range rapid.IntRange(1, 60).Draw(t, "n") {
			m := member(fmt.Sprintf("m%d", i), 1)
			m.Region = rapid.SampledFrom(regions).Draw(t, "region")
			members = append(members, m)
		}
		rings := membership.NewRings(members)
		perRegion, watched, linked := map[string]int{}, map[string]int{}, map[string]int{}
		for _, m := range members {
			perRegion[m.Region]++
			for _, w := range rings.Watched(m) {
				require.Equal(t, m.Region, w.Region)
				require.NotEqual(t, m.ID, w.ID)
				watched[w.ID]++
			}
			for _, l := range rings.Links(m) {
				require.NotEqual(t, m.Region, l.Region)
				linked[m.Region+l.Region]++
			}
		}
		for _, m := range members {
			require.LessOrEqual(t, watched[m.ID], 2)
			require.Equal(t, perRegion[m.Region] > 1, watched[m.ID] > 0, "a member is watched if and only if its region has others")
			require.Equal(t, perRegion[m.Region], reachableCount(rings, m), "not all members of the region are reachable")
		}
		for i, from := range regions {
			for _, to := range regions[i+1:] {
				if perRegion[from] > 0 && perRegion[to] > 0 {
					require.Equal(t, min(perRegion[from], membership.LinkNodesPerRegion), linked[from+to])
				}
			}
		}
	})
}

func reachableCount(rings membership.Rings, from membership.Member) int {
	seen := map[string]bool{from.ID: true}
	queue := []membership.Member{from}
	for len(queue) > 0 {
		next := rings.Watched(queue[0])
		queue = queue[1:]
		for _, m := range next {
			if !seen[m.ID] {
				seen[m.ID] = true
				queue = append(queue, m)
			}
		}
	}
	return len(seen)
}
