package balance

import (
	"math"
	"time"

	"lovagelane/call"
)

const (
	// slowFactor is the multiple of its tier's p95 above which a call is too slow.
	slowFactor = 4
	// minSlowLatency is the lower bound of that latency, and defaultSlowLatency replaces it while no p95 is known.
	minSlowLatency     = 10 * time.Millisecond
	defaultSlowLatency = time.Second
	// initialBackoff and maxBackoff bound the time between probes of an ejected backend server.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// initialInFlightCap bounds the calls in flight to a new candidate. Its slow start ends when the cap reaches
	// maxInFlightCap.
	initialInFlightCap = 2
	maxInFlightCap     = 64
	// reportTTL is how long a reported admission level or load is valid.
	reportTTL = time.Second
	// decayTimeConstant is the time constant with which an observed latency decays towards lower new observations and,
	// without new ones, towards the latency of the other candidates.
	decayTimeConstant = time.Second
	// maxLatencyRise bounds the factor by which one slow call raises the latency, so that a straggler does not divert all
	// calls from a backend server.
	maxLatencyRise = 4
	// refusalPenalty is the weight of the share of refusals in the score. Without it, fast refusals would look like low
	// latency.
	refusalPenalty = 20
	// maxRefusalShare is the share of refusals above which a backend server is ejected. Without this bound, an idle backend
	// server that refuses at once attracts a third of the calls from busy ones that work.
	maxRefusalShare = 0.6
	// refusalSmoothing is the weight of one answer in the moving average of the share of refusals.
	refusalSmoothing = 0.25
)

// flight is a call in flight. The flights of a peer form a linked list in order of their start.
type flight struct {
	token      uint64
	seq        uint64
	started    time.Time
	prev, next *flight
}

// peer holds the calls in flight to a candidate and the observations of it.
type peer struct {
	candidate Candidate
	tier      int

	flights        map[uint64]*flight
	oldest, newest *flight
	// oldestUnovertaken is the oldest flight that no later call has overtaken with a good answer. Overtaken flights are
	// stragglers, which are no evidence that the backend server is slow.
	oldestUnovertaken *flight
	seq               uint64
	freeFlights       []*flight

	// latency is a peak-sensitive moving average in seconds, 0 while unknown.
	latency   float64
	latencyAt time.Time

	load           float64
	loadAt         time.Time
	level          uint16
	levelAt        time.Time
	refusalShare   float64
	refusalShareAt time.Time

	ejected   bool
	ejectedAt time.Time
	backoff   time.Duration
	probeAt   time.Time

	// cap bounds the calls in flight during slow start; 0 means that slow start is over.
	cap          int
	goodSinceCap int
}

func newPeer() *peer { return &peer{flights: map[uint64]*flight{}, cap: initialInFlightCap} }

func (p *peer) start(now time.Time, token uint64) {
	if p.flights[token] != nil {
		return
	}
	var f *flight
	if n := len(p.freeFlights); n > 0 {
		f, p.freeFlights = p.freeFlights[n-1], p.freeFlights[:n-1]
	} else {
		f = new(flight)
	}
	p.seq++
	*f = flight{token: token, seq: p.seq, started: now, prev: p.newest}
	if p.newest != nil {
		p.newest.next = f
	} else {
		p.oldest = f
	}
	p.newest = f
	if p.oldestUnovertaken == nil {
		p.oldestUnovertaken = f
	}
	p.flights[token] = f
}

// removeFlight removes a flight from the list.
func (p *peer) removeFlight(f *flight) {
	delete(p.flights, f.token)
	if f.prev != nil {
		f.prev.next = f.next
	} else {
		p.oldest = f.next
	}
	if f.next != nil {
		f.next.prev = f.prev
	} else {
		p.newest = f.prev
	}
	if p.oldestUnovertaken == f {
		p.oldestUnovertaken = f.next
	}
	p.freeFlights = append(p.freeFlights, f)
}

// finish updates the observations with the result of a call; slow is the latency above which the call was too slow.
func (p *peer) finish(now time.Time, f *flight, res Result, good bool, slow time.Duration) {
	overtaken := p.oldestUnovertaken == nil || f.seq < p.oldestUnovertaken.seq
	quick := good && res.Latency <= slow
	if quick && !overtaken {
		p.oldestUnovertaken = f
	}
	startedAt := f.started
	p.removeFlight(f)

	if res.Answered {
		p.recordReport(now, res)
	}
	switch {
	case good:
		p.recordLatency(now, res.Latency)
		p.recordRefusal(now, 0)
		if quick {
			p.growCap()
		}
		// A probe must be as fast as the tier's p95, since an occasional call to a slowed backend server takes less than slow.
		if p.ejected && res.Latency <= slow/slowFactor && !startedAt.Before(p.ejectedAt) {
			p.readmit(res.Latency)
		} else if !quick && !overtaken {
			p.eject(now)
		}
	case res.DialFailed:
		p.eject(now)
	case !res.Answered && res.Reason == call.ReasonCancelled:
		// The caller cancelled the call, so its latency is a lower bound.
		if res.Latency.Seconds() > p.latency {
			p.recordLatency(now, res.Latency)
		}
	case !res.Answered || isUnavailable(res.Reason):
		p.recordRefusal(now, 1)
		p.eject(now)
	case isRefusal(res.Reason):
		p.recordRefusal(now, 1)
		// An admission level sheds only some priorities, and refuses already excludes the peer for those.
		if res.Reason != call.ReasonShed && p.refusalShare > maxRefusalShare {
			p.eject(now)
		}
	}
}

