package admission

import (
	"math"

	"lovagelane/call"
)

const (
	numKeys = 1 << 12
	// countDecay is the fraction of the counts that is kept from one window to the next, a time constant of about 1 s. A
	// backend server with 100 calls per second sees only 5 in a window, too few to set the level; with a time constant of
	// 0.5 s it shed 2% of an important class that used 85% of the capacity.
	countDecay = 0.95
	// minDecrease is the minimum fraction by which the quota is lowered in one window, and baseIncrease is the fraction by
	// which it is raised before any doubling.
	minDecrease  = 0.05
	baseIncrease = 0.01
	// maxDecrease bounds the decrease in one window when many calls are dropped.
	maxDecrease = 0.5
	// maxDoublings bounds the doublings of baseIncrease while slots are idle, two in each window. Without the doubling, the
	// recovery from a level that was set during a slowdown takes several seconds.
	maxDoublings = 6
	// servedFloor is the minimum quota as a fraction of the capacity estimated from the served calls.
	servedFloor = 0.95
	// minUtilization is the lowest utilization from which the capacity is extrapolated.
	minUtilization = 0.7
	// idleUtilization is the utilization below which the quota grows faster.
	idleUtilization = 0.85
	// initialStep is the first step, in keys, by which the level rises when all observed arrivals fit the quota; the step
	// doubles in each window.
	initialStep = 16
	// quotaResetWindows is the number of windows for which the level must be fully open before the quota is removed.
	quotaResetWindows = 20
)

// level holds the admission level: the least important key that is admitted, such that the arrivals up to it fill the quota.
type level struct {
	key      int
	arrivals [numKeys]float32
	admitted float64
	served   float64
	// quota is the number of calls to admit, on the scale of the decayed counts; it is infinite when no call is shed.
	quota       float64
	step        int
	idleWindows int
	openWindows int
	overloaded  bool
}

func newLevel() level { return level{key: numKeys - 1, quota: math.Inf(1)} }

func (l *level) priority() call.Priority { return call.PriorityFromKey(uint16(l.key)) }

// admit counts an arrival and reports whether it is admitted.
func (l *level) admit(p call.Priority) bool {
	key := int(p.Key()) & (numKeys - 1)
	l.arrivals[key]++
	return key <= l.key
}

// update adjusts the level at the end of a window.
func (l *level) update(w window, standingQueue bool) {
	l.overloaded = standingQueue || w.dropped > 0
	// During a stall the queue fills up, which does not reflect the capacity after the stall.
	if w.served > 0 || !l.overloaded {
		l.admitted = l.admitted*countDecay + float64(w.admitted)
		l.served = l.served*countDecay + float64(w.served)
		if l.overloaded {
			l.tighten(w)
		} else {
			l.relax(w)
		}
	}
	l.updateKey()
}

func (l *level) tighten(w window) {
	l.idleWindows, l.openWindows = 0, 0
	fraction := min(maxDecrease, max(minDecrease, float64(w.dropped)/float64(max(w.admitted, 1))))
	l.quota = max(min(l.quota, l.admitted)*(1-fraction), l.served/max(minUtilization, w.utilization())*servedFloor, 1)
}

func (l *level) relax(w window) {
	if math.IsInf(l.quota, 1) {
		return
	}
	fraction := baseIncrease
	if w.utilization() >= idleUtilization {
		l.idleWindows = 0
	} else {
		l.idleWindows++
		fraction *= float64(int(1) << min(2*l.idleWindows, maxDoublings))
	}
	l.quota *= 1 + fraction
	if l.key < numKeys-1 {
		l.openWindows = 0
	} else if l.openWindows++; l.openWindows >= quotaResetWindows {
		l.quota = math.Inf(1)
	}
}

// updateKey sets the level from the quota and decays the counts.
func (l *level) updateKey() {
	sum, key := 0.0, -1
	for i := range l.arrivals {
		n := l.arrivals[i]
		if n == 0 {
			continue
		}
		sum += float64(n)
		if key < 0 && sum >= l.quota {
			key = i
		}
		// Counts near zero are cleared, because arithmetic on denormal numbers is slow.
		if n *= countDecay; n < 1e-3 {
			n = 0
		}
		l.arrivals[i] = n
	}
	if key >= 0 {
		l.key, l.step = key, initialStep
		return
	}
	// All observed arrivals fit the quota, but callers may shed calls locally that they expect to be refused, so the level
	// rises in steps.
	l.key = min(numKeys-1, l.key+max(l.step, initialStep))
	l.step = min(numKeys, 2*max(l.step, initialStep))
}
