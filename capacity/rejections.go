package capacity

import (
	"math"
	"time"
)

const (
	// rejectedShare is the share of rejected runs above which a lower limit is tried.
	rejectedShare = 0.05
	// rejectedRuns is the number of rejections that a comparison takes. With fewer, half as many would still be chance.
	rejectedRuns = 8
	// rejectionBackoff is the limit that is tried, relative to the concurrency that led to the rejections. A backend server that
	// rejects what exceeds its capacity runs hardly more than that, so a little less ends the rejections.
	rejectionBackoff = 0.9
	// lessConcurrency is the concurrency, relative to that which led to the rejections, up to which a window shows the effect of
	// the lower limit.
	lessConcurrency = 0.95
	// minSpread is the standard deviation of the concurrency, relative to its mean, from which on it tells whether rejections depend
	// on it, and peakSpreads the number of standard deviations above the mean below which they don't.
	minSpread, peakSpreads = 0.05, 0.5
	// risingConcurrency is the concurrency, relative to that of the windows before, from which on it is rising.
	risingConcurrency = 1.1
	// rejectionDeviations is the number of standard deviations by which the share of rejected runs has to fall to depend on
	// concurrency.
	rejectionDeviations = 2.5
)

// rejections is the search for the concurrency beyond which a backend server rejects calls. Rejections alone are no sign of that:
// a faulty one rejects a share of them at any concurrency, and fewer slots would only add to what it takes from callers.
type rejections struct {
	// high counts what started before the trial, and low what started at the lower limit. concurrency is that of high, and peak that in
	// which its rejections fell.
	high, low         rejectionCount
	concurrency, peak float64
	// before is the limit in force before the trial; 0 means that none is under way.
	before int
	// next is the time from which on rejections lead to another trial, and pause the time from one that failed to it.
	next  time.Time
	pause time.Duration
}

type rejectionCount struct{ rejected, started int }

func (c rejectionCount) with(w window) rejectionCount {
	return rejectionCount{c.rejected + w.rejected, c.started + w.started}
}

// rejectionPeak returns the mean concurrency in which rejections fell.
func (w window) rejectionPeak() float64 { return float64(w.rejectedAt) / float64(max(w.rejected, 1)) }

// rejectsAtRandom reports whether the concurrency varied in the window and was no higher for the rejected runs than for all.
func (w window) rejectsAtRandom() bool {
	if w.started == 0 {
		return false
	}
	mean := float64(w.startedAt) / float64(w.started)
	spread := math.Sqrt(max(0, float64(w.startedAtSquared)/float64(w.started)-mean*mean))
	return spread >= minSpread*mean && w.rejectionPeak() < mean+peakSpreads*spread
}

func (c rejectionCount) share() float64 { return float64(c.rejected) / float64(max(c.started, 1)) }

// exceeds reports whether the share of rejected runs is higher than another one by more than chance.
func (c rejectionCount) exceeds(other rejectionCount) bool {
	if c.started == 0 || other.started == 0 {
		return false
	}
	common := rejectionCount{c.rejected + other.rejected, c.started + other.started}.share()
	deviation := math.Sqrt(common * (1 - common) * (1/float64(c.started) + 1/float64(other.started)))
	return c.share()-other.share() > rejectionDeviations*deviation
}

// judgeRejections takes a window as evidence of what depends on concurrency, and reports whether a trial is under way, which then
// decides alone.
func (l *Learner) judgeRejections(now time.Time, w window) bool {
	s := &l.search
	r := &s.rejections
	many := (rejectionCount{}).with(w).share() > rejectedShare
	switch {
	case r.before > 0 && w.concurrency() <= lessConcurrency*r.concurrency:
		r.low = r.low.with(w)
		if r.low.started >= r.high.started {
			l.decideRejections(now)
		}
		return true
	case r.before > 0:
		if many {
			l.lower(now, int(rejectionBackoff*w.rejectionPeak()), int(w.rejectionPeak()))
		}
		return true
	case !many || now.Before(r.next) || w.rejectsAtRandom():
		r.high, r.concurrency, r.peak = rejectionCount{}, 0, 0
		return false
	}
	first := r.high.started == 0 || w.concurrency() > risingConcurrency*r.concurrency
	if first {
		// Where more run all the time, the concurrency beyond which calls are rejected isn't known yet.
		r.high, r.concurrency, r.peak = rejectionCount{}, 0, 0
	}
	r.high = r.high.with(w)
	r.concurrency += (w.concurrency() - r.concurrency) * float64(w.started) / float64(r.high.started)
	r.peak += (w.rejectionPeak() - r.peak) * float64(w.rejected) / float64(r.high.rejected)
	if first || r.high.rejected < rejectedRuns {
		return false
	}
	s.trial = nil
	r.before = l.limit
	l.lower(now, int(rejectionBackoff*r.peak), int(r.peak))
	return true
}

// decideRejections ends a trial. Where rejections don't depend on concurrency, the limit is as before it.
func (l *Learner) decideRejections(now time.Time) {
	s := &l.search
	r := &s.rejections
	if r.high.exceeds(r.low) {
		*r = rejections{}
		return
	}
	l.limit, s.ceiling = min(l.slots, max(l.limit, r.before)), 0
	pause := min(maxShrinkPause, max(minShrinkPause, 2*r.pause))
	*r = rejections{pause: pause, next: now.Add(pause)}
}
