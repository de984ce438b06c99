package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// minSamples and maxSamples bound the calls whose median decides on one change of the limit; startSamples is enough
	// while the limit doubles.
	startSamples = 10
	minSamples   = 20
	maxSamples   = 64
	// slowWindow closes a window with fewer samples (at least fewSamples) on a backend server with little traffic.
	slowWindow = 200 * time.Millisecond
	fewSamples = 5
	// tolerance is how many times the unloaded latency the median may be. Medians of few samples vary by a third, so a
	// smaller value lowers the limit without cause.
	tolerance = 2.0
	// suspicions is the number of windows in a row that must be too slow before the limit is lowered; a single one is
	// often chance.
	suspicions = 2
	// lowerGain is the part by which a faster window lowers the unloaded latency. It is below 1, because the least of many
	// medians is far below the typical one.
	lowerGain = 0.25
	// certain is how many times the unloaded latency the median must be to lower the limit after a single window.
	certain = 2 * tolerance
	// doubt is the part of the unloaded latency that is taken off each second after it was raised, so that a wrong raise
	// is tried again after some 10 s.
	doubt = 0.05
	// minShrink is the least factor that one window applies to the limit.
	minShrink = 0.5
	// trialShrink is how far the limit must have gone down before it is judged whether that helped.
	trialShrink = 0.5
	// helped is the latency, relative to that before the reduction, below which the reduction helped. If concurrency
	// were the cause, the latency would have fallen to about trialShrink.
	helped = 0.8
	// floorSlots and floorShare bound the limit from below. The medians of few calls vary so much that a backend server
	// with 4 slots was held at 1 while calls waited; below these bounds a wrong limit costs more than a right one saves.
	floorSlots = 4
	floorShare = 4
	// firstLimit is the limit of a cold backend server. The first window gives the unloaded latency, so it must be small.
	firstLimit = 8
)

func init() {
	Limiters.Register("learned", func() Limiter { return &learned{} })
}

// learned adjusts the limit by the gradient between the unloaded latency and the median of the latest calls.
type learned struct {
	limit float64
	// healthy is the limit up to which the limit doubles; beyond it it grows by its square root.
	healthy float64
	// base is the median latency of the unloaded backend server.
	base    float64
	samples []float64
	began   time.Time
	// changed is when the limit last changed; calls started earlier tell nothing about the new one.
	changed   time.Time
	saturated bool
	// slow is the number of windows in a row that were too slow, and least is the least median among them.
	slow  int
	least float64
	trial trial
	// raised is set once base was raised.
	raised bool
}

// trial remembers the state before a reduction, to judge whether it helped.
type trial struct {
	limit   float64
	latency float64
}

func (l *learned) Limit(slots int) int {
	if l.limit == 0 {
		return min(slots, firstLimit)
	}
	return max(1, min(slots, int(l.limit)))
}

// floor returns the least limit for a number of slots.
func floor(slots int) float64 { return float64(min(slots, max(floorSlots, slots/floorShare))) }

func (l *learned) Observe(o Observation) {
	if l.limit == 0 {
		l.limit = float64(l.Limit(o.Slots))
		l.healthy = float64(o.Slots)
	}
	l.limit = min(l.limit, float64(o.Slots))
	if o.Started.Before(l.changed) || o.Latency <= 0 {
		return
	}
	if len(l.samples) == 0 {
		l.began, l.saturated = o.Now, false
	}
	l.samples = append(l.samples, o.Latency)
	l.saturated = l.saturated || o.Saturated
	if len(l.samples) >= l.enough() || len(l.samples) >= fewSamples && o.Now.Sub(l.began) >= slowWindow {
		l.adjust(o)
	}
}

// enough returns the number of calls in a window. As many as the limit show the latency at that limit; the first ones are
// started before it is reached.
func (l *learned) enough() int {
	least := minSamples
	if l.base > 0 && l.limit < l.healthy && l.slow == 0 {
		least = startSamples
	}
	return max(least, min(maxSamples, int(l.limit)))
}

func (l *learned) adjust(o Observation) {
	slices.Sort(l.samples)
	median := l.samples[len(l.samples)/2]
	l.samples = l.samples[:0]
	if l.base == 0 {
		l.base = median
	}
	l.follow(median, o.Now.Sub(l.began))
	// A limit that was not reached cannot be the cause of slow calls and needs no growth.
	if !l.saturated {
		l.slow = 0
		return
	}
	before := l.limit
	if median <= tolerance*l.base {
		l.slow = 0
		l.grow()
	} else {
		l.suspect(median)
	}
	l.limit = max(floor(o.Slots), min(float64(o.Slots), l.limit))
	if int(l.limit) != int(before) {
		l.changed = o.Now
	}
}

// follow lowers the unloaded latency.
func (l *learned) follow(median float64, took time.Duration) {
	if median < l.base {
		l.base += (median - l.base) * lowerGain
	} else if l.raised && l.saturated {
		l.base *= 1 - doubt*min(1, took.Seconds())
	}
}

func (l *learned) grow() {
	l.trial = trial{}
	if l.limit < l.healthy {
		l.limit = min(2*l.limit, l.healthy)
		return
	}
	l.limit += max(1, math.Sqrt(l.limit))
	l.healthy = l.limit
}

func (l *learned) suspect(median float64) {
	if l.slow == 0 || median < l.least {
		l.least = median
	}
	if l.slow++; l.slow >= suspicions || median >= certain*l.base {
		l.slow = 0
		l.shrink(median, l.least)
	}
}

// shrink lowers the limit. When that did not lower the latency, something else slowed the backend server down: its present
// latency is taken for the unloaded one and the limit is restored, so that the limit cannot stay low.
func (l *learned) shrink(latest, least float64) {
	if l.trial.limit == 0 {
		l.trial = trial{limit: l.limit, latency: latest}
	}
	if l.limit <= 1 || l.limit <= trialShrink*l.trial.limit {
		if least > helped*l.trial.latency {
			l.base, l.limit, l.trial, l.raised = latest, l.trial.limit, trial{}, true
			return
		}
		l.trial = trial{limit: l.limit, latency: latest}
	}
	l.limit *= max(minShrink, tolerance*l.base/least)
	l.healthy = l.limit
}
