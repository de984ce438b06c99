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

const objective = time.Second

var (
	start = time.Unix(1000, 0)
	home  = balance.Place{Region: "rn", AvailabilityZone: "rn-1"}
	query = dispatch.Query{Service: "maps", Route: "read", Objective: objective, MaxWait: objective / 4}
)

func newChooser() *dispatch.Chooser {
	c := &dispatch.Chooser{}
	c.Update(home, []dispatch.Candidate{
		{Address: "near", Service: "maps", Place: home, Slots: 10},
		{Address: "zone", Service: "maps", Place: balance.Place{Region: "rn", AvailabilityZone: "rn-2"}, Slots: 10},
		{Address: "far", Service: "maps", Place: balance.Place{Region: "ce", AvailabilityZone: "ce-1"}, Slots: 10},
		{Address: "other", Service: "nursery", Place: home, Slots: 10},
	})
	return c
}

func choose(t *testing.T, c *dispatch.Chooser, now time.Time, q dispatch.Query) dispatch.Choice {
	t.Helper()
	choice, ok := c.Choose(now, q, kernel.NewRand(1))
	require.True(t, ok)
	return choice
}

func fullLoad(wait time.Duration) slots.Load { return slots.Load{Running: 10, Limit: 10, Wait: wait} }

// Guards against calls that leave their zone or region while a nearer backend server has free capacity, and against a surge
// that is refused while another zone or region has free capacity.
func TestSurgeSpillsToTheNearestFreeCapacityAndBack(t *testing.T) {
	c := newChooser()
	require.Equal(t, "near", choose(t, c, start, query).Address)
	c.RecordLoad(start, "near", fullLoad(100*time.Millisecond))
	require.Equal(t, "zone", choose(t, c, start, query).Address)
	c.RecordLoad(start, "zone", fullLoad(200*time.Millisecond))
	require.Equal(t, "near", choose(t, c, start, query).Address, "a short wait costs less than a call to another region")
	c.RecordLoad(start, "near", fullLoad(900*time.Millisecond))
	c.RecordLoad(start, "zone", fullLoad(900*time.Millisecond))
	require.Equal(t, "far", choose(t, c, start, query).Address)
	require.Equal(t, "near", choose(t, c, start.Add(time.Second), query).Address)
}

// Guards against a call that waits longer at one backend server than a call to the second-best one would cost.
func TestWaitIsBoundedByTheSecondBest(t *testing.T) {
	c := newChooser()
	c.RecordOutcome(start, "near", dispatch.Answered{Route: "read", RunTime: 50 * time.Millisecond, Bytes: 10 << 10})
	c.RecordLoad(start, "near", fullLoad(2*time.Millisecond))
	choice := choose(t, c, start, query)
	require.Equal(t, "near", choice.Address)
	require.Less(t, choice.MaxWait, objective/4)
	require.GreaterOrEqual(t, choice.MaxWait, objective/25)
	q := query
	q.Exclude = kernel.SetOf("zone", "far")
	require.Equal(t, q.MaxWait, choose(t, c, start, q).MaxWait)
}

// Guards against calls that stay with a backend server in their own zone after it has become many times slower, and against
// a slow backend server that is never tried again.
func TestSlowBackendServerIsAvoidedThenRetried(t *testing.T) {
	c := newChooser()
	for range 50 {
		c.RecordOutcome(start, "near", dispatch.Answered{Route: "read", RunTime: 50 * time.Millisecond})
		c.RecordOutcome(start, "zone", dispatch.Answered{Route: "read", RunTime: 50 * time.Millisecond})
	}
	require.Equal(t, "near", choose(t, c, start, query).Address)
	for range 10 {
		c.RecordOutcome(start, "near", dispatch.Answered{Route: "read", RunTime: 300 * time.Millisecond})
	}
	require.Equal(t, "zone", choose(t, c, start, query).Address)
	require.Equal(t, "near", choose(t, c, start.Add(30*time.Second), query).Address)
}

// Guards against calls to an unusable backend server while others are left, and against failing although it is the only one
// left.
func TestUnusableBackendServerIsALastResort(t *testing.T) {
	c := newChooser()
	c.RecordOutcome(start, "near", dispatch.Unusable{})
	require.Equal(t, "zone", choose(t, c, start, query).Address)
	q := query
	q.Exclude = kernel.SetOf("zone", "far")
	require.Equal(t, "near", choose(t, c, start, q).Address)
	q.Exclude = q.Exclude.With("near")
	_, ok := c.Choose(start, q, kernel.NewRand(1))
	require.False(t, ok)
	require.Equal(t, "near", choose(t, c, start.Add(time.Second), query).Address)
}

// Guards against calls that stay with near backend servers that fail half of them while a farther one has free capacity, and
// against a failing backend server that is never tried again.
func TestFailingBackendServerIsAvoidedThenRetried(t *testing.T) {
	c := newChooser()
	for i := range 20 {
		o := dispatch.Outcome(dispatch.Failed{})
		if i%2 == 0 {
			o = dispatch.Answered{Route: "read", RunTime: 50 * time.Millisecond}
		}
		c.RecordOutcome(start, "near", o)
		c.RecordOutcome(start, "zone", o)
	}
	require.Equal(t, "far", choose(t, c, start, query).Address)
	require.Equal(t, "near", choose(t, c, start.Add(20*time.Second), query).Address)
}

// Guards against a request that is refused although the services downstream are short of capacity only in its own region,
// and against calls to backend servers that have just capped the route.
func TestCappedRouteGoesToAnotherRegion(t *testing.T) {
	c := newChooser()
	c.RecordOutcome(start, "near", dispatch.Capped{Route: "read"})
	c.RecordOutcome(start, "zone", dispatch.Capped{Route: "read"})
	require.Equal(t, "far", choose(t, c, start, query).Address)
	other := query
	other.Route = "write"
	require.Equal(t, "near", choose(t, c, start, other).Address)
	c.RecordOutcome(start, "far", dispatch.Capped{Route: "read"})
	_, ok := c.Choose(start, query, kernel.NewRand(1))
	require.False(t, ok)
	require.Equal(t, "near", choose(t, c, start.Add(time.Second), query).Address)
}
