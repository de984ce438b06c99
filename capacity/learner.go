package capacity

import (
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
	// runTimeMemory is the time constant of a route's expected run time. minRunGain and maxRunGain bound the weight of one run
	// in it, where there are many of them and where there are few.
	runTimeMemory          = 2 * time.Second
	minRunGain, maxRunGain = 0.01, 0.25
	// usualAgeMemory is the time constant of the usual mean age of the runs in flight, and priorRuns the number of runs of that
	// age that are added to those in flight, so that a few old ones hardly count.
	usualAgeMemory = 10 * time.Second
	priorRuns      = 8
	// overdueRatio is the mean age of the runs in flight relative to the usual one from which on it shows that the backend server
	// has become slow.
	overdueRatio = 2
)

// Outcome is the result of a run: Completed, Wasted or Rejected.
type Outcome interface{ outcome() }

// Completed means that the backend server ran the call and its answer is of use.
type Completed struct{ Route string }

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
	// ended is the number of runs that ended since the last Update.
	ended  int
	routes *kernel.LRU[string, route]
	// age is the sum of the ages of the runs in flight, and usualAge the moving average of their mean, in seconds.
	age, usualAge float64
	// observed is the time in which runs were in flight, in seconds.
	observed float64
	// meanRun is the moving average of the expected run times of completed runs, in seconds.
	meanRun float64
	window  window
	search  search
}

// route holds the run times of the calls of a route, in seconds.
type route struct {
	// expected is the moving average. runs counts the runs in it, and updated is the time of the last one.
	expected float64
	runs     int
	updated  time.Time
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
	if l.limit == l.slots {
		l.limit = slots
	}
	l.slots = slots
	l.limit = max(l.floor(), min(slots, l.limit))
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
	if l.updated.IsZero() {
		l.updated, l.window.start = now, now
	}
	elapsed := max(now.Sub(l.updated), 0).Seconds()
	l.age = max(0, l.age+float64(l.running)*elapsed)
	if running == 0 {
		l.age = 0
	} else if elapsed > 0 {
		l.observed += elapsed
		l.usualAge += (l.age/float64(running) - l.usualAge) * min(1, elapsed/min(l.observed, usualAgeMemory.Seconds()))
	}
	if now.After(l.window.start) {
		l.window.add(min(elapsed, now.Sub(l.window.start).Seconds()), l.running, l.waiting, l.Limit())
		l.window.addStarts(max(0, running-l.running+l.ended), running)
	}
	l.updated, l.running, l.waiting, l.ended = now, running, waiting, 0
	if now.Before(l.coldUntil) {
		l.search.trial = nil
		l.window = window{start: now}
		return
	}
	if l.window.isDue(now, l.MeanRunTime()) {
		l.closeWindow(now)
	}
}

// Finish records the outcome of a run and how long it took. Update follows it.
func (l *Learner) Finish(now time.Time, ran time.Duration, o Outcome) {
	l.age -= ran.Seconds()
	counts := !now.Before(l.window.start) && !now.Before(l.coldUntil)
	l.ended++
	switch o := o.(type) {
	case Completed:
		l.recordRun(now, o.Route, max(ran.Seconds(), 1e-4), counts)
	case Rejected:
		if counts {
			l.window.rejected++
			l.window.rejectedAt += l.running
		}
	case Wasted:
	}
}

func (l *Learner) recordRun(now time.Time, name string, seconds float64, counts bool) {
	if l.routes == nil {
		l.routes = kernel.NewLRU[string, route](maxRoutes)
	}
	r := l.routes.GetOrAdd(name)
	if r.runs == 0 {
		r.expected = seconds
	}
	r.runs++
	seconds = min(seconds, maxRunRatio*r.expected)
	gain := min(maxRunGain, max(minRunGain, now.Sub(r.updated).Seconds()/runTimeMemory.Seconds()))
	r.expected += (seconds - r.expected) * max(gain, 1/float64(r.runs))
	r.updated = now
	if l.meanRun == 0 {
		l.meanRun = r.expected
	}
	l.meanRun += (r.expected - l.meanRun) * minRunGain
	if counts {
		r.sum, r.count = r.sum+seconds, r.count+1
		l.window.completed++
		// Relative to the mean, so that a change of speed that all routes share doesn't change the work of a run.
		l.window.work += r.expected / l.meanRun
	}
}

// overdue returns the mean age of the runs in flight relative to the usual one if it is conspicuous, and 1 otherwise. It shows
// that a backend server has become slow before runs end that tell so.
func (l *Learner) overdue() float64 {
	// Runs of equal length are half as old on average.
	usual := max(l.usualAge, l.meanRun/2)
	if usual == 0 || l.observed < usualAgeMemory.Seconds()/4 {
		return 1
	}
	ratio := (l.age/usual + priorRuns) / float64(l.running+priorRuns)
	if ratio < overdueRatio {
		return 1
	}
	return min(maxRunRatio, ratio)
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
	return time.Duration(r.expected * l.overdue() * float64(time.Second))
}

// MeanRunTime returns how long a call runs now on average, or 0 if none has completed.
func (l *Learner) MeanRunTime() time.Duration {
	return time.Duration(l.meanRun * float64(time.Second))
}
