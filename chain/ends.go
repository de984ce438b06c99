package chain

import (
	"math"
	"time"

	"lovagelane/kernel"
)

const (
	// endsHalfLife is the time after which a run counts half.
	endsHalfLife = 500 * time.Millisecond
	// minRuns is the number of runs that a report needs, so that a single failure is no evidence.
	minRuns = 4
	// maxRoutes bounds the number of routes that are tracked.
	maxRoutes = 4096
)

// Report is the share of the recent runs of a route that ended badly at one backend server, as a percentage plus one. The zero
// value means that there is not enough evidence.
type Report uint8

// MaxReport is the highest valid report: all runs ended badly.
const MaxReport Report = 101

// BadShare returns the share from 0 to 1, and false if there is not enough evidence.
func (r Report) BadShare() (float64, bool) {
	if r == 0 {
		return 0, false
	}
	return float64(r-1) / 100, true
}

// Ends keeps, by route, how the recent runs ended at one backend server. The caller serializes access to it. Its zero value is
// ready to use.
type Ends struct {
	routes *kernel.LRU[string, ends]
}

type ends struct {
	good, bad float64
	at        time.Time
}

// Record records the end of a run. A run ends badly if its answer is a server error or is lost.
func (e *Ends) Record(now time.Time, route string, bad bool) {
	if e.routes == nil {
		e.routes = kernel.NewLRU[string, ends](maxRoutes)
	}
	r := e.routes.GetOrAdd(route)
	r.age(now)
	if bad {
		r.bad++
	} else {
		r.good++
	}
}

// Report returns the report on a route.
func (e *Ends) Report(now time.Time, route string) Report {
	if e.routes == nil {
		return 0
	}
	r := e.routes.Get(route)
	if r == nil {
		return 0
	}
	r.age(now)
	return r.report()
}

func (e *ends) report() Report {
	if e.good+e.bad < minRuns {
		return 0
	}
	return Report(math.Round(100*e.bad/(e.good+e.bad))) + 1
}

// Worst returns the report on the route whose runs end badly most often.
func (e *Ends) Worst(now time.Time) Report {
	var worst Report
	if e.routes != nil {
		e.routes.Retain(func(_ string, r *ends) bool {
			r.age(now)
			worst = max(worst, r.report())
			return true
		})
	}
	return worst
}

// age lowers the weight of the runs recorded so far.
func (e *ends) age(now time.Time) {
	if elapsed := now.Sub(e.at); elapsed > 0 && !e.at.IsZero() {
		kept := math.Exp2(-elapsed.Seconds() / endsHalfLife.Seconds())
		e.good, e.bad = e.good*kept, e.bad*kept
	}
	e.at = now
}
