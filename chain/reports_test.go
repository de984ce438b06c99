package chain_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/chain"
	"lovagelane/kernel"
)

// Guards against a report from a single run, a wrong share, and a share that stays after the runs it is made of have become old.
func TestReportNeedsRecentEvidence(t *testing.T) {
	var e chain.Ends
	require.Zero(t, e.Report(start, "page"))
	for i := range 3 {
		e.Record(start, "page", i == 0)
	}
	require.Zero(t, e.Report(start, "page"), "three runs are too few")
	e.Record(start, "page", false)
	share, ok := e.Report(start, "page").BadShare()
	require.True(t, ok)
	require.InDelta(t, 0.25, share, 0.005)
	require.Zero(t, e.Report(start, "order"))
	require.Zero(t, e.Report(start.Add(time.Second), "page"))
	for range 8 {
		e.Record(start.Add(2*time.Second), "page", true)
	}
	share, _ = e.Report(start.Add(2*time.Second), "page").BadShare()
	require.Greater(t, share, 0.95)
	require.LessOrEqual(t, e.Report(start.Add(2*time.Second), "page"), chain.MaxReport)
}

// Guards against calls of backend servers that count as requests of outside callers, which the gate may refuse, and against routes
// of outside callers that are never recognised.
func TestOutsideRoutesAreCalledFromNearlyAllServices(t *testing.T) {
	var c chain.Callers
	nodes := map[string]int{"maps": 20, "orders": 16, "bay": 8, "roster": 14, "rare": 2}
	require.False(t, c.Outside(start, "page", nodes))
	for _, service := range []string{"maps", "orders", "bay", "roster"} {
		c.Record(start, "page", service)
	}
	c.Record(start, "ledger", "maps")
	c.Record(start, "ledger", "orders")
	require.True(t, c.Outside(start, "page", nodes))
	require.False(t, c.Outside(start, "ledger", nodes))
	require.True(t, c.Outside(start.Add(400*time.Millisecond), "page", nil), "checked twice a second")
	require.False(t, c.Outside(start.Add(11*time.Second), "page", nodes), "the calls are too old")
}

// Guards against calls of backend servers that are refused although their request has cost work, against requests that are refused
// after a single backend server has reported, and against a Retry-After that promises more than is known.
func TestGateNeedsEvidenceOfOutsideRequests(t *testing.T) {
	random := kernel.NewRand(1)
	refuses := func(outside bool, reporters string) bool {
		var g chain.Gate
		refused := false
		for at := time.Duration(0); at < 5*time.Second; at += step {
			now := start.Add(at)
			for _, reporter := range reporters {
				g.Report(now, other, string(reporter), chain.MaxReport, outside)
				g.Report(now, important, string(reporter), chain.MaxReport, true)
			}
			require.Equal(t, chain.Started{}, admit(&g, now, important, random))
			if d, ok := admit(&g, now, other, random).(chain.Refused); ok {
				refused = true
				require.GreaterOrEqual(t, d.RetryAfter, 300*time.Millisecond)
				require.LessOrEqual(t, d.RetryAfter, max(2*at, 700*time.Millisecond))
			}
		}
		return refused
	}
	require.True(t, refuses(true, "ab"))
	require.False(t, refuses(true, "a"))
	require.False(t, refuses(false, "ab"))
}

// Guards against a backend server that counts as failing after it has recovered, or on the word of a report that is too old.
func TestBadReportersAreThoseOfTheLastSeconds(t *testing.T) {
	var g chain.Gate
	require.Empty(t, g.BadReporters(start, other))
	g.Report(start, other, "a", chain.MaxReport, true)
	g.Report(start, other, "b", 51, true)
	g.Report(start, other, "c", chain.MaxReport, true)
	g.Report(start.Add(time.Second), other, "c", 1, true)
	require.Equal(t, kernel.SetOf("a"), g.BadReporters(start.Add(time.Second), other), "half of the runs at b end well")
	require.Empty(t, g.BadReporters(start.Add(3*time.Second), other))
}

// Guards against a class that is refused although nothing more important fails: refusing it would complete no more requests.
func TestGateRefusesOnlyForMoreImportantClasses(t *testing.T) {
	random := kernel.NewRand(1)
	var g chain.Gate
	for at := time.Duration(0); at < 5*time.Second; at += step {
		now := start.Add(at)
		for _, reporter := range []string{"a", "b"} {
			g.Report(now, other, reporter, chain.MaxReport, true)
			g.Report(now, important, reporter, 1, true)
		}
		require.Equal(t, chain.Started{}, admit(&g, now, other, random))
	}
}

// Guards against an estimate of what a successful call is worth that is wrong for runs of one call, of many, or with failures of
// other causes. Mutation: the share of runs that end well in its place.
func TestCompletesIsTheShareOfCallsOfGoodRuns(t *testing.T) {
	random := kernel.NewRand(1)
	for _, calls := range []int{1, 2, 4, 8} {
		for _, reject := range []float64{0.02, 0.3, 0.45, 0.6} {
			succeeded, ofGoodRuns, bad, badRuns, made := 0, 0, 0, 0, 0
			const runs = 20000
			for range runs {
				good := 0
				for good < calls && random.Float64() >= reject {
					good++
				}
				succeeded, made = succeeded+good, made+min(good+1, calls)
				if good == calls {
					ofGoodRuns += calls
				} else {
					bad, badRuns = bad+1, badRuns+1
				}
			}
			want := float64(ofGoodRuns) / float64(succeeded)
			got := chain.Completes(reportOf(bad, made), reportOf(badRuns, runs))
			require.InDelta(t, want, got, 0.08, "%d calls, %.2f rejected", calls, reject)
		}
	}
	require.InDelta(t, 1, chain.Completes(0, chain.MaxReport), 0, "no calls known")
	require.InDelta(t, 1, chain.Completes(reportOf(1, 2), 0), 0, "no runs known")
	require.InDelta(t, 1, chain.Completes(reportOf(1, 2), reportOf(1, 4)), 0, "runs that do without the call")
	require.InDelta(t, 0, chain.Completes(chain.MaxReport, chain.MaxReport), 0, "nothing ends well")
}

func reportOf(bad, all int) chain.Report {
	return chain.Report(math.Round(100*float64(bad)/float64(all))) + 1
}

// Guards against calls that are judged by a route that makes none. Mutation: Worst returns the last route.
func TestWorstRouteCounts(t *testing.T) {
	var ends chain.Ends
	require.Zero(t, ends.Worst(start))
	for range 8 {
		ends.Record(start, "reissue", false)
		ends.Record(start, "log", true)
		ends.Record(start, "page", false)
	}
	ends.Record(start, "rare", true)
	require.Equal(t, chain.MaxReport, ends.Worst(start))
	require.Zero(t, ends.Worst(start.Add(time.Minute)), "no recent runs")
}
