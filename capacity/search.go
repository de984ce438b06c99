package capacity

import (
	"math"
	"time"
)

const (
	// minWindow and maxWindow bound the length of a window. Within them it lasts as long as a run takes.
	minWindow = 200 * time.Millisecond
	maxWindow = 3 * time.Second
	// fullRuns is the number of completed runs that close a window, and enoughRuns the number without which it is no evidence.
	fullRuns   = 30
	enoughRuns = 10
	// fullShare is the share of a window in which the limit is reached, from which on the window shows the throughput there,
	// and waitingShare the share in which calls also wait, from which on a higher limit is of use.
	fullShare    = 0.7
	waitingShare = 0.5
	// routeRuns is the number of runs from which the mean run time of a route is taken.
	routeRuns = 8
	// leastGain is the weight of a window with shorter runs in the least run time of a route. The shortest of many windows is
	// far below the usual least loaded one.
	leastGain = 0.25
	// suspectRatio is the run time relative to the least one from which on a lower limit may do as much work: half as long
	// again exceeds what the work of a window varies by.
	suspectRatio = 1.5
	// suspectTime is how long the windows have to call for another limit until a trial starts: a passing delay, as of a garbage
	// collection, is shorter.
	suspectTime = 800 * time.Millisecond
	// healthyRatio is the run time relative to the least one up to which the limit grows without a trial.
	healthyRatio = 1.15
	// minStep and maxStep bound a lower limit that is tried, relative to the limit.
	minStep, maxStep = 0.6, 0.8
	// growthStep is the factor of the first step upwards, and maxGrowthStep that of steps that follow successes.
	growthStep, maxGrowthStep = 1.25, 2
	// minGrowth is the smallest factor by which the limit grows while a ceiling holds.
	minGrowth = 1.08
	// shrinkElasticity is the elasticity of throughput below which the lower limit is better. It is negative, because throughput
	// doesn't grow with concurrency either where runs wait for a full service further down the call graph: a lower limit would
	// only reduce the share of this backend server there. growElasticity is that above which a higher limit is better.
	shrinkElasticity, growElasticity = -0.1, 0.25
	// pairBound limits the evidence of one pair of windows, and decisive is the evidence that ends a trial, so that it takes
	// two pairs that agree.
	pairBound = 0.5
	decisive  = 0.9
	// maxPairs limits the pairs of a trial. A difference that takes more is too small to matter.
	maxPairs = 4
	// ceilingTTL is how long a higher limit that did less work is avoided without a new trial.
	ceilingTTL = 10 * time.Second
	// minGrowthPause and maxGrowthPause bound the time after a step upwards that failed.
	minGrowthPause, maxGrowthPause = 2 * time.Second, 8 * time.Second
	// minShrinkPause and maxShrinkPause bound the time from a lower limit that failed to the next one that is tried without a
	// suspicion.
	minShrinkPause, maxShrinkPause = 2 * time.Second, time.Minute
)

// window adds up what happens from its start on.
type window struct {
	start time.Time
	// seconds is the time that has been added up, area that time multiplied by the runs in flight, full the part of it in
	// which the limit was reached, and waited the part of full in which calls waited.
	seconds, area, full, waited float64
	// work is the sum over the completed runs of their routes' run time relative to the mean one.
	work                         float64
	completed, started, rejected int
	// rejectedAt is the sum over the rejected runs of the runs in flight.
	rejectedAt int
	// startedAt and startedAtSquared are the sums over the started runs of the runs in flight and of their square.
	startedAt, startedAtSquared int
}

func (w *window) add(seconds float64, running, waiting, limit int) {
	w.seconds += seconds
	w.area += seconds * float64(running)
	if running >= limit {
		w.full += seconds
		if waiting > 0 {
			w.waited += seconds
		}
	}
}

// addStarts counts runs that started and led to the given number in flight.
func (w *window) addStarts(started, running int) {
	w.started += started
	w.startedAt += started * running
	w.startedAtSquared += started * running * running
}

// isDue reports whether the window ends, if runs take the given time.
func (w *window) isDue(now time.Time, runTime time.Duration) bool {
	age := now.Sub(w.start)
	if w.completed >= fullRuns {
		return age >= max(minWindow, min(runTime, maxWindow))
	}
	return age >= maxWindow
}

