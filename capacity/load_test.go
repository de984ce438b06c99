package capacity_test

import (
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/capacity"
	"lovagelane/slots"
)

const (
	step     = 2 * time.Millisecond
	runSlots = 100
	work     = 100 * time.Millisecond
	// aim is the time from arrival to answer within which an answer is of use to its caller.
	aim = 600 * time.Millisecond
)

// load is a pattern of calls to one backend server, whose speed depends on the calls that it works on.
type load struct {
	// perSecond is the rate of calls at a time.
	perSecond func(t time.Duration) float64
	// rate is the progress of each of n calls, 1 being full speed.
	rate func(t time.Duration, n int) float64
	// elsewhere is the time that a call of the route "nested" waits for other services after its work; nested is the share of
	// such calls.
	elsewhere func(t time.Duration) time.Duration
	nested    float64
	cold      time.Duration
	lasts     time.Duration
}

// run is a call at the model of a backend server. Its work is done at until less the time elsewhere.
type run struct {
	id               uint64
	arrived, started time.Duration
	left             float64
	route            string
	until            time.Duration
}

// outcome is what callers got: the share of calls answered within their aim, the 99th percentile of the time to the answer, and
// the calls that were refused. The limit is the mean over the last quarter, lowest the least one after the first second.
type outcome struct {
	good    float64
	p99     time.Duration
	refused int
	limit   float64
	lowest  int
}

// play runs a load with a fixed limit, or with a learned one if it is 0.
func play(l load, fixed int, seed uint64) outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	var learner capacity.Learner
	var q slots.Queue
	now := func(t time.Duration) time.Time { return time.Unix(1000, 0).Add(t) }
	learner.SetSlots(now(0), runSlots)
	learner.SetCold(now(l.cold))
	q.SetLimit(runSlots)
	if fixed > 0 {
		q.SetLimit(fixed)
	}
	runs, running := map[uint64]*run{}, []*run{}
	o := outcome{lowest: runSlots}
	var took []time.Duration
	arrivals, good, limits, ticks := 0, 0, 0.0, 0
	apply := func(t time.Duration, events []slots.Event) {
		for _, e := range events {
			switch e := e.(type) {
			case slots.Started:
				runs[e.ID].started = t
				running = append(running, runs[e.ID])
			case slots.Expired:
				o.refused++
			}
		}
	}
	for t := time.Duration(0); t < l.lasts; t += step {
		for n := poisson(random, l.perSecond(t)*step.Seconds()); n > 0; n-- {
			arrivals++
			r := &run{id: uint64(arrivals), arrived: t, started: t, left: work.Seconds() * (0.5 + random.Float64()), route: "plain"}
			if random.Float64() < 0.15 {
				r.left *= 2.5
			}
			if random.Float64() < l.nested {
				r.route = "nested"
			}
			runs[r.id] = r
			switch q.Arrive(now(t), slots.Call{ID: r.id, LatestStart: now(t + aim/2)}).(type) {
			case slots.Start:
				running = append(running, r)
			case slots.Refuse:
				o.refused++
			}
		}
		working := 0
		for _, r := range running {
			if r.left > 0 {
				working++
			}
		}
		rate := l.rate(t, working)
		var ended []*run
		running = slices.DeleteFunc(running, func(r *run) bool {
			if r.left > 0 {
				if r.left -= rate * step.Seconds(); r.left <= 0 && r.route == "nested" {
					r.until = t + l.elsewhere(t)
				}
			}
			if r.left > 0 || t < r.until {
				return false
			}
			ended = append(ended, r)
			return true
		})
		for _, r := range ended {
			took = append(took, t-r.arrived)
			if t-r.arrived <= aim {
				good++
			}
			learner.Finish(now(t), capacity.Completed{Route: r.route, RunTime: t - r.started})
			delete(runs, r.id)
			apply(t, q.Finish(r.id, t-r.started))
		}
		apply(t, q.Expire(now(t)))
		load := q.Load()
		learner.Update(now(t), load.Running, load.Waiting)
		if fixed == 0 {
			apply(t, q.SetLimit(learner.Limit()))
		}
		if os.Getenv("TRACE") != "" && fixed == 0 && t%(200*time.Millisecond) == 0 {
			println(t.String(), q.Limit(), learner.SettledLimit(), load.Running, load.Waiting, int(100*learner.Slowdown()))
		}
		if t > l.lasts*3/4 {
			limits, ticks = limits+float64(q.Limit()), ticks+1
		}
		if t > time.Second {
			o.lowest = min(o.lowest, q.Limit())
		}
	}
	slices.Sort(took)
	o.good, o.p99, o.limit = float64(good)/float64(arrivals), took[len(took)*99/100], limits/float64(ticks)
	return o
}

