package dispatch

import (
	"math"
	"time"

	"lovagelane/balance"
	"lovagelane/kernel"
	"lovagelane/slots"
)

const (
	// zoneRoundTrip and regionRoundTrip are the round trips to another availability zone and to another region.
	zoneRoundTrip   = time.Millisecond
	regionRoundTrip = 60 * time.Millisecond
	// zoneShare and regionShare are the parts of the objective that leaving the availability zone or the region must save,
	// because the bytes on those links are paid.
	zoneShare   = 0.05
	regionShare = 0.5
	// useShare is the part of the typical run time by which a full backend server is worse than an idle one. It only tells
	// backend servers of one place apart.
	useShare = 0.02
	// defaultObjective stands for the objective of a route that states none.
	defaultObjective = time.Second
	// reportLife is how long a report of room is believed. The reported wait counts down meanwhile.
	reportLife = 500 * time.Millisecond
	// ratioGain is the part by which one answer moves the speed of a backend server.
	ratioGain = 0.1
	// minRatio and maxRatio bound what one answer says of a backend server's speed, since work differs from call to call.
	minRatio, maxRatio = 0.1, 8
	// ratioHalfLife is the time without answers in which a slow backend server is half forgiven, so that it is tried again.
	ratioHalfLife = 3 * time.Second
	// failureGain is the part by which one end moves the share of failures of a backend server.
	failureGain = 0.15
	// failureCost is what a failure costs, as a multiple of the objective: the call is late at best, and the work above it is
	// lost at worst.
	failureCost = 2
	// typicalGain is the part by which one answer moves the typical run time of a route.
	typicalGain = 0.05
	// firstTypical stands for the typical run time of a route without answers.
	firstTypical = 100 * time.Millisecond
	// maxRoutes bounds the routes whose typical run time is kept.
	maxRoutes = 4096
	// cappedLife is how long a backend server that takes no more calls of a route is passed over for it.
	cappedLife = 300 * time.Millisecond
	// maxCapped bounds the routes for which that is kept.
	maxCapped = 64
	// firstAvoidance and longestAvoidance bound how long a backend server that could not be used is passed over.
	firstAvoidance   = 200 * time.Millisecond
	longestAvoidance = 3 * time.Second
)

// Candidate is a backend server, known by the address of the node beside it.
type Candidate struct {
	Address string
	Service string
	Place   balance.Place
	Slots   int
}

// Query asks for a backend server.
type Query struct {
	Service string
	Route   string
	// Objective is the latency within which an answer is worth most.
	Objective time.Duration
	// Exclude holds the addresses that this call must not go to again.
	Exclude kernel.Set[string]
	// Within holds how long the call may wait in all.
	Within time.Duration
}

// Choice names the backend server that takes a call.
type Choice struct {
	Address string
	// Wait is how long the call may wait there before another backend server would have been better.
	Wait time.Duration
	// Region and Zone are set for a call that leaves its region or its availability zone.
	Region, Zone bool
}

// Outcome is what was learned from a call.
type Outcome interface{ outcome() }

// Answered means that the backend server ran the call for a time.
type Answered struct {
	Route string
	Ran   time.Duration
}

// Capped means that the backend server takes no more calls of the route now, because services below it are short of room.
type Capped struct{ Route string }

// Unusable means that the backend server can't be reached or takes no calls.
type Unusable struct{}

// Failed means that the backend server was reached and gave no answer that counts.
type Failed struct{}

// Ended means that nothing was learned beyond the reported room: there was none in time, the caller left, or the time ran out.
type Ended struct{}

func (Answered) outcome() {}
func (Capped) outcome()   {}
func (Unusable) outcome() {}
func (Failed) outcome()   {}
func (Ended) outcome()    {}

// Chooser holds what is known of all backend servers; the caller serializes access to it. Its zero value knows none.
type Chooser struct {
	home      balance.Place
	peers     map[string]*peer
	byService map[string][]*peer
	typical   *kernel.Table[string, float64]
}

type peer struct {
	candidate Candidate
	load      slots.Load
	loadAt    time.Time
	// sent counts the calls that were sent after the last report.
	sent int
	// ratio is the run time relative to what is typical; 0 while unknown.
	ratio   float64
	ratioAt time.Time
	// failures is the share of calls that failed.
	failures   float64
	failuresAt time.Time
	avoided    time.Time
	backoff    time.Duration
	// capped holds until when the backend server takes no more calls of a route.
	capped *kernel.Table[string, time.Time]
}

// Update replaces the candidates and keeps what is known of those that remain.
func (c *Chooser) Update(home balance.Place, candidates []Candidate) {
	c.home = home
	peers := make(map[string]*peer, len(candidates))
	c.byService = map[string][]*peer{}
	for _, candidate := range candidates {
		p := c.peers[candidate.Address]
		if p == nil || p.candidate.Service != candidate.Service {
			p = &peer{}
		}
		p.candidate = candidate
		peers[candidate.Address] = p
		c.byService[candidate.Service] = append(c.byService[candidate.Service], p)
	}
	c.peers = peers
}