func (w *window) isFull() bool {
	return w.completed >= enoughRuns && w.full >= fullShare*w.seconds
}

func (w *window) concurrency() float64 { return w.area / w.seconds }
func (w *window) throughput() float64  { return w.work / w.seconds }

// search is the state of the search for the best limit.
type search struct {
	trial *trial
	// slowFor is the length of the consecutive windows that call for a lower limit, and growFor of those that call for a higher
	// one, both in seconds.
	slowFor, growFor float64
	// ceiling is a limit that did less work than a lower one; 0 means none. From ceilingUntil on it is tried again.
	ceiling      int
	ceilingUntil time.Time
	// previous is the limit before the last growth, and step the factor of the next one.
	previous int
	step     float64
	// nextGrowth and nextShrink are the times from which on a higher or, without a suspicion, a lower limit is tried. The second
	// one starts anew after a window that wasn't full, so that a surge after a calm doesn't begin with a trial.
	nextGrowth, nextShrink   time.Time
	growthPause, shrinkPause time.Duration
	rejections               rejections
}

// trial compares two limits in windows that alternate between them: low, high, high, low, and so on, so that a steady change
// of speed affects both alike.
type trial struct {
	low, high int
	// growing is set if the higher limit is the new one.
	growing  bool
	windows  int
	first    window
	evidence float64
}

// atLow reports whether the lower limit is in force.
func (t *trial) atLow() bool { return t.windows%4 == 0 || t.windows%4 == 3 }

func (t *trial) limit() int {
	if t.atLow() {
		return t.low
	}
	return t.high
}

// elasticity returns the relative change of throughput by the relative change of concurrency between two windows, and false
// if their concurrency is too close to tell.
func elasticity(low, high window) (float64, bool) {
	concurrency := math.Log(high.concurrency() / low.concurrency())
	if concurrency < (growthStep-1)/2 {
		return 0, false
	}
	return math.Log(high.throughput()/low.throughput()) / concurrency, true
}

// closeWindow takes a window as evidence and starts the next one.
func (l *Learner) closeWindow(now time.Time) {
	w := l.window
	before := l.Limit()
	l.judge(now, w)
	l.window = window{start: now}
	if after := l.Limit(); after != before {
		// Runs that started before the change don't reflect it.
		l.window.start = now.Add(min(l.MeanRunTime(), maxWindow))
	}
}

func (l *Learner) judge(now time.Time, w window) {
	s := &l.search
	ratio, known := l.takeRunTimes(w.isFull())
	if l.judgeRejections(now, w) {
		return
	}
	if s.trial != nil {
		l.continueTrial(now, w)
		return
	}
	if !w.isFull() {
		s.slowFor, s.growFor, s.nextShrink = 0, 0, time.Time{}
		return
	}
	if s.nextShrink.IsZero() {
		s.shrinkPause = max(minShrinkPause, s.shrinkPause)
		s.nextShrink = now.Add(s.shrinkPause)
	}
	waited := w.waited >= waitingShare*w.seconds
	slow := waited && l.limit > l.floor() && (known && ratio >= suspectRatio || now.After(s.nextShrink))
	if slow {
		if s.slowFor += w.seconds; s.slowFor >= suspectTime.Seconds() {
			s.slowFor, s.growFor = 0, 0
			s.trial = &trial{low: l.lowerLimit(ratio), high: l.limit}
		}
		return
	}
	s.slowFor = 0
	if waited && l.limit < l.slots {
		l.grow(now, w, known && ratio <= healthyRatio)
	}
}

// lowerLimit returns the limit to compare the present one with, at which run times are as much longer than the least ones as
// given: the one from before the last growth if it is near.
func (l *Learner) lowerLimit(ratio float64) int {
	// If the excess grows with the square of the concurrency, this is where it begins.
	low := int(max(minStep, min(maxStep, 1/math.Sqrt(ratio))) * float64(l.limit))
	if previous := l.search.previous; previous <= int(maxStep*float64(l.limit)) {
		low = max(low, previous)
	}
	return max(l.floor(), min(l.limit-1, low))
}

