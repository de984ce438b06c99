package dispatch

import (
	"math"
	"time"

	"lovagelane/kernel"
	"lovagelane/slots"
)

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
