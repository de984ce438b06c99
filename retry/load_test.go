package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/kernel"
	"lovagelane/retry"
)

const (
	loadStep = 10 * time.Millisecond
	// shedFrom and shedTo are when the service rejects calls.
	shedFrom, shedTo = 10 * time.Second, 18500 * time.Millisecond
	loadRatio        = 0.2
)

// source offers requests of which each makes calls to one service, one after the other, with two attempts each.
type source struct {
	rate   float64
	calls  int
	saving retry.Saving
}

// serviceLoad is the load on one service that a node repeats calls to.
type serviceLoad struct {
	sources []source
	// rejects is the share of the calls that are rejected, and repeatsRejected that of repeats.
	rejects, repeatsRejected float64
	// surge multiplies the rate of the last source during the shortage.
	surge float64
	// errors is the share of the calls that are rejected at other times.
	errors float64
	// inOrder lets the repeats be taken in the order of arrival.
	inOrder bool
}

// loadCounts holds what became of the requests of a source in the shortage.
type loadCounts struct {
	offered, completed, denied int
	// keptBackLater counts the repeats that were kept back later than 2 s after the shortage.
	keptBackLater int
}

func (l serviceLoad) play(seed uint64) []loadCounts {
	random := kernel.NewRand(seed)
	w := retry.WindowBudgets{Ratio: loadRatio, Length: 10 * time.Second}
	counts := make([]loadCounts, len(l.sources))
	start := time.Unix(1000, 0)
	for at := time.Duration(0); at < 30*time.Second; at += loadStep {
		now, shed := start.Add(at), at >= shedFrom && at < shedTo
		rejects, repeatsRejected := l.errors, l.errors
		if shed {
			rejects, repeatsRejected = l.rejects, l.repeatsRejected
		}
		for i, s := range l.sources {
			rate := s.rate
			if shed && l.surge > 0 && i == len(l.sources)-1 {
				rate *= l.surge
			}
			for expected := rate * loadStep.Seconds(); expected > 0; expected-- {
				if random.Float64() >= expected {
					continue
				}
				n, completed := &counts[i], true
				for call := 0; call < s.calls && completed; call++ {
					w.CountRequest(now, "maps")
					if random.Float64() >= rejects {
						continue
					}
					decision := retry.Allowed
					if !l.inOrder {
						decision = w.WithdrawFor(now, "maps", 1, 1, s.saving)
					} else if !w.Withdraw(now, "maps", 1, 1) {
						decision = retry.Exhausted
					}
					completed = decision == retry.Allowed && random.Float64() >= repeatsRejected
					switch {
					case decision == retry.Allowed:
					case shed:
						n.denied++
					case decision == retry.KeptBack && at >= shedTo+2*time.Second:
						n.keptBackLater++
					}
				}
				if shed {
					n.offered++
					if completed {
						n.completed++
					}
				}
			}
		}
	}
	return counts
}

// playAll returns the sums over 20 seeds with the repeats taken by what they save and, as the second result, in the order of arrival.
func (l serviceLoad) playAll(t *testing.T) (byValue, inOrder []loadCounts) {
	t.Helper()
	byValue, inOrder = make([]loadCounts, len(l.sources)), make([]loadCounts, len(l.sources))
	for seed := uint64(1); seed <= 20; seed++ {
		l.inOrder = false
		addCounts(byValue, l.play(seed))
		l.inOrder = true
		addCounts(inOrder, l.play(seed))
	}
	t.Logf("by value %+v, in order %+v", byValue, inOrder)
	return byValue, inOrder
}

func addCounts(total, counts []loadCounts) {
	for i, n := range counts {
		total[i].offered += n.offered
		total[i].completed += n.completed
		total[i].denied += n.denied
		total[i].keptBackLater += n.keptBackLater
	}
}

// The savings of calls of four and of eight, of which 0.085 and 0.007 end well, and of requests that make one call.
var (
	callOfFour  = retry.Saving{Kind: "index", Completes: 0.32, Spent: true}
	callOfEight = retry.Saving{Kind: "index", Completes: 0.05, Spent: true}
	orders      = source{rate: 40, calls: 4, saving: callOfFour}
	pages       = source{rate: 40, calls: 1, saving: retry.Saving{Kind: "page", Rank: 2, Completes: 1}}
)

// Pattern: the last service of a chain of four rejects 55% for 8.5 s, and less important requests go to it as well. Guards against
// repeats that these take from chains that are more important. Mutation: WithdrawFor never keeps back.
//
// The calls fall from 200 to 141 a second, so that 0.92 x 0.2 x (300 + 1,200) = 276 repeats are allowed at the end. At 1.39 each,
// 199 of 340 chains complete with 0.70^4 = 0.24, and the others with 0.45^4 = 0.041: 53 or 0.157 of all.
func TestLastServiceOfAChainRejectsMostCalls(t *testing.T) {
	l := serviceLoad{sources: []source{orders, pages}, rejects: 0.55, repeatsRejected: 0.55}
	byValue, inOrder := l.playAll(t)
	require.Greater(t, float64(byValue[0].completed), 0.9*0.157*float64(byValue[0].offered))
	require.Greater(t, byValue[0].completed, inOrder[0].completed)
	const twoRanks = 2 * 2
	require.Greater(t, twoRanks*byValue[0].completed+byValue[1].completed, twoRanks*inOrder[0].completed+inOrder[1].completed)
}

