package admission

import (
	"math"

	"lovagelane/call"
)

const (
	keys = 1 << 12
	// decay is the part of the counts kept from one window to the next, a memory of about 1 s. A backend server with 100
	// calls a second sees only 5 in a window, too few to place the level; with a memory of 0.5 s it shed 2% of an important
	// class that took 85% of the capacity.
	decay = 0.95
	// decrease and increase are the parts of the admitted calls by which the level moves in one window.
	decrease = 0.05
	increase = 0.01
	// maxDecrease bounds one move under heavy drop.
	maxDecrease = 0.5
	// maxDoublings bounds how often increase doubles while slots are idle, twice in each window; without it, growth from a
	// level set during a slow spell would take several seconds.
	maxDoublings = 6
	// servedFloor is the part of the capacity, as seen from the served calls, below which the level never goes.
	servedFloor = 0.95
	// minUse is the least use of the slots from which the capacity is extrapolated.
	minUse = 0.7
	// idleUse is the use of the slots below which the level may move faster.
	idleUse = 0.85
	// firstStep is the first step, in keys, of a level that rises beyond every observed arrival; the step doubles.
	firstStep = 16
	// calmWindows is how long the level must be open before the quota is forgotten.
	calmWindows = 20
)

// level holds the admission level: the least important key such that the arrivals up to it fill the quota.
type level struct {
	key      int
	arrivals [keys]float32
	admitted float64
	served   float64
	// quota is the number of calls to admit, on the scale of the decayed counts; infinite when nothing is to be shed.
	quota      float64
	step       int
	idle       int
	calm       int
	overloaded bool
}

func newLevel() level { return level{key: keys - 1, quota: math.Inf(1)} }

func (l *level) priority() call.Priority { return call.PriorityOf(uint16(l.key)) }

// admit counts an arrival and reports whether it is admitted.
func (l *level) admit(p call.Priority) bool {
	key := int(p.Key()) & (keys - 1)
	l.arrivals[key]++
	return key <= l.key
}

// move adjusts the level at the end of a window.
func (l *level) move(w window, standing bool) {
	l.overloaded = standing || w.dropped > 0
	// During a stall the queue fills, but that says nothing about the capacity afterwards.
	if w.served > 0 || !l.overloaded {
		l.admitted = l.admitted*decay + float64(w.admitted)
		l.served = l.served*decay + float64(w.served)
		if l.overloaded {
			l.tighten(w)
		} else {
			l.relax(w)
		}
	}
	l.place()
}

func (l *level) tighten(w window) {
	l.idle, l.calm = 0, 0
	part := min(maxDecrease, max(decrease, float64(w.dropped)/float64(max(w.admitted, 1))))
	l.quota = max(min(l.quota, l.admitted)*(1-part), l.served/max(minUse, w.use())*servedFloor, 1)
}

func (l *level) relax(w window) {
	if math.IsInf(l.quota, 1) {
		return
	}
	part := increase
	if w.use() >= idleUse {
		l.idle = 0
	} else {
		l.idle++
		part *= float64(int(1) << min(2*l.idle, maxDoublings))
	}
	l.quota *= 1 + part
	if l.key < keys-1 {
		l.calm = 0
	} else if l.calm++; l.calm >= calmWindows {
		l.quota = math.Inf(1)
	}
}

// place sets the level from the quota and lets the counts decay.
func (l *level) place() {
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
		// Counts that have decayed to nothing are cleared, since arithmetic on denormal numbers is slow.
		if n *= decay; n < 1e-3 {
			n = 0
		}
		l.arrivals[i] = n
	}
	if key >= 0 {
		l.key, l.step = key, firstStep
		return
	}
	// All observed arrivals fit, but callers may be holding back what they know to be refused.
	l.key = min(keys-1, l.key+max(l.step, firstStep))
	l.step = min(keys, 2*max(l.step, firstStep))
}
