package dispatch

import (
	"time"

	"lovagelane/balance"
	"lovagelane/kernel"
	"lovagelane/slots"
)

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
