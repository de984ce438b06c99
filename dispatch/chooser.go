package dispatch

import (
	"time"

	"lovagelane/balance"
	"lovagelane/kernel"
)

const (
	// initialZoneRoundTrip and initialRegionRoundTrip are the round trips assumed to another availability zone and to another
	// region before calls have shown them.
	initialZoneRoundTrip   = time.Millisecond
	initialRegionRoundTrip = 60 * time.Millisecond
	// roundTripSmoothing is the weight of one call in the moving average of the round trip to a place. It is small, since a call
	// that opens a connection takes several round trips.
	roundTripSmoothing = 0.05
	// maxRoundTrip bounds one sample of a round trip.
	maxRoundTrip = time.Second
	// crossZonePenalty and crossRegionPenalty are the times that a call must save by leaving its availability zone or region,
	// for each KB that it moves, because traffic on those links is billed by volume.
	crossZonePenalty   = 20 * time.Millisecond
	crossRegionPenalty = 120 * time.Millisecond
	// initialCallBytes is the size of a call, request and answer together, assumed for a route without answers.
	initialCallBytes = 2 << 10
	// utilizationPenaltyShare is the fraction of the typical run time that full utilization adds to the cost. It only breaks
	// ties among backend servers of the same place.
	utilizationPenaltyShare = 0.02
	// defaultObjective is the objective of a route that configures none.
	defaultObjective = time.Second
	// loadReportTTL is the time in which a load report gives way to the average wait of its region, since other nodes fill the
	// slots that it showed as free.
	loadReportTTL = 500 * time.Millisecond
	// regionWaitSmoothing is the weight of one load report in the average wait of its region, and regionWaitHalfLife the
	// half-life of that average while no report arrives, so that a region that was full is tried again.
	regionWaitSmoothing = 0.1
	regionWaitHalfLife  = time.Second
	// ratioSmoothing is the weight of one answer in the moving average of a backend server's run time ratio.
	ratioSmoothing = 0.1
	// minReportedChange is the factor by which a reported run time has to differ from that average to change it, and
	// reportSmoothing its weight. A report covers many calls, but only of its route.
	minReportedChange = 1.5
	reportSmoothing   = 0.5
	// medianStep is the relative step by which a report moves the median of a route's reports. When all backend servers of a
	// service turn slow, the median has to follow before those without a recent report, in other regions, look fast.
	medianStep = 0.05
	// minRatio and maxRatio bound the run time ratio of one answer, because the work differs from call to call.
	minRatio, maxRatio = 0.1, 8
	// observationHalfLife is the half-life of the excess run time ratio and of the failure rate while no calls end, so that
	// a slow or failing backend server is tried again.
	observationHalfLife = 3 * time.Second
	// reportHalfLife is the half-life of a reported run time ratio above 1. It is shorter, since a single call brings a report.
	reportHalfLife = time.Second
	// failureSmoothing is the weight of one call in the moving average of a backend server's failure rate.
	failureSmoothing = 0.15
	// maxRegionCalls is the number of calls that the average failure rate of a region reflects.
	maxRegionCalls = 50
	// failurePenalty is the cost of a failure as a multiple of the objective: at best the call is late, at worst the work of
	// its callers is lost.
	failurePenalty = 2
	// typicalSmoothing is the weight of one answer in the moving averages of a route's run time and size.
	typicalSmoothing = 0.05
	// initialTypicalRunTime is the typical run time assumed for a route without answers.
	initialTypicalRunTime = 100 * time.Millisecond
	// maxRoutes bounds the number of routes whose profile is stored.
	maxRoutes = 4096
	// routeCapTTL is how long a backend server that refused a call because of its route cap is excluded for that route.
	routeCapTTL = 300 * time.Millisecond
	// maxRouteCaps bounds the number of route caps stored for each backend server.
	maxRouteCaps = 64
	// initialBackoff and maxBackoff bound how long an unusable backend server is ejected. The backoff doubles each time.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 3 * time.Second
)

