package allowance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/allowance"
)

const window = 5 * time.Second

// bound is the number of requests that the operators' rules allow in a window.
func bound(l allowance.Limit) float64 { return (l.Rate*window.Seconds()+l.Burst)*1.1 + 20 }

// promise is the number of requests that the design allows in a window: a token may be used up to 0.4 s after the owner took it
// from the bucket, and nodes without an owner have whole tokens.
func promise(l allowance.Limit, nodes int) float64 {
	return l.Rate*(window.Seconds()+0.4) + max(l.Burst, 1) + min(l.Burst, float64(nodes)/2) + 1
}

// Guards against nodes that together admit more than an allowance in some window, whatever is lost, late, cut off, restarted,
// paused or changed. Demand is mostly above the allowance, and most events concern the owner of the key.
// Mutations: updateShare counts every node as lent; leases have no end; lend ignores to whom the part is lent.
func TestNodesKeepTheAllowanceTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := allowance.Limit{Rate: rapid.Float64Range(1, 60).Draw(t, "rate"), Burst: rapid.Float64Range(0, 200).Draw(t, "burst")}
		used := limit
		tolerant := rapid.Bool().Draw(t, "tolerant")
		if tolerant {
			used = limit.Tolerant(window, 0.1, 20)
		}
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 8).Draw(t, "nodes"), map[string]allowance.Limit{"k": used})
		n.advance(time.Duration(rapid.IntRange(0, 10).Draw(t, "idle"))*time.Second, nil)
		pick := func() int {
			if owner := n.owner(); owner >= 0 && rapid.IntRange(0, 3).Draw(t, "other") > 0 {
				return owner
			}
			return rapid.IntRange(0, len(n.members)-1).Draw(t, "member")
		}
		demand, at, returned, pending := 4*limit.Rate+20, -1, 0.0, 0.0
		for range rapid.IntRange(3, 15).Draw(t, "phases") {
			switch rapid.IntRange(0, 14).Draw(t, "event") {
			case 0, 12, 13:
				// After a quiet time the buckets are full, and whatever was hoarded is used with them.
				demand = (4*limit.Rate + limit.Burst) * rapid.SampledFrom([]float64{0, 0, 1, 5}).Draw(t, "demand")
				at = rapid.IntRange(-1, len(n.members)-1).Draw(t, "at")
			case 1:
				n.delay = time.Duration(rapid.IntRange(1, 600).Draw(t, "delay")) * time.Millisecond
				n.loss = rapid.Float64Range(0, 0.6).Draw(t, "loss")
			case 2, 3:
				n.side[pick()] = rapid.IntRange(1, 2).Draw(t, "side")
			case 4:
				n.side = make([]int, len(n.members))
				n.loss, n.delay = 0, 30*time.Millisecond
			case 5:
				n.kill(pick(), rapid.Bool().Draw(t, "told"))
			case 14:
				n.release(pick())
			case 6:
				n.start(pick())
			case 7, 8:
				n.pause(pick(), time.Duration(rapid.IntRange(50, 4000).Draw(t, "pause"))*time.Millisecond,
					rapid.Bool().Draw(t, "suspended"))
			case 9:
				if len(n.members) < 12 {
					n.add()
					n.announce()
				}
			case 10:
				returned = rapid.SampledFrom([]float64{0, 0, 0.5, 0.9}).Draw(t, "returned")
			case 11:
				n.members[pick()].wallStep += time.Duration(rapid.IntRange(-3000, 3000).Draw(t, "step")) * time.Millisecond
			}
			n.advance(time.Duration(rapid.SampledFrom([]int{50, 200, 500, 1000, 2500, 4000}).Draw(t, "ms"))*time.Millisecond, func() {
				for pending += demand * step.Seconds(); pending >= 1; pending-- {
					i := at
					if i < 0 {
						i = n.rand.IntN(len(n.members))
					}
					n.request(i, "k", n.rand.Float64() < returned)
				}
			})
		}
		most := float64(n.mostInWindow("k", window))
		require.LessOrEqual(t, most, bound(limit))
		if !tolerant {
			require.LessOrEqual(t, most, promise(limit, len(n.members)))
		}
	})
}

