package balance

import (
	"math"
	"time"

	"lovagelane/call"
)

const (
	// slowFactor is how many times its tier's usual p95 a call takes to be too slow.
	slowFactor = 4
	// slowMinimum and slowUnknown bound that latency from below, and give it while no p95 is known.
	slowMinimum = 10 * time.Millisecond
	slowUnknown = time.Second
	// firstBackoff and maxBackoff bound the time between probes of an avoided backend server.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// firstCap is the bound on calls in flight to a new candidate, and maxCap ends its slow start.
	firstCap = 2
	maxCap   = 64
	// freshInterval is the age up to which a level or a load report is believed.
	freshInterval = time.Second
	// settleInterval is the time constant with which an observed latency gives way to newer ones, and with which it
	// returns to that of the other candidates when there are none.
	settleInterval = time.Second
	// maxRise bounds what one slow call does to the latency, so that a straggler does not empty a backend server.
	maxRise = 4
	// refusalWeight is by how much refusals make a backend server less attractive. Fast refusals are no sign of speed.
	refusalWeight = 20
	// refusalLimit is the share of refusals from which a backend server is avoided. Without it, an idle one that refuses
	// at once draws a third of the calls from busy ones that work.
	refusalLimit = 0.6
	// refusalGain is the part by which one answer moves the share of refusals.
	refusalGain = 0.25
)

// flight is a call in flight; the flights of a peer form a list in order of their start.
type flight struct {
	token      uint64
	seq        uint64
	started    time.Time
	prev, next *flight
}

// peer holds what is known of a candidate.
type peer struct {
	candidate Candidate
	tier      int

	flights        map[uint64]*flight
	oldest, newest *flight
	// waiting is the oldest flight that no later call has overtaken with a good answer. Overtaken flights are
	// stragglers and do not show that the backend server is slow.
	waiting *flight
	seq     uint64
	free    []*flight

	// latency is a peak-sensitive moving average in seconds, 0 while unknown.
	latency  float64
	observed time.Time

	load      float64
	loadAt    time.Time
	level     uint16
	levelAt   time.Time
	refusals  float64
	refusedAt time.Time

	avoided   bool
	avoidedAt time.Time
	backoff   time.Duration
	probeAt   time.Time

	// cap bounds the calls in flight during slow start; 0 means that it is over.
	cap  int
	good int
}

func newPeer() *peer { return &peer{flights: map[uint64]*flight{}, cap: firstCap} }

func (p *peer) started(now time.Time, token uint64) {
	if p.flights[token] != nil {
		return
	}
	var f *flight
	if n := len(p.free); n > 0 {
		f, p.free = p.free[n-1], p.free[:n-1]
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
	if p.waiting == nil {
		p.waiting = f
	}
	p.flights[token] = f
}

// end takes a flight out of the list.
func (p *peer) end(f *flight) {
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
	if p.waiting == f {
		p.waiting = f.next
	}
	p.free = append(p.free, f)
}

// finished learns from the end of a call; slow is the latency from which it was too slow.
func (p *peer) finished(now time.Time, f *flight, res Result, good bool, slow time.Duration) {
	overtaken := p.waiting == nil || f.seq < p.waiting.seq
	quick := good && res.Latency <= slow
	if quick && !overtaken {
		p.waiting = f
	}
	startedAt := f.started
	p.end(f)

	if res.Answered {
		p.report(now, res)
	}
	switch {
	case good:
		p.observe(now, res.Latency)
		p.refuse(now, 0)
		if quick {
			p.grow()
		}
		// A probe must be as fast as most calls are: one of a few calls to a slowed backend server is below slow.
		if p.avoided && res.Latency <= slow/slowFactor && !startedAt.Before(p.avoidedAt) {
			p.readmit(res.Latency)
		} else if !quick && !overtaken {
			p.avoid(now)
		}
	case res.DialFailed:
		p.avoid(now)
	case !res.Answered && res.Reason == call.ReasonCancelled:
		// The caller gave up: the call took at least this long.
		if res.Latency.Seconds() > p.latency {
			p.observe(now, res.Latency)
		}
	case !res.Answered || broken(res.Reason):
		p.refuse(now, 1)
		p.avoid(now)
	case refused(res.Reason):
		p.refuse(now, 1)
		// A level sheds only some priorities, and those are kept away by the level itself.
		if res.Reason != call.ReasonShed && p.refusals > refusalLimit {
			p.avoid(now)
		}
	}
}

// refused reports whether an answer with that reason says that the backend server could not take the call. Other reasons
// lie with the call.
func refused(r call.Reason) bool {
	switch r {
	case call.ReasonShed, call.ReasonQueueFull, call.ReasonDeadline, call.ReasonBusy:
		return true
	default:
		return false
	}
}

// broken reports whether an answer with that reason says that the backend server takes no calls at all.
func broken(r call.Reason) bool {
	return r == call.ReasonBackendFailed || r == call.ReasonDraining || r == call.ReasonNoConfiguration
}

func (p *peer) report(now time.Time, res Result) {
	p.load, p.loadAt = float64(res.Load.InFlight)+float64(res.Load.Queued), now
	p.load /= float64(max(res.Load.Limit, 1))
	p.level, p.levelAt = res.Level.Key(), now
}

func (p *peer) observe(now time.Time, latency time.Duration) {
	l := latency.Seconds()
	if p.latency == 0 {
		p.latency = l
	} else if l > p.latency {
		p.latency = min(l, maxRise*p.latency)
	} else {
		p.latency = l + (p.latency-l)*settle(now.Sub(p.observed)+latency)
	}
	p.observed = now
}

func (p *peer) refuse(now time.Time, refused float64) {
	share := p.refusals * settle(now.Sub(p.refusedAt))
	p.refusals, p.refusedAt = share+(refused-share)*refusalGain, now
}

// settle returns the part that is left of an observation of that age.
func settle(age time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / settleInterval.Seconds())
}