// Candidate is a backend server that may receive calls. The address of the node beside it identifies it.
type Candidate struct {
	Address string
	Service string
	Place   balance.Place
	Slots   int
}

// Query describes a call that needs a backend server.
type Query struct {
	Service string
	Route   string
	// Objective is the target latency of the route; 0 means defaultObjective.
	Objective time.Duration
	// Exclude holds the addresses that the call must not be sent to again.
	Exclude kernel.Set[string]
	// Vain holds addresses that the call must not be sent to in other regions, since it would gain nothing there.
	Vain kernel.Set[string]
	// MaxWait is the longest total time that the call may wait in queues.
	MaxWait time.Duration
}

// Choice names the backend server that takes a call.
type Choice struct {
	Address string
	// MaxWait is the longest time that the call may wait in the queue there. Beyond it, the second-best candidate would have
	// cost less.
	MaxWait time.Duration
	// CrossRegion and CrossZone report whether the call leaves its region or its availability zone.
	CrossRegion, CrossZone bool
	// Typical is the typical run time of the route.
	Typical time.Duration
}

// Chooser tracks the load, run time and failures of all backend servers and chooses among them. The caller serializes
// access to it. Its zero value has no candidates.
type Chooser struct {
	// CompareInRegion has a backend server of another region count as failing at least as often as its region does on average.
	CompareInRegion bool

	home      balance.Place
	peers     map[string]*peer
	byService map[string][]*peer
	profiles  *kernel.LRU[string, profile]
	// roundTrips holds the moving average of the round trip to each place that was called.
	roundTrips map[balance.Place]time.Duration
	// regionWaits holds the average queue waits by service and region.
	regionWaits map[serviceRegion]regionWait
	// regionFailures holds the average failure rates by service and region.
	regionFailures map[serviceRegion]regionFailures
}

// Update replaces the candidates and keeps the observations of those that remain.
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
	places := kernel.Set[balance.Place]{}
	for _, candidate := range candidates {
		places[candidate.Place] = struct{}{}
	}
	for place := range c.roundTrips {
		if !places.Has(place) {
			delete(c.roundTrips, place)
		}
	}
	for key := range c.regionWaits {
		if len(c.byService[key.service]) == 0 {
			delete(c.regionWaits, key)
		}
	}
	for key := range c.regionFailures {
		if len(c.byService[key.service]) == 0 {
			delete(c.regionFailures, key)
		}
	}
}

// Choose returns the candidate with the lowest cost, and false when every candidate is excluded or capped. If all remaining
// candidates are ejected, it returns the one whose ejection ends first.
func (c *Chooser) Choose(now time.Time, q Query, random *kernel.Rand) (Choice, bool) {
	var best, second, fallback *peer
	var bestCost, secondCost cost
	for _, p := range c.byService[q.Service] {
		if q.Exclude.Has(p.candidate.Address) || p.isCapped(now, q.Route) ||
			p.candidate.Place.Region != c.home.Region && q.Vain.Has(p.candidate.Address) {
			continue
		}
		if now.Before(p.ejectedUntil) {
			if fallback == nil || p.ejectedUntil.Before(fallback.ejectedUntil) {
				fallback = p
			}
			continue
		}
		cost := c.costOf(now, p, q, random)
		switch {
		case best == nil || cost.total() < bestCost.total():
			second, secondCost = best, bestCost
			best, bestCost = p, cost
		case second == nil || cost.total() < secondCost.total():
			second, secondCost = p, cost
		}
	}
	if best == nil {
		if fallback == nil {
			return Choice{}, false
		}
		best = fallback
	}
	wait := q.MaxWait
	if second != nil {
		// The way to the best one is paid for when the call waits there.
		wait = min(wait, notNegative(secondCost.total()-bestCost.run))
	}
	best.sentSinceReport++
	return Choice{Address: best.candidate.Address, MaxWait: wait, CrossRegion: best.candidate.Place.Region != c.home.Region,
		CrossZone: best.candidate.Place != c.home, Typical: c.TypicalRunTime(q.Route)}, true
}