// Guards against tokens that are returned after the bucket was full again, which would add to a full burst.
// Mutation: owner.handle takes tokens of any epoch.
func TestTokensReturnedTooLateAreDropped(t *testing.T) {
	n := newNetwork(1, 4, map[string]allowance.Limit{"k": {Rate: 10, Burst: 100}})
	n.advance(15*time.Second, nil)
	n.returnAfter = 14 * time.Second
	n.requests(0, 100, true)
	n.advance(13*time.Second, nil) // The bucket has filled up again.
	n.requests(1, 100, false)
	n.advance(time.Second, nil)
	require.Empty(t, n.later)
	n.requests(2, 100, false)
	n.advance(time.Second, nil)
	require.LessOrEqual(t, n.mostInWindow("k", window), 100+10*5+5)
}

// Guards against an owner whose machine was suspended, so that its steady clock stood still: it goes on with a full bucket, and the
// next owner has one too.
// Mutation: longestSince uses the steady clock alone.
func TestSuspendedOwnerHasLostItsParts(t *testing.T) {
	limit := allowance.Limit{Rate: 10, Burst: 100}
	n := newNetwork(1, 4, map[string]allowance.Limit{"k": limit})
	n.advance(15*time.Second, nil)
	owner := n.owner()
	n.pause(owner, 15*time.Second, true)
	n.advance(15*time.Second, nil)
	n.requests(owner, 105, false)
	n.requests((owner+1)%4, 105, false)
	n.advance(time.Second, nil)
	require.LessOrEqual(t, float64(n.mostInWindow("k", window)), promise(limit, 4))
}

// Guards against a limit that was lowered and does not bind one window later.
// Mutation: owner.setLimits returns at once and handle uses the old limits.
func TestLoweredLimitBinds(t *testing.T) {
	n := newNetwork(1, 8, map[string]allowance.Limit{"k": {Rate: 500, Burst: 300}})
	demand := func() { n.request(n.rand.IntN(8), "k", false) }
	n.advance(5*time.Second, demand)
	require.Greater(t, len(n.used["k"]), 300)
	low := allowance.Limit{Rate: 4, Burst: 2}
	n.limits = map[string]allowance.Limit{"k": low}
	n.announce()
	n.advance(time.Second, demand)
	n.used["k"] = nil
	n.advance(15*time.Second, demand)
	require.LessOrEqual(t, float64(n.mostInWindow("k", window)), bound(low))
	require.Greater(t, len(n.used["k"]), 40, "the lowered limit is not used")
	n.limits = map[string]allowance.Limit{"k": {Rate: 500, Burst: 300}}
	n.announce()
	n.advance(3*time.Second, demand)
	n.used["k"], n.refused = nil, 0
	n.advance(2*time.Second, demand)
	require.Zero(t, n.refused, "the raised limit is not used")
}

// calm returns a network of the size of a deployment on which the owners are known.
func calm(limits map[string]allowance.Limit) *network {
	n := newNetwork(7, 86, limits)
	n.advance(8*time.Second, nil)
	return n
}

// Guards against requests within a limit that are refused since they arrive at another node than before: keys that send evenly
// over all nodes, one request in 10 s to each node, at one node only, or everything at once after a pause.
// Mutation: capacity returns half.
func TestKeysWithinTheirLimitAreNotRefused(t *testing.T) {
	n := calm(map[string]allowance.Limit{"even": {Rate: 100, Burst: 50}, "rare": {Rate: 10, Burst: 10}, "one": {Rate: 100, Burst: 50},
		"pulse": {Rate: 10, Burst: 50}})
	steps := 0
	n.advance(30*time.Second, func() {
		steps++
		if steps%3 == 0 {
			n.request(n.rand.IntN(86), "even", false)
		}
		if steps%23 == 0 {
			n.request(steps/23%86, "rare", false)
		}
		if steps%3 == 1 {
			n.request(17, "one", false)
		}
		if steps%2000 == 0 {
			for i := range 40 {
				n.request(i, "pulse", false)
			}
		}
	})
	n.advance(time.Second, nil)
	require.Zero(t, n.refused)
	require.Zero(t, n.unknown)
	require.Greater(t, n.granted, 2000)
	t.Logf("%d requests, %.1f messages a second for each node", n.granted, float64(n.messages)/40/86)
}

