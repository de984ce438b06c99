package dispatch

import (
	"math"
	"time"

	"lovagelane/balance"
	"lovagelane/kernel"
	"lovagelane/slots"
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

// Outcome is the observed result of a call: Answered, Capped, Unusable, Failed or Inconclusive.
type Outcome interface{ outcome() }

// Answered means that the backend server ran the call.
type Answered struct {
	Route string
	// RunTime is how long the call ran.
	RunTime time.Duration
	// Bytes is the size of the request and the answer.
	Bytes int
}

// Capped means that the backend server accepts no more calls of the route now, because services that it calls are short of
// capacity.
type Capped struct{ Route string }

// Unusable means that the backend server is unreachable or accepts no calls.
type Unusable struct{}

// Failed means that the backend server was reached but returned no valid answer.
type Failed struct{}

// Inconclusive means that the call says nothing about the backend server beyond its reported load: no slot became free in
// time, the caller disconnected, or the deadline passed.
type Inconclusive struct{}

func (Answered) outcome()     {}
func (Capped) outcome()       {}
func (Unusable) outcome()     {}
func (Failed) outcome()       {}
func (Inconclusive) outcome() {}

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

type serviceRegion struct{ service, region string }

// regionWait is the moving average of the reported queue waits of a service in a region.
type regionWait struct {
	wait time.Duration
	at   time.Time
}

func (r regionWait) current(now time.Time) time.Duration {
	if r.wait == 0 {
		return 0
	}
	return time.Duration(float64(r.wait) * math.Exp2(-now.Sub(r.at).Seconds()/regionWaitHalfLife.Seconds()))
}

func (c Candidate) serviceRegion() serviceRegion { return serviceRegion{c.Service, c.Place.Region} }

// profile is what the calls of a route typically take.
type profile struct {
	// seconds is the moving average of the run time, and bytes that of the size of request and answer; 0 means unknown.
	seconds, bytes float64
	// reported follows the median of the reported run times, in seconds; 0 means none.
	reported float64
}

// peer holds the observations of a candidate.
type peer struct {
	candidate Candidate
	load      slots.Load
	loadAt    time.Time
	// sentSinceReport counts the calls sent after the last load report.
	sentSinceReport int
	// ratio is the moving average of the run time relative to the typical run time of the route; 0 while unknown.
	ratio   float64
	ratioAt time.Time
	// reportedAt is the time of the last reported run time that changed ratio.
	reportedAt time.Time
	// failureRate is the moving average of the share of calls that failed.
	failureRate   float64
	failureRateAt time.Time
	ejectedUntil  time.Time
	backoff       time.Duration
	// cappedUntil maps a route to the time until which the backend server is excluded for it.
	cappedUntil *kernel.LRU[string, time.Time]
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

// RecordRoundTrip records how long a call to a node of another place took beyond its time there.
func (c *Chooser) RecordRoundTrip(address string, d time.Duration) {
	p := c.peers[address]
	if p == nil || p.candidate.Place == c.home || d < 0 {
		return
	}
	if c.roundTrips == nil {
		c.roundTrips = map[balance.Place]time.Duration{}
	}
	place := p.candidate.Place
	average := c.roundTrip(place)
	c.roundTrips[place] = average + time.Duration(float64(min(d, maxRoundTrip)-average)*roundTripSmoothing)
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

// profile returns the profile of a route, or nil if none of its calls was answered.
func (c *Chooser) profile(route string) *profile {
	if c.profiles == nil {
		return nil
	}
	return c.profiles.Get(route)
}

// utilization returns the calls running, waiting and sent since the last load report, relative to the number of slots.
func (p *peer) utilization() float64 {
	return float64(p.load.Running+p.load.Waiting+p.sentSinceReport) / float64(max(p.candidate.Slots, 1))
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

// runTimeRatio returns the run time relative to the typical run time. Without answers, a ratio above 1 decays towards 1.
func (p *peer) runTimeRatio(now time.Time) float64 {
	if p.ratio == 0 {
		return 1
	}
	ratio, halfLife := p.ratio, observationHalfLife
	if p.reportedAt.Equal(p.ratioAt) {
		halfLife = reportHalfLife
	}
	for age := now.Sub(p.ratioAt); age > halfLife && ratio > 1; age -= halfLife {
		ratio = 1 + (ratio-1)/2
	}
	return ratio
}

// updateRatio moves the run time ratio towards an observed one.
func (p *peer) updateRatio(now time.Time, observed, weight float64) {
	ratio := p.runTimeRatio(now)
	p.ratio = ratio + (min(maxRatio, max(minRatio, observed))-ratio)*weight
	p.ratioAt = now
}

func (p *peer) isCapped(now time.Time, route string) bool {
	if p.cappedUntil == nil {
		return false
	}
	until := p.cappedUntil.Get(route)
	return until != nil && now.Before(*until)
}

// currentFailureRate returns the failure rate, which decays with observationHalfLife so that the backend server is tried
// again.
func (p *peer) currentFailureRate(now time.Time) float64 {
	if p.failureRate == 0 {
		return 0
	}
	return p.failureRate * math.Exp2(-now.Sub(p.failureRateAt).Seconds()/observationHalfLife.Seconds())
}

func (c *Chooser) updateFailureRate(now time.Time, p *peer, failed float64) {
	rate := p.currentFailureRate(now)
	p.failureRate, p.failureRateAt = rate+(failed-rate)*failureSmoothing, now
	if !c.CompareInRegion {
		return
	}
	if c.regionFailures == nil {
		c.regionFailures = map[serviceRegion]regionFailures{}
	}
	key := p.candidate.serviceRegion()
	c.regionFailures[key] = c.regionFailures[key].with(now, failed)
}

// expectedFailureRate returns the failure rate that a call to a backend server is expected to meet. Rates of a few calls scatter, and
// no call should leave its region for that: in another region, the rate is at least the average of that region, and in the own one
// the standard deviation is taken off what lies above the average.
func (c *Chooser) expectedFailureRate(now time.Time, p *peer) float64 {
	rate := p.currentFailureRate(now)
	if !c.CompareInRegion {
		return rate
	}
	mean := c.regionFailures[p.candidate.serviceRegion()].current(now)
	switch {
	case p.candidate.Place.Region != c.home.Region:
		return max(rate, mean)
	case rate > mean:
		return max(mean, rate-math.Sqrt(mean*(1-mean)*failureSmoothing/(2-failureSmoothing)))
	}
	return rate
}

// regionFailures is the moving average of the failure rate of a service in a region.
type regionFailures struct {
	rate, calls float64
	at          time.Time
}

// current returns the average, which decays with observationHalfLife so that the region is tried again.
func (r regionFailures) current(now time.Time) float64 {
	if r.rate == 0 {
		return 0
	}
	return r.rate * r.kept(now)
}

func (r regionFailures) kept(now time.Time) float64 {
	return math.Exp2(-now.Sub(r.at).Seconds() / observationHalfLife.Seconds())
}

// with returns the average after a call. The first calls after a pause count more, so that it soon reflects the present.
func (r regionFailures) with(now time.Time, failed float64) regionFailures {
	rate, calls := r.current(now), 1.0
	if r.calls > 0 {
		calls += r.calls * r.kept(now)
	}
	calls = min(calls, maxRegionCalls)
	return regionFailures{rate: rate + (failed-rate)/calls, calls: calls, at: now}
}

// RecordLoad records the load that a node reported for its backend server.
func (c *Chooser) RecordLoad(now time.Time, address string, l slots.Load) {
	p := c.peers[address]
	if p == nil {
		return
	}
	p.load, p.loadAt, p.sentSinceReport = l, now, 0
	if c.regionWaits == nil {
		c.regionWaits = map[serviceRegion]regionWait{}
	}
	key := p.candidate.serviceRegion()
	average := c.regionWaits[key].current(now)
	average += time.Duration(float64(l.Wait-average) * regionWaitSmoothing)
	c.regionWaits[key] = regionWait{wait: average, at: now}
}

// RecordRunTime records the run time of a route's calls that a node expects at its backend server. A report that differs little
// from what single answers show has no effect: all callers receive the same reports, and following each of their small changes
// would send all calls to the same backend server.
func (c *Chooser) RecordRunTime(now time.Time, address, route string, d time.Duration) {
	p, typical := c.peers[address], c.profile(route)
	if p == nil || typical == nil {
		return
	}
	if typical.reported == 0 {
		typical.reported = d.Seconds()
	}
	observed := d.Seconds() / typical.reported
	typical.reported *= min(1+medianStep, max(1-medianStep, observed))
	ratio := p.runTimeRatio(now)
	if p.candidate.Place.Region != c.home.Region {
		// A report may rest on a few short runs. Only answers show that another region is worth the way.
		observed = max(observed, min(1, ratio))
	}
	if change := observed / ratio; change < minReportedChange && change > 1/minReportedChange {
		return
	}
	p.updateRatio(now, observed, reportSmoothing)
	p.reportedAt = now
}

// RecordOverdue records that a call has been running for a time without an answer.
func (c *Chooser) RecordOverdue(now time.Time, address, route string, ran time.Duration) {
	p, typical := c.peers[address], c.profile(route)
	if p == nil || typical == nil || now.Sub(p.reportedAt) < loadReportTTL {
		return
	}
	if ratio := ran.Seconds() / max(typical.seconds, typical.reported); ratio > p.runTimeRatio(now) {
		p.updateRatio(now, ratio, ratioSmoothing)
	}
}

// RecordOutcome records the outcome of a call to a backend server.
func (c *Chooser) RecordOutcome(now time.Time, address string, o Outcome) {
	p := c.peers[address]
	if p == nil {
		return
	}
	switch o := o.(type) {
	case Answered:
		p.ejectedUntil, p.backoff = time.Time{}, 0
		c.updateFailureRate(now, p, 0)
		c.recordRunTime(now, p, o)
	case Unusable:
		if now.Before(p.ejectedUntil) {
			return
		}
		p.backoff = min(maxBackoff, max(initialBackoff, 2*p.backoff))
		p.ejectedUntil = now.Add(p.backoff)
	case Failed:
		c.updateFailureRate(now, p, 1)
	case Capped:
		if p.cappedUntil == nil {
			p.cappedUntil = kernel.NewLRU[string, time.Time](maxRouteCaps)
		}
		*p.cappedUntil.GetOrAdd(o.Route) = now.Add(routeCapTTL)
	case Inconclusive:
	}
}

// MarkUsable ends the ejection of a backend server that is known to be ready again.
func (c *Chooser) MarkUsable(address string) {
	if p := c.peers[address]; p != nil {
		p.ejectedUntil, p.backoff = time.Time{}, 0
	}
}

func (c *Chooser) recordRunTime(now time.Time, p *peer, o Answered) {
	if c.profiles == nil {
		c.profiles = kernel.NewLRU[string, profile](maxRoutes)
	}
	typical := c.profiles.GetOrAdd(o.Route)
	runTime := max(o.RunTime.Seconds(), 1e-4)
	if typical.seconds == 0 {
		*typical = profile{seconds: runTime, bytes: float64(o.Bytes)}
		return
	}
	ratio := min(maxRatio, max(minRatio, runTime/typical.seconds))
	p.updateRatio(now, ratio, ratioSmoothing)
	typical.seconds += (min(runTime, maxRatio*typical.seconds) - typical.seconds) * typicalSmoothing
	typical.bytes += (float64(o.Bytes) - typical.bytes) * typicalSmoothing
}