// grow counts a good answer; slow start doubles the cap after as many of them as the cap.
func (p *peer) grow() {
	if p.cap == 0 {
		return
	}
	if p.good++; p.good >= p.cap {
		p.cap, p.good = 2*p.cap, 0
	}
	if p.cap >= maxCap || p.candidate.Slots > 0 && p.cap >= p.candidate.Slots {
		p.cap = 0
	}
}

func (p *peer) avoid(now time.Time) {
	if p.avoided && now.Before(p.probeAt) {
		return
	}
	p.avoided, p.avoidedAt = true, now
	p.backoff = min(maxBackoff, max(firstBackoff, 2*p.backoff))
	p.probeAt = now.Add(p.backoff)
}

// readmit ends the avoidance: what was observed before no longer holds, and slow start bounds the damage if it does.
func (p *peer) readmit(latency time.Duration) {
	p.avoided, p.backoff = false, 0
	p.latency, p.refusals = latency.Seconds(), 0
	p.cap, p.good = firstCap, 0
}

// check avoids a peer whose calls wait too long, and reports whether it may be chosen.
func (p *peer) check(now time.Time, slow time.Duration) bool {
	if !p.avoided && p.waiting != nil && now.Sub(p.waiting.started) > slow {
		p.avoid(now)
	}
	return !p.avoided
}

// probeDue reports whether an avoided peer may get a probe.
func (p *peer) probeDue(now time.Time) bool { return p.avoided && !now.Before(p.probeAt) }

// probe notes that a probe was chosen; the next one waits for twice the time.
func (p *peer) probe(now time.Time) {
	p.backoff = min(maxBackoff, max(firstBackoff, 2*p.backoff))
	p.probeAt = now.Add(p.backoff)
	p.avoidedAt = now
}

// refuses reports whether the peer has just said that it does not admit the priority.
func (p *peer) refuses(now time.Time, priority call.Priority) bool {
	return !p.levelAt.IsZero() && now.Sub(p.levelAt) < freshInterval && priority.Key() > p.level
}

// full reports whether slow start allows no more calls in flight.
func (p *peer) full() bool { return p.cap > 0 && len(p.flights) >= p.cap }

// score returns the cost of one more call; usual is the latency of the other candidates. Reported load only adds to what
// was observed, so that a backend server that reports no load while its calls are slow counts as slow.
func (p *peer) score(now time.Time, usual float64) float64 {
	latency := usual
	if p.latency > 0 {
		latency += (p.latency - usual) * settle(now.Sub(p.observed)-settleInterval)
	}
	if p.waiting != nil {
		latency = max(latency, now.Sub(p.waiting.started).Seconds())
	}
	latency = max(latency, 1e-6)
	slots := float64(max(p.candidate.Slots, 1))
	score := latency * (1 + float64(len(p.flights))) / slots
	if age := now.Sub(p.loadAt); !p.loadAt.IsZero() && age < freshInterval {
		score *= 1 + p.load*(1-float64(age)/float64(freshInterval))
	}
	if p.refusals > 0 {
		score *= 1 + refusalWeight*p.refusals*settle(now.Sub(p.refusedAt))
	}
	return score
}