// isRefusal reports whether the reason means that the backend server could not accept the call. Other reasons concern the
// call itself.
func isRefusal(r call.Reason) bool {
	switch r {
	case call.ReasonShed, call.ReasonQueueFull, call.ReasonDeadline, call.ReasonBusy:
		return true
	default:
		return false
	}
}

// isUnavailable reports whether the reason means that the backend server accepts no calls at all.
func isUnavailable(r call.Reason) bool {
	return r == call.ReasonBackendFailed || r == call.ReasonDraining || r == call.ReasonNoConfiguration
}

func (p *peer) recordReport(now time.Time, res Result) {
	p.load, p.loadAt = float64(res.Load.InFlight)+float64(res.Load.Queued), now
	p.load /= float64(max(res.Load.Limit, 1))
	p.level, p.levelAt = res.Level.Key(), now
}

func (p *peer) recordLatency(now time.Time, latency time.Duration) {
	l := latency.Seconds()
	if p.latency == 0 {
		p.latency = l
	} else if l > p.latency {
		p.latency = min(l, maxLatencyRise*p.latency)
	} else {
		p.latency = l + (p.latency-l)*decay(now.Sub(p.latencyAt)+latency)
	}
	p.latencyAt = now
}

func (p *peer) recordRefusal(now time.Time, refusal float64) {
	share := p.refusalShare * decay(now.Sub(p.refusalShareAt))
	p.refusalShare, p.refusalShareAt = share+(refusal-share)*refusalSmoothing, now
}

// decay returns the remaining weight of an observation of that age.
func decay(age time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / decayTimeConstant.Seconds())
}

// growCap counts a good answer during slow start. The cap doubles once the number of good answers reaches it.
func (p *peer) growCap() {
	if p.cap == 0 {
		return
	}
	if p.goodSinceCap++; p.goodSinceCap >= p.cap {
		p.cap, p.goodSinceCap = 2*p.cap, 0
	}
	if p.cap >= maxInFlightCap || p.candidate.Slots > 0 && p.cap >= p.candidate.Slots {
		p.cap = 0
	}
}

func (p *peer) eject(now time.Time) {
	if p.ejected && now.Before(p.probeAt) {
		return
	}
	p.ejected, p.ejectedAt = true, now
	p.backoff = min(maxBackoff, max(initialBackoff, 2*p.backoff))
	p.probeAt = now.Add(p.backoff)
}

// readmit ends the ejection and discards the earlier observations. Slow start bounds the damage if the backend server has
// not recovered.
func (p *peer) readmit(latency time.Duration) {
	p.ejected, p.backoff = false, 0
	p.latency, p.refusalShare = latency.Seconds(), 0
	p.cap, p.goodSinceCap = initialInFlightCap, 0
}

// available ejects a peer whose oldest unovertaken call exceeds slow, and reports whether the peer may be chosen.
func (p *peer) available(now time.Time, slow time.Duration) bool {
	if !p.ejected && p.oldestUnovertaken != nil && now.Sub(p.oldestUnovertaken.started) > slow {
		p.eject(now)
	}
	return !p.ejected
}

// probeDue reports whether an ejected peer may receive a probe.
func (p *peer) probeDue(now time.Time) bool { return p.ejected && !now.Before(p.probeAt) }

// startProbe records that a probe was chosen and doubles the backoff until the next one.
func (p *peer) startProbe(now time.Time) {
	p.backoff = min(maxBackoff, max(initialBackoff, 2*p.backoff))
	p.probeAt = now.Add(p.backoff)
	p.ejectedAt = now
}

// refuses reports whether the admission level that the peer reported within reportTTL excludes the priority.
func (p *peer) refuses(now time.Time, priority call.Priority) bool {
	return !p.levelAt.IsZero() && now.Sub(p.levelAt) < reportTTL && priority.Key() > p.level
}

// atCap reports whether the peer is in slow start and has reached its cap on calls in flight.
func (p *peer) atCap() bool { return p.cap > 0 && len(p.flights) >= p.cap }

// score returns the cost of one more call; typical is the latency of the other candidates in seconds. Reported load can only
// raise the score, so that a backend server that reports no load while its calls are slow counts as slow.
func (p *peer) score(now time.Time, typical float64) float64 {
	latency := typical
	if p.latency > 0 {
		latency += (p.latency - typical) * decay(now.Sub(p.latencyAt)-decayTimeConstant)
	}
	if p.oldestUnovertaken != nil {
		latency = max(latency, now.Sub(p.oldestUnovertaken.started).Seconds())
	}
	latency = max(latency, 1e-6)
	slots := float64(max(p.candidate.Slots, 1))
	score := latency * (1 + float64(len(p.flights))) / slots
	if age := now.Sub(p.loadAt); !p.loadAt.IsZero() && age < reportTTL {
		score *= 1 + p.load*(1-float64(age)/float64(reportTTL))
	}
	if p.refusalShare > 0 {
		score *= 1 + refusalPenalty*p.refusalShare*decay(now.Sub(p.refusalShareAt))
	}
	return score
}
