package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// minSamples and maxSamples bound the number of calls in a window, whose median determines one change of the limit;
	// doublingSamples is the minimum while the limit doubles.
	doublingSamples = 10
	minSamples      = 20
	maxSamples      = 64
	// shortWindowAge is the age at which a window closes with at least shortWindowSamples samples, for backend servers
	// with little traffic.
	shortWindowAge     = 200 * time.Millisecond
	shortWindowSamples = 5
	// latencyTolerance is the maximum ratio of the median to the unloaded latency in a healthy window. Medians of few
	// samples vary by a third, so a smaller value lowers the limit without cause.
	latencyTolerance = 2.0
	// slowWindowsToShrink is the number of consecutive slow windows after which the limit is lowered; a single slow window
	// is often random.
	slowWindowsToShrink = 2
	// baseLatencyGain is the moving-average gain with which a faster window lowers the unloaded latency. It is below 1,
	// because the minimum of many medians is far below the typical one.
	baseLatencyGain = 0.25
	// immediateTolerance is the ratio of the median to the unloaded latency at which a single window lowers the limit.
	immediateTolerance = 2 * latencyTolerance
	// baseDecayPerSecond is the fraction by which the unloaded latency decays each second after it was raised, so that the
	// limit is lowered again after about 10 s if the raise was wrong.
	baseDecayPerSecond = 0.05
	// minShrinkFactor is the smallest factor that one reduction applies to the limit.
	minShrinkFactor = 0.5
	// trialShrinkFactor is the fraction of the original limit at which the effect of the reduction is evaluated.
	trialShrinkFactor = 0.5
	// improvedRatio is the latency, relative to that before the reduction, up to which the reduction counts as effective.
	// If concurrency were the cause, the latency would have fallen to about trialShrinkFactor.
	improvedRatio = 0.8
	// floorSlots and floorDivisor bound the limit from below. The medians of few calls vary so much that a backend server
	// with 4 slots stayed at a limit of 1 while calls waited; below these bounds a wrong limit costs more than a right one
	// saves.
	floorSlots   = 4
	floorDivisor = 4
	// initialLimit is the limit of a cold backend server. It must be small, because the first window sets the unloaded
	// latency.
	initialLimit = 8
)

func init() {
	Limiters.Register("learned", func() Limiter { return &learnedLimiter{} })
}

// learnedLimiter is an adaptive concurrency limit. It follows the gradient between the unloaded latency and the median of
// the latest calls.
type learnedLimiter struct {
	limit float64
	// slowStartThreshold is the limit up to which each healthy window doubles the limit; above it the limit grows by its
	// square root.
	slowStartThreshold float64
	// baseLatency is the median latency of the unloaded backend server.
	baseLatency float64
	samples     []float64
	windowStart time.Time
	// limitChanged is the time of the last change of the limit; calls started earlier do not reflect the new limit.
	limitChanged time.Time
	saturated    bool
	// slowWindows is the number of consecutive slow windows, and minSlowMedian is the smallest median among them.
	slowWindows   int
	minSlowMedian float64
	trial         trial
	// baseRaised is set once baseLatency was raised.
	baseRaised bool
}

// trial holds the limit and the latency before a reduction, to evaluate its effect.
type trial struct {
	limit   float64
	latency float64
}

func (l *learnedLimiter) Limit(slots int) int {
	if l.limit == 0 {
		return min(slots, initialLimit)
	}
	return max(1, min(slots, int(l.limit)))
}

// limitFloor returns the minimum limit for a number of slots.
func limitFloor(slots int) float64 { return float64(min(slots, max(floorSlots, slots/floorDivisor))) }

func (l *learnedLimiter) Observe(o Observation) {
	if l.limit == 0 {
		l.limit = float64(l.Limit(o.Slots))
		l.slowStartThreshold = float64(o.Slots)
	}
	l.limit = min(l.limit, float64(o.Slots))
	if o.Started.Before(l.limitChanged) || o.Latency <= 0 {
		return
	}
	if len(l.samples) == 0 {
		l.windowStart, l.saturated = o.Now, false
	}
	l.samples = append(l.samples, o.Latency)
	l.saturated = l.saturated || o.Saturated
	if len(l.samples) >= l.windowSize() || len(l.samples) >= shortWindowSamples && o.Now.Sub(l.windowStart) >= shortWindowAge {
		l.adjust(o)
	}
}

// windowSize returns the number of calls in a window. A window needs as many calls as the limit to show the latency at that
// limit, because its first calls start before the limit is reached.
func (l *learnedLimiter) windowSize() int {
	minimum := minSamples
	if l.baseLatency > 0 && l.limit < l.slowStartThreshold && l.slowWindows == 0 {
		minimum = doublingSamples
	}
	return max(minimum, min(maxSamples, int(l.limit)))
}

func (l *learnedLimiter) adjust(o Observation) {
	slices.Sort(l.samples)
	median := l.samples[len(l.samples)/2]
	l.samples = l.samples[:0]
	if l.baseLatency == 0 {
		l.baseLatency = median
	}
	l.updateBaseLatency(median, o.Now.Sub(l.windowStart))
	// A limit that was not reached cannot cause slow calls and does not need to grow.
	if !l.saturated {
		l.slowWindows = 0
		return
	}
	before := l.limit
	if median <= latencyTolerance*l.baseLatency {
		l.slowWindows = 0
		l.grow()
	} else {
		l.recordSlowWindow(median)
	}
	l.limit = max(limitFloor(o.Slots), min(float64(o.Slots), l.limit))
	if int(l.limit) != int(before) {
		l.limitChanged = o.Now
	}
}

// updateBaseLatency lowers the unloaded latency after a faster window, or lets it decay once it was raised.
func (l *learnedLimiter) updateBaseLatency(median float64, elapsed time.Duration) {
	if median < l.baseLatency {
		l.baseLatency += (median - l.baseLatency) * baseLatencyGain
	} else if l.baseRaised && l.saturated {
		l.baseLatency *= 1 - baseDecayPerSecond*min(1, elapsed.Seconds())
	}
}

func (l *learnedLimiter) grow() {
	l.trial = trial{}
	if l.limit < l.slowStartThreshold {
		l.limit = min(2*l.limit, l.slowStartThreshold)
		return
	}
	l.limit += max(1, math.Sqrt(l.limit))
	l.slowStartThreshold = l.limit
}

func (l *learnedLimiter) recordSlowWindow(median float64) {
	if l.slowWindows == 0 || median < l.minSlowMedian {
		l.minSlowMedian = median
	}
	if l.slowWindows++; l.slowWindows >= slowWindowsToShrink || median >= immediateTolerance*l.baseLatency {
		l.slowWindows = 0
		l.shrink(median, l.minSlowMedian)
	}
}

// shrink lowers the limit. If earlier reductions did not lower the latency, concurrency is not the cause: the current median
// becomes the unloaded latency and the limit is restored, so that it does not stay low.
func (l *learnedLimiter) shrink(median, minMedian float64) {
	if l.trial.limit == 0 {
		l.trial = trial{limit: l.limit, latency: median}
	}
	if l.limit <= 1 || l.limit <= trialShrinkFactor*l.trial.limit {
		if minMedian > improvedRatio*l.trial.latency {
			l.baseLatency, l.limit, l.trial, l.baseRaised = median, l.trial.limit, trial{}, true
			return
		}
		l.trial = trial{limit: l.limit, latency: median}
	}
	l.limit *= max(minShrinkFactor, latencyTolerance*l.baseLatency/minMedian)
	l.slowStartThreshold = l.limit
}
