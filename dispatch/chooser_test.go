package dispatch_test

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
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
	return chooseWith(t, c, now, q, kernel.NewRand(1))
}

func chooseWith(t *testing.T, c *dispatch.Chooser, now time.Time, q dispatch.Query, random *kernel.Rand) dispatch.Choice {
	t.Helper()
	choice, ok := c.Choose(now, q, random)
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

// Guards against asks of other regions that gain nothing, and against near backend servers that are passed over for the same reason:
// an ask of them costs little.
func TestVainNodesOfOtherRegionsAreNotAsked(t *testing.T) {
	c := newChooser()
	q := query
	q.Vain = kernel.SetOf("zone", "far")
	c.RecordOutcome(start, "near", dispatch.Capped{Route: "read"})
	require.Equal(t, "zone", choose(t, c, start, q).Address)
	c.RecordOutcome(start, "zone", dispatch.Capped{Route: "read"})
	_, ok := c.Choose(start, q, kernel.NewRand(1))
	require.False(t, ok)
	q.Vain = nil
	require.Equal(t, "far", choose(t, c, start, q).Address)
}

// Guards against small calls that wait in a region short of room while another one has free slots, and against large answers
// that cross regions for a small gain: the traffic is billed by volume.
func TestDistanceIsWeighedByBytes(t *testing.T) {
	c := newChooser()
	c.Update(home, []dispatch.Candidate{
		{Address: "near", Service: "maps", Place: home, Slots: 10},
		{Address: "far", Service: "maps", Place: balance.Place{Region: "ce", AvailabilityZone: "ce-1"}, Slots: 10},
	})
	for range 100 {
		c.RecordOutcome(start, "near", dispatch.Answered{Route: "lookup", RunTime: 40 * time.Millisecond, Bytes: 600})
		c.RecordOutcome(start, "near", dispatch.Answered{Route: "photograph", RunTime: 40 * time.Millisecond, Bytes: 60_000})
	}
	c.RecordLoad(start, "near", fullLoad(200*time.Millisecond))
	q := query
	q.Route = "lookup"
	require.Equal(t, "far", choose(t, c, start, q).Address)
	q.Route = "photograph"
	require.Equal(t, "near", choose(t, c, start, q).Address)
}

// Guards against calls that two regions exchange while both are full: a backend server without a recent report counts as full as
// its region, and a full region as farther away.
func TestFullRegionsExchangeNoCalls(t *testing.T) {
	var c dispatch.Chooser
	candidates := []dispatch.Candidate{{Address: "near", Service: "maps", Place: home, Slots: 10}}
	for _, address := range []string{"far-1", "far-2", "far-3"} {
		candidates = append(candidates, dispatch.Candidate{Address: address, Service: "maps", Slots: 10,
			Place: balance.Place{Region: "ce", AvailabilityZone: "ce-1"}})
	}
	c.Update(home, candidates)
	now := start
	for range 40 {
		now = now.Add(20 * time.Millisecond)
		c.RecordLoad(now, "far-1", fullLoad(200*time.Millisecond))
		c.RecordLoad(now, "far-2", fullLoad(200*time.Millisecond))
		c.RecordLoad(now, "near", fullLoad(250*time.Millisecond))
	}
	require.Equal(t, "near", choose(t, &c, now, query).Address, "far-3 has not reported, its region is full")
	require.Equal(t, "near", choose(t, &c, now.Add(loadTTL), query).Address)
	require.Equal(t, "near", choose(t, &c, now, query).Address)
	c.RecordLoad(now, "near", fullLoad(900*time.Millisecond))
	require.NotEqual(t, "near", choose(t, &c, now, query).Address, "the wait is worth the distance")
}

// loadTTL is the time after which a load report says nothing more of its own.
const loadTTL = 500 * time.Millisecond

// chainRegion is one region in a simulation of whole requests that make several nested calls in a row.
type chainRegion struct {
	// free holds, for each slot of the region's one backend server, when it is free.
	free []time.Duration
	run  time.Duration
}

// Pattern: a request makes five calls in a row to a service that is short of room in its own region, while another region, 60 ms
// away, has room. Guards against requests that fail as a whole because each of their calls waits where leaving would save time.
func TestNestedCallsInARowLeaveAFullRegion(t *testing.T) {
	const (
		calls, requests, perSecond = 5, 600, 40
		roundTrip                  = 60 * time.Millisecond
		deadline                   = 1200 * time.Millisecond
	)
	places := map[string]balance.Place{"near": home, "far": {Region: "ce", AvailabilityZone: "ce-1"}}
	c := newChooser()
	c.Update(home, []dispatch.Candidate{
		{Address: "near", Service: "maps", Place: places["near"], Slots: 12},
		{Address: "far", Service: "maps", Place: places["far"], Slots: 20},
	})
	random := kernel.NewRand(7)
	regions := map[string]*chainRegion{"near": {make([]time.Duration, 12), 90 * time.Millisecond}, "far": {make([]time.Duration, 20), 30 * time.Millisecond}}
	q := dispatch.Query{Service: "maps", Route: "quote", Objective: 300 * time.Millisecond, MaxWait: 700 * time.Millisecond}
	type event struct {
		at      time.Duration
		request int
		call    int
	}
	var events []event
	for i := range requests {
		events = append(events, event{at: time.Duration(i) * time.Second / perSecond, request: i})
	}
	failed := 0
	for len(events) > 0 {
		slices.SortFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
		e := events[0]
		events = events[1:]
		began := time.Duration(e.request) * time.Second / perSecond
		if e.at-began > deadline {
			failed++
			continue
		}
		if e.call == calls {
			continue
		}
		now := start.Add(e.at)
		address := chooseWith(t, c, now, q, random).Address
		r := regions[address]
		travel := time.Duration(0)
		if address == "far" {
			travel = roundTrip
		}
		slot := 0
		for s := range r.free {
			if r.free[s] < r.free[slot] {
				slot = s
			}
		}
		began = max(e.at+travel/2, r.free[slot])
		r.free[slot] = began + r.run
		end := began + r.run + travel/2
		wait := max(0, r.free[slot]-r.run-e.at-travel/2)
		c.RecordLoad(now, address, slots.Load{Running: len(r.free), Limit: len(r.free), Wait: wait})
		c.RecordOutcome(now, address, dispatch.Answered{Route: "quote", RunTime: r.run, Bytes: 900})
		events = append(events, event{at: end, request: e.request, call: e.call + 1})
	}
	require.LessOrEqual(t, failed, requests/100)
}

// Guards against a distance that is a constant of one deployment: calls go to the region that is near by their own experience.
func TestRoundTripsAreLearned(t *testing.T) {
	var c dispatch.Chooser
	c.Update(home, []dispatch.Candidate{
		{Address: "near", Service: "maps", Place: home, Slots: 10},
		{Address: "west", Service: "maps", Place: balance.Place{Region: "ce", AvailabilityZone: "ce-1"}, Slots: 10},
		{Address: "east", Service: "maps", Place: balance.Place{Region: "pi", AvailabilityZone: "pi-1"}, Slots: 10},
	})
	for range 100 {
		c.RecordOutcome(start, "near", dispatch.Answered{Route: "read", RunTime: 40 * time.Millisecond, Bytes: 500})
		c.RecordRoundTrip("west", 250*time.Millisecond)
		c.RecordRoundTrip("east", 12*time.Millisecond)
		c.RecordRoundTrip("near", time.Second)
	}
	require.Equal(t, "near", choose(t, &c, start, query).Address)
	c.RecordLoad(start, "near", fullLoad(120*time.Millisecond))
	require.Equal(t, "east", choose(t, &c, start, query).Address)
	q := query
	q.Exclude = kernel.SetOf("east")
	require.Equal(t, "near", choose(t, &c, start, q).Address)
}

// spreadCalls sends calls for a time to a service with four backend servers in the own region and twelve in another one. Each rejects
// the share of its calls that rejects returns. It returns the share of the calls that left the region.
func spreadCalls(c *dispatch.Chooser, seed uint64, now time.Time, length time.Duration, rejects func(address string) float64) float64 {
	var candidates []dispatch.Candidate
	for _, address := range []string{"near-1", "near-2", "near-3", "near-4", "far-1", "far-2", "far-3", "far-4", "far-5", "far-6", "far-7", "far-8",
		"far-9", "far-10", "far-11", "far-12"} {
		place := home
		if strings.HasPrefix(address, "far") {
			place = balance.Place{Region: "ce", AvailabilityZone: "ce-1"}
		}
		candidates = append(candidates, dispatch.Candidate{Address: address, Service: "maps", Place: place, Slots: 10})
	}
	c.Update(home, candidates)
	random := kernel.NewRand(seed)
	q := dispatch.Query{Service: "maps", Route: "read", Objective: 300 * time.Millisecond, MaxWait: time.Second}
	calls, left := 0.0, 0.0
	for end := now.Add(length); now.Before(end); now = now.Add(5 * time.Millisecond) {
		choice, _ := c.Choose(now, q, random)
		calls++
		if choice.CrossRegion {
			left++
		}
		var o dispatch.Outcome = dispatch.Answered{Route: "read", RunTime: 50 * time.Millisecond, Bytes: 1 << 10}
		if random.Float64() < rejects(choice.Address) {
			o = dispatch.Failed{}
		}
		c.RecordLoad(now, choice.Address, slots.Load{Running: 1, Limit: 10})
		c.RecordOutcome(now, choice.Address, o)
	}
	return left / calls
}

// Pattern: all backend servers of a service reject 55% for 10 s. Guards against calls that leave their region, at a price, for a
// backend server that only by chance has rejected fewer of the last calls.
//
// A region that hasn't been called for 3 s is tried again, which takes some 20 calls of 600: 3%.
func TestEqualFailureRatesKeepCallsInTheirRegion(t *testing.T) {
	for seed := range uint64(10) {
		c := &dispatch.Chooser{CompareInRegion: true}
		require.Less(t, spreadCalls(c, seed, start, 10*time.Second, func(string) float64 { return 0.55 }), 0.06)
	}
}

// Pattern: the backend servers of one region reject 55%, then a single one does. Guards against calls that stay in a region that
// fails although another one has room, and against calls that leave it for the sake of one backend server or don't come back.
func TestRegionThatFailsIsLeftAndOneBackendServerIsAvoided(t *testing.T) {
	for seed := range uint64(10) {
		c := &dispatch.Chooser{CompareInRegion: true}
		near := func(address string) float64 {
			if strings.HasPrefix(address, "near") {
				return 0.55
			}
			return 0
		}
		require.Zero(t, spreadCalls(c, seed, start, time.Second, func(string) float64 { return 0 }))
		spreadCalls(c, seed, start.Add(time.Second), time.Second, near)
		require.Greater(t, spreadCalls(c, seed, start.Add(2*time.Second), 8*time.Second, near), 0.7)
		spreadCalls(c, seed, start.Add(10*time.Second), 8*time.Second, func(string) float64 { return 0 })
		require.Less(t, spreadCalls(c, seed, start.Add(18*time.Second), 8*time.Second, func(string) float64 { return 0 }), 0.05)
		one := 0
		left := spreadCalls(c, seed, start.Add(26*time.Second), 10*time.Second, func(address string) float64 {
			if address == "near-1" {
				one++
				return 0.55
			}
			return 0
		})
		require.Less(t, left, 0.02)
		require.Less(t, one, 300, "a quarter of the calls would be 500")
	}
}

// Pattern: six of ten backend servers of a region lose 40% of the answers for 10 s. Guards against a comparison with the region
// that hides the difference, since most of the region fails.
//
// Calls spread evenly would send 60% to them; the other four have room for all.
func TestFailingMajorityOfARegionIsAvoided(t *testing.T) {
	for seed := range uint64(10) {
		c := &dispatch.Chooser{CompareInRegion: true}
		var candidates []dispatch.Candidate
		for i := range 10 {
			candidates = append(candidates, dispatch.Candidate{Address: strconv.Itoa(i), Service: "maps", Place: home, Slots: 10})
		}
		c.Update(home, candidates)
		random := kernel.NewRand(seed)
		toFailing, calls := 0, 0
		for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
			now := start.Add(at)
			choice := chooseWith(t, c, now, query, random)
			var o dispatch.Outcome = dispatch.Answered{Route: "read", RunTime: 50 * time.Millisecond, Bytes: 1 << 10}
			if i, _ := strconv.Atoi(choice.Address); i < 6 {
				toFailing++
				if random.Float64() < 0.4 {
					o = dispatch.Failed{}
				}
			}
			calls++
			c.RecordLoad(now, choice.Address, slots.Load{Running: 1, Limit: 10})
			c.RecordOutcome(now, choice.Address, o)
		}
		require.Less(t, toFailing, calls/5)
	}
}
