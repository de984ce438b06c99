package chain_test

import (
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