// Pattern: the same, with chains of eight and requests of the same rank that make one call. Guards against repeats that go to calls of
// which few complete a request, while those of others would.
//
// All 187 repeats of the 340 requests are allowed, which complete 0.45 + 0.55 x 0.45 = 0.70 of them: 237.
func TestRepeatsGoWhereTheyCompleteRequests(t *testing.T) {
	alike := source{rate: 40, calls: 1, saving: retry.Saving{Kind: "page", Completes: 1}}
	l := serviceLoad{sources: []source{{rate: 20, calls: 8, saving: callOfEight}, alike},
		rejects: 0.55, repeatsRejected: 0.55}
	byValue, inOrder := l.playAll(t)
	require.Greater(t, float64(byValue[1].completed), 0.9*0.70*float64(byValue[1].offered))
	require.Greater(t, byValue[0].completed+byValue[1].completed, inOrder[0].completed+inOrder[1].completed)
}

// Pattern: the service rejects 55% in one of six zones, where a repeat goes to another one. Guards against repeats that are kept back
// although the budget suffices.
func TestShedInOneZoneKeepsNothingBack(t *testing.T) {
	l := serviceLoad{sources: []source{orders, pages}, rejects: 0.55 / 6}
	byValue, inOrder := l.playAll(t)
	require.Zero(t, byValue[0].denied+byValue[1].denied)
	require.Equal(t, inOrder, byValue)
}

// Pattern: callers of the less important requests send three times as many while the service rejects 55%. Guards against a budget that
// is spent on them: the chains complete as often as in order of arrival without them.
func TestRetryAbuseDuringAShedLeavesChainsTheirRepeats(t *testing.T) {
	l := serviceLoad{sources: []source{orders, pages}, rejects: 0.55, repeatsRejected: 0.55}
	_, calm := l.playAll(t)
	l.surge = 3
	byValue, inOrder := l.playAll(t)
	require.GreaterOrEqual(t, share(byValue[0]), share(calm[0]))
	require.Less(t, share(inOrder[0]), 0.9*share(calm[0]))
}

func share(n loadCounts) float64 { return float64(n.completed) / float64(n.offered) }

// Pattern: the shed ends, and 1% of the calls fail before and after it. Guards against a budget that is kept back for repeats that
// nobody asks for any more, and against one that is kept back for single errors.
func TestNothingIsKeptBackAfterAShed(t *testing.T) {
	l := serviceLoad{sources: []source{orders, pages}, rejects: 0.55, repeatsRejected: 0.55, errors: 0.01}
	byValue, _ := l.playAll(t)
	require.Positive(t, byValue[1].denied)
	require.Zero(t, byValue[1].keptBackLater)
	l.rejects, l.repeatsRejected = l.errors, l.errors
	byValue, _ = l.playAll(t)
	require.Zero(t, byValue[1].denied)
}

// Guards against a node of few requests that keeps its budget back after a single error. Mutation: demand is expected for a whole window.
func TestSingleErrorKeepsNothingBack(t *testing.T) {
	w, now := retry.WindowBudgets{Ratio: loadRatio, Length: 10 * time.Second}, time.Unix(1000, 0)
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		w.CountRequest(now, "maps")
	}
	require.Equal(t, retry.Allowed, w.WithdrawFor(now, "maps", 1, 1, retry.Saving{Kind: "order", Completes: 1}))
	require.Equal(t, retry.Allowed, w.WithdrawFor(now, "maps", 1, 1, pages.saving))
}

// Pattern: a service begins to reject most calls, so that a call completes ever fewer requests. Guards against budget that is kept back
// from calls for earlier ones of the same kind, which saved more. Mutation: alike compares the levels as well.
func TestCallsOfFallingValueKeepNothingBackFromEachOther(t *testing.T) {
	w, now := retry.WindowBudgets{Ratio: loadRatio, Length: 10 * time.Second}, time.Unix(1000, 0)
	for i := range 4000 {
		now = now.Add(5 * time.Millisecond)
		w.CountRequest(now, "maps")
		if i >= 3000 && i%2 == 0 {
			saving := retry.Saving{Kind: "index", Completes: max(1-float64(i-3000)/200, 0.1), Spent: true}
			require.NotEqual(t, retry.KeptBack, w.WithdrawFor(now, "maps", 1, 1, saving))
		}
	}
}

// Guards against repeats of some value that exceed the budget, and against a node that allows more by value than in order.
// Mutation: WithdrawFor doesn't count the cost.
func TestRepeatsByValueStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, fixed, length = 0.2, 30.0, 10 * time.Second
		nodes := make([]retry.WindowBudgets, rapid.IntRange(1, 5).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = retry.WindowBudgets{Ratio: ratio, Fixed: fixed, Length: length}
		}
		random := kernel.NewRand(rapid.Uint64().Draw(t, "seed"))
		rejects := rapid.Float64Range(0, 1).Draw(t, "rejects")
		maxGap := rapid.IntRange(1, 200).Draw(t, "gap")
		var requests, repeats []time.Time
		now := time.Unix(1000, 0)
		for range 1500 {
			now = now.Add(time.Duration(random.IntN(maxGap)) * time.Millisecond)
			n := &nodes[random.IntN(len(nodes))]
			n.CountRequest(now, "maps")
			requests = append(requests, now)
			saving := retry.Saving{Kind: string(rune('a' + random.IntN(3))), Rank: random.IntN(40) - 2, Completes: 1.4*random.Float64() - 0.2,
				Spent: random.IntN(2) == 0, Late: random.IntN(4) == 0}
			if random.Float64() < rejects && n.WithdrawFor(now, "maps", 1, len(nodes), saving) == retry.Allowed {
				repeats = append(repeats, now)
			}
		}
		for i, from := range repeats {
			allowed := ratio*float64(inWindow(requests, from.Add(-length), 2*length)) + fixed
			require.LessOrEqual(t, float64(inWindow(repeats[i:], from, length)), allowed)
		}
	})
}