// Choose returns the backend server where the call is likely answered first, leaving the place only for a clear gain.
func (c *Chooser) Choose(now time.Time, q Query, random *kernel.Rand) (Choice, bool) {
	var best, second, last *peer
	var bestCost, secondCost time.Duration
	for _, p := range c.byService[q.Service] {
		if q.Exclude.Has(p.candidate.Address) || p.isCapped(now, q.Route) {
			continue
		}
		if now.Before(p.avoided) {
			if last == nil || p.avoided.Before(last.avoided) {
				last = p
			}
			continue
		}
		cost := c.cost(now, p, q, random)
		switch {
		case best == nil || cost < bestCost:
			second, secondCost = best, bestCost
			best, bestCost = p, cost
		case second == nil || cost < secondCost:
			second, secondCost = p, cost
		}
	}
	if best == nil {
		if last == nil {
			return Choice{}, false
		}
		best = last
	}
	wait := q.Within
	if second != nil {
		wait = min(wait, notNegative(secondCost-bestCost)+best.wait(now, c.Typical(q.Route)))
	}
	best.sent++
	return Choice{Address: best.candidate.Address, Wait: wait, Region: best.candidate.Place.Region != c.home.Region,
		Zone: best.candidate.Place != c.home}, true
}

func notNegative(d time.Duration) time.Duration { return max(d, 0) }

// cost returns the expected time to the answer, with what leaving the place must be worth.
func (c *Chooser) cost(now time.Time, p *peer, q Query, random *kernel.Rand) time.Duration {
	typical := c.Typical(q.Route)
	cost := time.Duration(float64(typical)*p.speed(now)) + p.wait(now, typical)
	objective := q.Objective
	if objective == 0 {
		objective = defaultObjective
	}
	switch place := p.candidate.Place; {
	case place.Region != c.home.Region:
		cost += regionRoundTrip + time.Duration(regionShare*float64(objective))
	case place != c.home:
		cost += zoneRoundTrip + time.Duration(zoneShare*float64(objective))
	}
	cost += time.Duration(failureCost * p.failing(now) * float64(objective))
	// Equal candidates are told apart by load, then by chance.
	cost += time.Duration(useShare * p.use() * float64(typical))
	return cost + time.Duration(random.IntN(int(time.Millisecond)))
}

// Typical returns the usual run time of a route's calls.
func (c *Chooser) Typical(route string) time.Duration {
	if c.typical != nil {
		if seconds := c.typical.Get(route); seconds != nil {
			return time.Duration(*seconds * float64(time.Second))
		}
	}
	return firstTypical
}

// use returns the share of the slots that is in use as far as is known.
func (p *peer) use() float64 {
	return float64(p.load.Running+p.load.Waiting+p.sent) / float64(max(p.candidate.Slots, 1))
}

// wait returns the expected time in the queue.
func (p *peer) wait(now time.Time, typical time.Duration) time.Duration {
	age := now.Sub(p.loadAt)
	if p.loadAt.IsZero() || age > reportLife {
		return 0
	}
	limit := max(p.load.Limit, 1)
	wait := p.load.Wait
	if excess := p.load.Running + p.sent - limit; excess > 0 && p.sent > 0 {
		wait += time.Duration(float64(typical) * float64(min(excess, p.sent)) / float64(limit))
	}
	return notNegative(wait - age)
}

// speed returns the run time relative to what is typical.
func (p *peer) speed(now time.Time) float64 {
	if p.ratio == 0 {
		return 1
	}
	ratio := p.ratio
	for age := now.Sub(p.ratioAt); age > ratioHalfLife && ratio > 1; age -= ratioHalfLife {
		ratio = 1 + (ratio-1)/2
	}
	return ratio
}

func (p *peer) isCapped(now time.Time, route string) bool {
	if p.capped == nil {
		return false
	}
	until := p.capped.Get(route)
	return until != nil && now.Before(*until)
}

// failing returns the share of calls that fail; without calls it halves, so that the backend server is tried again.
func (p *peer) failing(now time.Time) float64 {
	if p.failures == 0 {
		return 0
	}
	return p.failures * math.Exp2(-now.Sub(p.failuresAt).Seconds()/ratioHalfLife.Seconds())
}

func (p *peer) fail(now time.Time, failed float64) {
	share := p.failing(now)
	p.failures, p.failuresAt = share+(failed-share)*failureGain, now
}

// Report takes the room that a node told of its backend server.
func (c *Chooser) Report(now time.Time, address string, l slots.Load) {
	if p := c.peers[address]; p != nil {
		p.load, p.loadAt, p.sent = l, now, 0
	}
}

// Learn takes the end of a call at a backend server.
func (c *Chooser) Learn(now time.Time, address string, o Outcome) {
	p := c.peers[address]
	if p == nil {
		return
	}
	switch o := o.(type) {
	case Answered:
		p.avoided, p.backoff = time.Time{}, 0
		p.fail(now, 0)
		c.learnRun(now, p, o)
	case Unusable:
		if now.Before(p.avoided) {
			return
		}
		p.backoff = min(longestAvoidance, max(firstAvoidance, 2*p.backoff))
		p.avoided = now.Add(p.backoff)
	case Failed:
		p.fail(now, 1)
	case Capped:
		if p.capped == nil {
			p.capped = kernel.NewTable[string, time.Time](maxCapped)
		}
		*p.capped.Put(o.Route) = now.Add(cappedLife)
	case Ended:
	}
}

// Usable ends the avoidance of a backend server that has shown itself ready.
func (c *Chooser) Usable(address string) {
	if p := c.peers[address]; p != nil {
		p.avoided, p.backoff = time.Time{}, 0
	}
}

func (c *Chooser) learnRun(now time.Time, p *peer, o Answered) {
	if c.typical == nil {
		c.typical = kernel.NewTable[string, float64](maxRoutes)
	}
	typical := c.typical.Put(o.Route)
	ran := max(o.Ran.Seconds(), 1e-4)
	if *typical == 0 {
		*typical = ran
		return
	}
	ratio := min(maxRatio, max(minRatio, ran / *typical))
	p.ratio = p.speed(now)
	p.ratio += (ratio - p.ratio) * ratioGain
	p.ratioAt = now
	*typical += (min(ran, maxRatio**typical) - *typical) * typicalGain
}