// Guards against an allowance that stays with the nodes that used it before: all demand of a key, over its limit, moves to
// other nodes, which have the whole rate half a second later.
// Mutation: useGrant holds the key for a minute.
func TestShiftOfDemandIsFollowed(t *testing.T) {
	limit := allowance.Limit{Rate: 200, Burst: 100}
	n := calm(map[string]allowance.Limit{"k": limit})
	nodes := 0
	demand := func() {
		for range 4 { // 800 a second
			n.request(nodes+n.rand.IntN(20), "k", false)
		}
	}
	n.advance(5*time.Second, demand)
	nodes = 40
	n.advance(500*time.Millisecond, demand)
	before := len(n.used["k"])
	n.advance(5*time.Second, demand)
	require.Greater(t, float64(len(n.used["k"])-before), 0.9*limit.Rate*5)
}

// Guards against a lost owner whose keys stay without tokens: the next owner takes over within 3 s.
// Mutation: avoidSilent never avoids a node.
func TestAnotherNodeTakesOverFromALostOwner(t *testing.T) {
	limit := allowance.Limit{Rate: 100, Burst: 50}
	n := newNetwork(3, 10, map[string]allowance.Limit{"k": limit})
	n.advance(4*time.Second, nil)
	survivor := (n.owner() + 1) % 10
	n.members[n.owner()].up = false
	ask := func() {
		if n.now%(4*step) == 0 {
			n.request(survivor, "k", false) // Its own part is a tenth of the rate.
		}
	}
	n.advance(3*time.Second, ask)
	n.refused, n.unknown, n.granted = 0, 0, 0
	n.advance(5*time.Second, ask)
	require.Zero(t, n.unknown)
	require.Zero(t, n.refused)
	require.Greater(t, n.granted, 180)
}

// Guards against busy nodes that stay with the owner that they found while the first one was silent: each owner then has a part of
// the allowance, and requests within it are refused.
// Mutation: Tick probes only when no request has asked for renewInterval.
func TestBusyNodesReturnToTheFirstOwner(t *testing.T) {
	n := newNetwork(3, 10, map[string]allowance.Limit{"k": {Rate: 500, Burst: 250}})
	next := 0
	demand := func() { // 40 a second at each node.
		for range 2 {
			n.request(next%len(n.members), "k", false)
			next++
		}
	}
	n.advance(4*time.Second, demand)
	owner := n.owner()
	n.pause(owner, 3*time.Second, false)
	n.advance(9*time.Second, demand)
	n.refused, n.unknown = 0, 0
	n.advance(10*time.Second, demand)
	require.Equal(t, []int{0, 0}, []int{n.refused, n.unknown})
	for i, m := range n.members {
		require.NotContains(t, m.Owners(), m.name)
		require.True(t, i == owner || len(m.Owners()) == 1 && m.Owners()[0] == n.members[owner].name, "%s asks %v", m.name, m.Owners())
	}
}

// Guards against nodes that were all cut off from each other, and avoid each other for many seconds afterwards: an account beyond its
// limit is told 429 again 4 s after the end of the cut.
// Mutation: probe passes over nodes that are avoided.
func TestNodesAgreeOnAnOwnerSoonAfterACut(t *testing.T) {
	for cut := 10 * time.Second; cut < 14*time.Second; cut += 500 * time.Millisecond {
		n := newNetwork(3, 3, map[string]allowance.Limit{"k": {Rate: 10, Burst: 15}})
		demand := func() { n.request(n.rand.IntN(len(n.members)), "k", false) }
		n.advance(4*time.Second, nil)
		n.side = []int{0, 1, 2}
		n.advance(cut, demand)
		n.side = []int{0, 0, 0}
		n.advance(4*time.Second, demand)
		n.refused, n.unknown = 0, 0
		n.advance(2*time.Second, demand)
		require.Zero(t, n.unknown, "cut of %v", cut)
		require.Positive(t, n.refused, "cut of %v", cut)
	}
}