func poisson(random *rand.Rand, mean float64) int {
	n, p := 0, math.Exp(-mean)
	for product := random.Float64(); product > p; product *= random.Float64() {
		n++
	}
	return n
}

// compare plays a load with the learned limit, with all slots and with the best of several fixed limits, and returns the three.
func compare(t *testing.T, l load) (learned, all, best outcome) {
	t.Helper()
	learned, all = play(l, 0, 1), play(l, runSlots, 1)
	best = all
	for _, fixed := range []int{40, 60, 80} {
		if o := play(l, fixed, 1); o.good > best.good {
			best = o
		}
	}
	t.Logf("learned %+v\nall slots %+v\nbest fixed %+v", learned, all, best)
	return learned, all, best
}

func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

func full(time.Duration, int) float64 { return 1 }

// Guards against
func TestLosesThroughputBeyondSixtyPercent(t *testing.T) {
	learned, all, best := compare(t, load{lasts: 30 * time.Second, perSecond: steady(600),
		rate: func(_ time.Duration, n int) float64 { return min(1, math.Pow(60/float64(max(n, 1)), 3)) }})
	_, _, _ = learned, all, best
}

func TestShares(t *testing.T) {
	compare(t, load{lasts: 30 * time.Second, perSecond: steady(600),
		rate: func(_ time.Duration, n int) float64 { return min(1, 40/float64(max(n, 1))) }})
}

func TestSlots(t *testing.T) {
	for _, r := range []float64{400, 700, 800, 900, 1200} {
		compare(t, load{lasts: 30 * time.Second, perSecond: steady(r), rate: full})
	}
}

func TestTurnsSlow(t *testing.T) {
	slow := func(t time.Duration, _ int) float64 {
		if t > 8*time.Second && t < 15*time.Second {
			return 0.2
		}
		return 1
	}
	compare(t, load{lasts: 30 * time.Second, perSecond: steady(500), rate: slow})
	compare(t, load{lasts: 30 * time.Second, perSecond: steady(500), rate: func(t time.Duration, _ int) float64 {
		if t > 8*time.Second {
			return 0.5
		}
		return 1
	}})
}

func TestNested(t *testing.T) {
	compare(t, load{lasts: 30 * time.Second, perSecond: steady(300), rate: full, nested: 0.5, elsewhere: func(t time.Duration) time.Duration {
		if t > 10*time.Second {
			return 500 * time.Millisecond
		}
		return 100 * time.Millisecond
	}})
	compare(t, load{lasts: 30 * time.Second, perSecond: steady(300), rate: full, nested: 1, elsewhere: func(t time.Duration) time.Duration {
		if t > 10*time.Second {
			return 500 * time.Millisecond
		}
		return 100 * time.Millisecond
	}})
}

func TestCold(t *testing.T) {
	compare(t, load{lasts: 20 * time.Second, cold: 3 * time.Second, perSecond: steady(650), rate: func(t time.Duration, _ int) float64 {
		if t < 3*time.Second {
			return 0.5
		}
		return 1
	}})
}

func TestFew(t *testing.T) {
	compare(t, load{lasts: 60 * time.Second, perSecond: steady(3), rate: full})
}

func TestNoise(t *testing.T) {
	compare(t, load{lasts: 30 * time.Second, perSecond: steady(600), rate: func(t time.Duration, _ int) float64 {
		if int(t/(600*time.Millisecond))%7 == 3 {
			return 0.4
		}
		return 1
	}})
}

var _ = require.True