func notNegative(d time.Duration) time.Duration { return max(d, 0) }

// cost is what a call to a backend server costs, as a time.
type cost struct {
	// run is the expected run time with the penalties for failures and utilization, wait the expected time in the queue, and
	// travel the round trip with the penalty for distance.
	run, wait, travel time.Duration
}

func (c cost) total() time.Duration { return c.run + c.wait + c.travel }

// costOf returns the expected cost of a call to a backend server.
func (c *Chooser) costOf(now time.Time, p *peer, q Query, random *kernel.Rand) cost {
	typical := c.TypicalRunTime(q.Route)
	objective := q.Objective
	if objective == 0 {
		objective = defaultObjective
	}
	run := time.Duration(float64(typical)*p.runTimeRatio(now)) +
		time.Duration(failurePenalty*c.expectedFailureRate(now, p)*float64(objective))
	// Utilization breaks ties between equal candidates, then random jitter does.
	run += time.Duration(utilizationPenaltyShare*p.utilization()*float64(typical)) + time.Duration(random.IntN(int(time.Millisecond)))
	return cost{run: run, wait: c.queueWait(now, p, typical), travel: c.travelCost(now, p, q.Route)}
}

// travelCost returns the round trip to a backend server and the penalty for distance. A region whose queues are long counts as
// farther away by their average wait: calls that regions short of capacity exchange gain nothing.
func (c *Chooser) travelCost(now time.Time, p *peer, route string) time.Duration {
	kilobytes := c.typicalBytes(route) / (1 << 10)
	switch place := p.candidate.Place; {
	case place.Region != c.home.Region:
		return c.roundTrip(place) + time.Duration(kilobytes*float64(crossRegionPenalty)) +
			c.regionWaits[p.candidate.serviceRegion()].current(now)
	case place != c.home:
		return c.roundTrip(place) + time.Duration(kilobytes*float64(crossZonePenalty))
	}
	return 0
}

// roundTrip returns the expected round trip to a place.
func (c *Chooser) roundTrip(place balance.Place) time.Duration {
	if d, known := c.roundTrips[place]; known {
		return d
	}
	if place.Region != c.home.Region {
		return initialRegionRoundTrip
	}
	return initialZoneRoundTrip
}

// TypicalRunTime returns the typical run time of a route's calls, a moving average.
func (c *Chooser) TypicalRunTime(route string) time.Duration {
	if p := c.profile(route); p != nil {
		return time.Duration(p.seconds * float64(time.Second))
	}
	return initialTypicalRunTime
}

// typicalBytes returns the typical size of a route's calls, a moving average.
func (c *Chooser) typicalBytes(route string) float64 {
	if p := c.profile(route); p != nil {
		return p.bytes
	}
	return initialCallBytes
}

// queueWait returns the expected time in the queue of a backend server. It is the last reported one, which gives way to the
// average of the region as the report ages.
func (c *Chooser) queueWait(now time.Time, p *peer, typical time.Duration) time.Duration {
	average := c.regionWaits[p.candidate.serviceRegion()].current(now)
	age := now.Sub(p.loadAt)
	if p.loadAt.IsZero() || age >= loadReportTTL {
		return average
	}
	limit := max(p.load.Limit, 1)
	wait := p.load.Wait
	if excess := p.load.Running + p.sentSinceReport - limit; excess > 0 && p.sentSinceReport > 0 {
		wait += time.Duration(float64(typical) * float64(min(excess, p.sentSinceReport)) / float64(limit))
	}
	aged := float64(age) / float64(loadReportTTL)
	return time.Duration(float64(wait)*(1-aged) + float64(average)*aged)
}