// takeRunTimes updates the least run times of the routes. It returns the run time relative to the least one of the route that
// slowed down least, and false if too few runs completed. Run times of a window that isn't full are kept until they are enough.
func (l *Learner) takeRunTimes(full bool) (float64, bool) {
	if l.routes == nil {
		return 1, false
	}
	least := math.Inf(1)
	l.routes.Retain(func(_ string, r *route) bool {
		if r.count < routeRuns {
			if full {
				r.sum, r.count = 0, 0
			}
			return true
		}
		mean := r.sum / float64(r.count)
		if r.least == 0 {
			r.least = mean
		}
		r.least += min(0, mean-r.least) * leastGain
		least = min(least, mean/r.least)
		r.last, r.sum, r.count = mean, 0, 0
		return true
	})
	return least, !math.IsInf(least, 1)
}

// grow raises the limit at once while the runs are as short as ever, and starts a trial otherwise. Below a ceiling, each step goes
// halfway towards it, and once it has expired, a trial decides.
func (l *Learner) grow(now time.Time, w window, healthy bool) {
	s := &l.search
	s.step = min(maxGrowthStep, max(growthStep, s.step))
	if !healthy {
		s.step = growthStep
	}
	target := min(l.slots, max(l.limit+1, int(s.step*float64(l.limit))))
	expired := !now.Before(s.ceilingUntil)
	if s.ceiling > 0 && !expired {
		target = min(target, int(math.Sqrt(float64(l.limit*s.ceiling))))
		if float64(target) < minGrowth*float64(l.limit) {
			return
		}
	}
	if healthy && (s.ceiling == 0 || !expired) {
		s.previous, l.limit = l.limit, target
		s.step *= growthStep
		return
	}
	if now.Before(s.nextGrowth) {
		return
	}
	if s.growFor += w.seconds; s.growFor >= suspectTime.Seconds() {
		s.growFor = 0
		s.trial = &trial{low: l.limit, high: target, growing: true}
	}
}

// lower sets a lower limit and avoids the ceiling for a while.
func (l *Learner) lower(now time.Time, limit, ceiling int) {
	s := &l.search
	l.limit = max(l.floor(), min(l.limit, limit))
	s.ceiling, s.ceilingUntil, s.step, s.previous = ceiling, now.Add(ceilingTTL), growthStep, 0
}

func (l *Learner) continueTrial(now time.Time, w window) {
	s, t := &l.search, l.search.trial
	if !w.isFull() {
		// The demand has fallen. If the higher limit wasn't reached, it serves all of it.
		if !t.growing || !t.atLow() {
			l.limit = t.high
		}
		s.trial = nil
		return
	}
	first := t.first
	t.first = w
	t.windows++
	if t.windows%2 == 1 {
		return
	}
	low, high := first, w
	if t.windows%4 == 0 {
		low, high = w, first
	}
	if e, ok := elasticity(low, high); ok {
		neutral := shrinkElasticity
		if t.growing {
			neutral = growElasticity
		}
		t.evidence += min(pairBound, max(-pairBound, e-neutral))
	}
	if math.Abs(t.evidence) >= decisive || t.windows >= 2*maxPairs {
		s.trial = nil
		l.decide(now, t)
	}
}

// decide sets the limit after a trial. Without enough evidence it stays.
func (l *Learner) decide(now time.Time, t *trial) {
	s := &l.search
	higher := t.evidence >= decisive
	lower := t.evidence <= -decisive
	switch {
	case t.growing && higher:
		s.previous, l.limit, s.ceiling = l.limit, t.high, 0
		s.growthPause = 0
	case t.growing:
		l.lower(now, t.low, t.high)
		s.growthPause = min(maxGrowthPause, max(minGrowthPause, 2*s.growthPause))
		s.nextGrowth = now.Add(s.growthPause)
	case lower:
		l.lower(now, t.low, t.high)
		s.shrinkPause, s.growthPause = 0, 0
		l.delayShrink(now)
		s.nextGrowth = now.Add(minGrowthPause)
	case higher:
		// The backend server is slow for another reason than concurrency.
		l.routes.Retain(func(_ string, r *route) bool {
			r.least = max(r.least, r.last)
			return true
		})
		l.delayShrink(now)
	default:
		l.delayShrink(now)
	}
}

// delayShrink sets the time from which on a lower limit is tried without a suspicion.
func (l *Learner) delayShrink(now time.Time) {
	s := &l.search
	s.shrinkPause = min(maxShrinkPause, max(minShrinkPause, 2*s.shrinkPause))
	s.nextShrink = now.Add(s.shrinkPause)
}
