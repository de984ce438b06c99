package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/balance"
	"lovagelane/dispatch"
	"lovagelane/kernel"
	"lovagelane/slots"
)

// reported returns a chooser for two equal backend servers whose route takes 100 ms.
func reported() *dispatch.Chooser {
	c := &dispatch.Chooser{}
	c.Update(home, []dispatch.Candidate{{Address: "a", Service: "maps", Place: home, Slots: 10},
		{Address: "b", Service: "maps", Place: home, Slots: 10}})
	c.RecordOutcome(start, "a", dispatch.Answered{Route: "read", RunTime: 100 * time.Millisecond})
	return c
}

// shareOf returns the share of calls that go to a backend server.
func shareOf(t *testing.T, c *dispatch.Chooser, now time.Time, address string) float64 {
	t.Helper()
	n, random := 0, kernel.NewRand(1)
	for range 100 {
		if chooseWith(t, c, now, query, random).Address == address {
			n++
		}
		for _, a := range []string{"a", "b"} {
			c.RecordLoad(now, a, slots.Load{Limit: 10})
		}
	}
	return float64(n) / 100
}

// Guards against a backend server whose node reports long run times and that is chosen until ten of its answers have shown them,
// and against one that is never tried again.
func TestReportedRunTimeDecidesAtOnceAndAges(t *testing.T) {
	c := reported()
	c.RecordRunTime(start, "b", "read", 100*time.Millisecond)
	c.RecordRunTime(start, "a", "read", 800*time.Millisecond)
	require.Zero(t, shareOf(t, c, start, "a"))
	require.Positive(t, shareOf(t, c, start.Add(10*time.Second), "a"))
}

// Guards against calls that leave for a backend server without a recent report, as in another region, when all turn slow: the other
// one isn't slower than usual for its service.
func TestCommonSlownessMovesNoCalls(t *testing.T) {
	c := reported()
	for i := range 40 {
		c.RecordRunTime(start.Add(time.Duration(i)*10*time.Millisecond), "a", "read", 300*time.Millisecond)
	}
	c.RecordOutcome(start, "b", dispatch.Answered{Route: "read", RunTime: 100 * time.Millisecond})
	now := start.Add(2 * time.Second)
	for range 10 {
		c.RecordRunTime(now, "a", "read", 300*time.Millisecond)
	}
	require.Positive(t, shareOf(t, c, now, "a"))
}

// Guards against equal backend servers of which all callers choose the one whose reported run time is shorter by chance.
func TestCallsSpreadDespiteSmallDifferences(t *testing.T) {
	c := reported()
	c.RecordRunTime(start, "a", "read", 95*time.Millisecond)
	c.RecordRunTime(start, "b", "read", 105*time.Millisecond)
	c.RecordLoad(start, "a", slots.Load{Running: 9, Limit: 10})
	c.RecordLoad(start, "b", slots.Load{Running: 1, Limit: 10})
	require.Equal(t, "b", choose(t, c, start, query).Address)
}

// Guards against a backend server that answers nothing in time and is chosen as before, since only answers are observations.
func TestOverdueCallsAreObservations(t *testing.T) {
	c := reported()
	for range 5 {
		c.RecordOverdue(start, "a", "read", 500*time.Millisecond)
	}
	require.Zero(t, shareOf(t, c, start, "a"))
}

// Guards against calls that leave their region for a backend server whose report rests on a few short runs, while a slow one of the
// own region gets less than the fast ones beside it.
func TestSlowOneAmongFastOnesMovesNoCallsToOtherRegions(t *testing.T) {
	c := &dispatch.Chooser{}
	away := balance.Place{Region: "away", AvailabilityZone: "away-1"}
	c.Update(home, []dispatch.Candidate{{Address: "a", Service: "maps", Place: home, Slots: 10},
		{Address: "b", Service: "maps", Place: home, Slots: 10}, {Address: "c", Service: "maps", Place: home, Slots: 10},
		{Address: "d", Service: "maps", Place: away, Slots: 10}})
	c.RecordOutcome(start, "a", dispatch.Answered{Route: "read", RunTime: 800 * time.Millisecond})
	random, sent := kernel.NewRand(1), map[string]int{}
	runTimes := map[string]time.Duration{"a": 2400, "b": 800, "c": 800, "d": 200}
	for i := range 300 {
		now := start.Add(time.Duration(i) * 5 * time.Millisecond)
		for _, address := range []string{"a", "b", "c", "d"} {
			c.RecordLoad(now, address, slots.Load{Limit: 10})
			c.RecordRunTime(now, address, "read", runTimes[address]*time.Millisecond)
		}
		address := chooseWith(t, c, now, query, random).Address
		sent[address]++
		c.RecordOutcome(now, address, dispatch.Answered{Route: "read", RunTime: runTimes[address] * time.Millisecond})
	}
	require.Zero(t, sent["d"])
	require.Less(t, sent["a"], 10)
	require.Greater(t, min(sent["b"], sent["c"]), 50)
}