// Guards against an owner that fails when it refuses a request within a window of its start: the clock of its process then shows less
// than a window. All nodes have started, and an account of which a part is below one token sends to all of them.
// Mutation: usage.at takes the remainder of the slot.
func TestOwnerRefusesRightAfterItsStart(t *testing.T) {
	n := newNetwork(1, 40, map[string]allowance.Limit{"k": allowance.Limit{Rate: 1, Burst: 1}.Tolerant(window, 0.1, 20)})
	n.advance(5*time.Second, func() { n.request(n.rand.IntN(len(n.members)), "k", false) })
	require.Positive(t, n.refused)
}

// Guards against a limit that leaves unused what it may use: under steady demand beyond it, nine tenths of the bound of a window are
// used, and a pause gives the whole burst at once.
// Mutation: Tolerant leaves the rate.
func TestTolerantLimitIsUsed(t *testing.T) {
	limit := allowance.Limit{Rate: 60, Burst: 60}
	n := newNetwork(1, 10, map[string]allowance.Limit{"k": limit.Tolerant(window, 0.1, 20)})
	n.advance(8*time.Second, nil)
	n.requests(3, 60, false)
	require.Zero(t, n.refused+n.unknown)
	n.advance(20*time.Second, func() { n.request(n.rand.IntN(10), "k", false) })
	require.LessOrEqual(t, float64(n.mostInWindow("k", window)), bound(limit))
	require.Greater(t, float64(len(n.used["k"])), 0.8*bound(limit)*20/window.Seconds())
}

// Guards against requests that are refused since the owner of their key is being restarted: the others take their parts back as soon
// as it says so, or when its process has ended.
// Mutations: HandleReply ignores Released in both places; Lost leaves lentUntil.
func TestRestartOfTheOwnerIsBridged(t *testing.T) {
	for name, end := range map[string]func(n *network, owner int){
		"stopped": func(n *network, owner int) { n.release(owner) },
		"killed":  func(n *network, owner int) { n.kill(owner, true) },
	} {
		n := newNetwork(3, 10, map[string]allowance.Limit{"k": {Rate: 100, Burst: 50}})
		n.advance(4*time.Second, nil)
		owner := n.owner()
		end(n, owner)
		n.advance(2*time.Second, func() {
			if n.now%(4*step) == 0 {
				n.request((owner+1+n.rand.IntN(9))%10, "k", false)
			}
		})
		n.advance(time.Second, nil)
		require.Equal(t, []int{0, 0}, []int{n.refused, n.unknown}, name)
		require.Equal(t, 100, n.granted, name)
	}
}

// Guards against requests within their limits that are refused for seconds after all nodes were restarted, when no node has an owner
// to ask. Each account asks for half of its limit, spread over all nodes. A node's part yields that within the second in which no part
// is lent; half of the requests of that second is asked for, since an account may come with its first request to a node whose part
// has yielded no token yet.
// Mutation: takeStart always reports false.
func TestKeysAreServedAfterAllNodesRestarted(t *testing.T) {
	limits := map[string]allowance.Limit{}
	for _, key := range []string{"a", "b", "c"} {
		limits[key] = allowance.Limit{Rate: 100, Burst: 100}.Tolerant(window, 0.1, 20)
	}
	n := newNetwork(1, 32, limits)
	demand := func() {
		for key := range limits {
			if n.rand.IntN(4) == 0 { // A quarter of 200 steps a second.
				n.request(n.rand.IntN(len(n.members)), key, false)
			}
		}
	}
	n.advance(5*time.Second, demand)
	for i := range n.members {
		n.members[i].up = false
	}
	n.advance(500*time.Millisecond, nil)
	for i := range n.members {
		n.start(i)
	}
	n.granted, n.refused, n.unknown = 0, 0, 0
	n.advance(time.Second, demand)
	require.Greater(t, n.granted, (n.granted+n.refused+n.unknown)/2)
	n.advance(time.Second, demand)
	n.granted, n.refused, n.unknown = 0, 0, 0
	n.advance(3*time.Second, demand)
	require.Zero(t, n.refused+n.unknown)
}

