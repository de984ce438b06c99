package capacity

import (
	"math"
	"time"

	"lovagelane/kernel"
)

const (
	// floorShare and floorRuns bound the limit from below: with fewer runs in flight, too few end to raise the limit again.
	floorShare = 0.125
	floorRuns  = 4
	// maxRoutes bounds the number of routes whose run times are stored.
	maxRoutes = 1024
	// maxRunRatio bounds the run time of one call relative to the one expected, because the work differs from call to call.
	maxRunRatio = 8
	// slowdownHalfLife is the half-life of the observations that determine the slowdown, and priorRuns the number of runs as
	// long as usual that they are averaged with, so that few runs hardly move it.
	slowdownHalfLife = 500 * time.Millisecond
	priorRuns        = 8
	// minTypicalGain is the smallest weight of one run in a route's typical run time.
	minTypicalGain = 0.01
	// rejectedShare is the share of rejected runs above which the limit falls below the concurrency that led to them.
	rejectedShare = 0.05
	// rejectionBackoff is the limit after rejections, relative to the concurrency that led to them.
	rejectionBackoff = 0.9
)

// Outcome is the result of a run: Completed, Wasted or Rejected.
type Outcome interface{ outcome() }

// Completed means that the backend server ran the call and its answer is of use.
type Completed struct {
	Route   string
	RunTime time.Duration
}

// Wasted means that the run led to no answer of use: it failed, was cancelled or got lost.
type Wasted struct{}

// Rejected means that the backend server stated that it did not run the call.
type Rejected struct{}

func (Completed) outcome() {}
func (Wasted) outcome()    {}
func (Rejected) outcome()  {}

// Learner learns the capacity of one incarnation of a backend server. The caller serializes access to it. The zero value has
// no slots.
type Learner struct {
	slots int
	// limit is the limit in force outside trials, 0 until the first SetSlots.
	limit     int
	coldUntil time.Time
	updated   time.Time
	running   int
	waiting   int
	routes    *kernel.LRU[string, route]
	// busySeconds and workSeconds are decaying sums of the time in which runs were in flight and of the typical run times of
	// those that completed.
	busySeconds, workSeconds float64
	// meanTypical is the moving average of the typical run times of completed runs, in seconds.
	meanTypical float64
	window      window
	search      search
}

// route holds the run times of the calls of a route, in seconds.
type route struct {
	// typical is the moving average without the slowdown; runs counts the runs in it.
	typical float64
	runs    int
	// least is the mean run time of the windows with the shortest ones; 0 means unknown.
	least float64
	// last is the mean run time of the last window with enough runs.
	last float64
	// sum and count are of the runs that completed since the last window that counted.
	sum   float64
	count int
}

// SetSlots sets the number of announced slots, which is the limit of a backend server that has shown nothing else.
func (l *Learner) SetSlots(now time.Time, slots int) {
	if slots == l.slots {
		return
	}
	if l.limit == l.slots || l.limit > slots {
		l.limit = slots
	}
	l.slots = slots
	l.search = search{}
	l.window = window{start: now}
}

// SetCold marks the backend server as slow after its start until the given time. Its runs until then tell nothing about the
// limit.
func (l *Learner) SetCold(until time.Time) { l.coldUntil = until }

// Limit returns the maximum number of runs to have in flight, from 1 to the announced slots, or 0 without slots.
func (l *Learner) Limit() int {
	if t := l.search.trial; t != nil {
		return min(t.limit(), l.slots)
	}
	return l.limit
}

// SettledLimit returns the limit without the changes that a trial makes for its comparison.
func (l *Learner) SettledLimit() int { return l.limit }

// floor returns the smallest limit.
func (l *Learner) floor() int {
	return min(l.slots, max(floorRuns, int(floorShare*float64(l.slots))))
}

// Update records the runs in flight and the calls that wait for a slot from now on. It is called after each change of them,
// and some times a second without one.
func (l *Learner) Update(now time.Time, running, waiting int) {
	elapsed := max(now.Sub(l.updated), 0).Seconds()
	if l.updated.IsZero() {
		elapsed, l.window.start = 0, now
	}
	decay := math.Exp2(-elapsed / slowdownHalfLife.Seconds())
	l.busySeconds = l.busySeconds*decay + float64(l.running)*elapsed
	l.workSeconds *= decay
	if now.After(l.window.start) {
		l.window.add(min(elapsed, now.Sub(l.window.start).Seconds()), l.running, l.waiting, l.Limit())
	}
	l.updated, l.running, l.waiting = now, running, waiting
	if now.Before(l.coldUntil) {
		l.search.trial = nil
		l.window = window{start: now}
		return
	}
	if l.window.isDue(now, l.meanRunTime()) {
		l.closeWindow(now)
	}
}

// Finish records the outcome of a run.
func (l *Learner) Finish(now time.Time, o Outcome) {
	if !now.Before(l.window.start) {
		l.window.ended++
	}
	switch o := o.(type) {
	case Completed:
		l.recordRun(now, o)
	case Rejected:
		if !now.Before(l.window.start) {
			l.window.rejected++
		}
	case Wasted:
	}
}

func (l *Learner) recordRun(now time.Time, o Completed) {
	if l.routes == nil {
		l.routes = kernel.NewLRU[string, route](maxRoutes)
	}
	seconds, slowdown := max(o.RunTime.Seconds(), 1e-4), l.Slowdown()
	r := l.routes.GetOrAdd(o.Route)
	if r.runs == 0 {
		r.typical = seconds / slowdown
	}
	r.runs++
	usual := min(seconds/slowdown, maxRunRatio*r.typical)
	r.typical += (usual - r.typical) * max(minTypicalGain, 1/float64(r.runs))
	if l.meanTypical == 0 {
		l.meanTypical = r.typical
	}
	l.meanTypical += (r.typical - l.meanTypical) * minTypicalGain
	l.workSeconds += r.typical
	if !now.Before(l.coldUntil) && !now.Before(l.window.start) {
		r.sum, r.count = r.sum+min(seconds, maxRunRatio*r.typical*slowdown), r.count+1
	}
	if !now.Before(l.window.start) {
		l.window.completed++
		l.window.work += r.typical
	}
}

// Slowdown returns the present run time relative to the usual one: 1 when they are equal or nothing is known.
func (l *Learner) Slowdown() float64 {
	prior := priorRuns * l.meanTypical
	if prior == 0 {
		return 1
	}
	return min(maxRunRatio, max(1/float64(maxRunRatio), (l.busySeconds+prior)/(l.workSeconds+prior)))
}

// ExpectedRunTime returns how long a call of a route runs now, or 0 if none has completed.
func (l *Learner) ExpectedRunTime(name string) time.Duration {
	if l.routes == nil {
		return 0
	}
	r := l.routes.Get(name)
	if r == nil {
		return 0
	}
	return time.Duration(r.typical * l.Slowdown() * float64(time.Second))
}

// meanRunTime returns the present mean run time of all routes.
func (l *Learner) meanRunTime() time.Duration {
	return time.Duration(l.meanTypical * l.Slowdown() * float64(time.Second))
}