// Guards against requests that are told to come back while no part is lent yet after a restart of all nodes, and are refused again. An
// account of which a part is below one token sends half of its limit, spread over all nodes; callers come back once.
// Mutation: unknownRetryAfter returns minUnknownRetryAfter.
func TestRequestsReturnOncePartsAreLentAgain(t *testing.T) {
	lost, told := 0, 0
	for seed := range uint64(10) {
		n := newNetwork(seed, 86, map[string]allowance.Limit{"k": allowance.Limit{Rate: 14, Burst: 14}.Tolerant(window, 0.1, 20)})
		n.advance(5*time.Second, nil)
		for i := range n.members {
			n.members[i].up = false
		}
		n.advance(500*time.Millisecond, nil)
		for i := range n.members {
			n.start(i)
		}
		returns := map[time.Duration][]int{}
		take := func(i int, again bool) {
			n.members[i].Take(n.reading(i), "k", func(o allowance.Outcome) {
				switch o := o.(type) {
				case allowance.Unknown:
					if again {
						lost++
						return
					}
					told++
					at := n.now + o.RetryAfter.Truncate(step) + step
					returns[at] = append(returns[at], i)
				case allowance.Refused:
					lost++
				}
			})
			n.flush(i)
		}
		n.advance(5*time.Second, func() {
			if n.now%(28*step) == 0 {
				take(n.rand.IntN(len(n.members)), false)
			}
			for _, i := range returns[n.now] {
				take(i, true)
			}
		})
	}
	require.Positive(t, told)
	require.Zero(t, lost, "of %d", told)
}

// Guards against messages that name no group, key or node and crash a node or lend it something.
// Mutation: Ask.valid returns true.
func TestForgedMessagesAreIgnored(t *testing.T) {
	limits := map[string]allowance.Limit{"k": {Rate: 1, Burst: 1}}
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(1, 2, limits)
		n.advance(3*time.Second, nil)
		m, now := n.members[0], n.reading(0)
		number := rapid.IntRange(-2, 1<<40)
		key := rapid.SampledFrom([]string{"k", "", "unknown"})
		group := allowance.Group{Index: number.Draw(t, "index"), Count: rapid.SampledFrom([]int{0, 1, 2, 3, 1 << 20, -1}).Draw(t, "count")}
		stamp := allowance.Stamp{Incarnation: m.Incarnation, At: allowance.Reading{Steady: time.Duration(rapid.Int64().Draw(t, "steady"))}}
		a := allowance.Ask{Node: "stranger", Group: group, Number: rapid.Uint64().Draw(t, "number"), Lent: &stamp,
			Wants:   []allowance.Want{{Key: key.Draw(t, "key"), Tokens: number.Draw(t, "tokens"), Spare: number.Draw(t, "spare")}},
			Returns: []allowance.Return{{Key: key.Draw(t, "key"), Incarnation: m.Incarnation, Tokens: number.Draw(t, "tokens")}}}
		r, ok := m.HandleAsk(now, a)
		require.True(t, !ok || group.Index >= 0 && group.Index < group.Count)
		r.Number, r.Node = rapid.Uint64().Draw(t, "number"), rapid.SampledFrom([]string{"node-0", "node-1"}).Draw(t, "node")
		r.Grants = append(r.Grants, allowance.Grant{Key: key.Draw(t, "key"), Tokens: number.Draw(t, "tokens"), WaitMS: int64(number.Draw(t, "wait"))})
		m.HandleReply(now, r)
		n.flush(0)
		n.advance(8*time.Second, func() { n.request(0, "k", false) })
		require.LessOrEqual(t, float64(n.mostInWindow("k", window)), bound(limits["k"]))
	})
}
