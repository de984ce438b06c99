package chain

import (
	"math"
	"time"

	"lovagelane/kernel"
)

const (
	// reportTTL is how long a report counts if none follows.
	reportTTL = 3 * time.Second
	// maxReporters bounds the number of backend servers whose last report on a class is stored.
	maxReporters = 64
	// minReporters is the number of backend servers that must report, so that one that is broken can't stand for its service.
	minReporters = 2
	// badShareLimit is the share of bad ends above which starting a request of the class wastes more work than it completes.
	badShareLimit = 0.5
	// recoveredLimit is the mean share of bad ends below which a class that ended badly ends well again. Reports on few runs scatter.
	recoveredLimit = 0.35
	// stepInterval is the time between two changes of a share. It exceeds the time that most requests take to show the effect.
	stepInterval = 250 * time.Millisecond
	// shareDecrease and shareIncrease are the factors of one step.
	shareDecrease = 0.25
	shareIncrease = 4
	// minShare is the share that is started during a shortage, so that the end of the shortage is noticed.
	minShare = 1.0 / 16
	// relapseTime is the time after a growth within which a decrease counts as caused by it; the next growth is then slower by half,
	// at most maxSlowdowns times.
	relapseTime  = 4 * time.Second
	maxSlowdowns = 5
	// calmTime is how long a share must not have fallen after a growth until it grows at full pace again.
	calmTime = 10 * time.Second
	// reportHalfLife is the age at which a report weighs half.
	reportHalfLife = time.Second
	// minRetryAfter and maxRetryAfter bound the time after which the caller of a refused request may come back, and
	// retryAfterSpread is the part by which it varies, so that callers don't come back all at once.
	minRetryAfter    = 500 * time.Millisecond
	maxRetryAfter    = 5 * time.Second
	retryAfterSpread = 0.25
	// maxCatchUpSteps bounds the steps of growth that are made up for after a time without requests.
	maxCatchUpSteps = 64
)

// Class is a kind of request: the requests of a route with the same rank, where rank 0 is the most important.
type Class struct {
	Route string
	Rank  int
}

// Decision is the result of Admit: Started or Refused.
type Decision interface{ decision() }

// Started means that the request is to be forwarded.
type Started struct{}

// Refused means that the request is not to be started.
type Refused struct {
	// RetryAfter is the delay after which the caller may come back.
	RetryAfter time.Duration
}

func (Started) decision() {}
func (Refused) decision() {}

// Change is a change of the share of a class that is started.
type Change struct {
	Class Class
	// Share is the share from 0 to 1 after the change, and BadShare that of its runs that ended badly.
	Share, BadShare float64
	// Rank is the rank of the more important class that ended badly as well.
	Rank int
}

// Gate limits at the entry the requests of a class of which most end badly while a more important class ends badly as well, so
// that the repeats and the slots further down are left to the latter. The caller serializes access to it. Its zero value is ready
// to use.
type Gate struct {
	classes *kernel.LRU[Class, class]
	// failingRank is the rank of the most important class that ended badly at the last check, if any.
	failingRank kernel.Option[int]
	checkedAt   time.Time
}

type class struct {
	outside bool
	// failing is set while the class ends badly.
	failing bool
	// reports holds the last report of each backend server.
	reports *kernel.LRU[string, datedReport]
	// withheld is the share of the requests that is refused.
	withheld float64
	// slowdowns is how often the pace of growth was halved.
	slowdowns int
	// growing is set if the last change was a growth.
	growing bool
	// steppedAt is the time of the last step, grewAt that of the last growth, and shortSince that of the first decrease of the
	// current shortage.
	steppedAt, grewAt, shortSince time.Time
}

type datedReport struct {
	badShare float64
	at       time.Time
}

// Report records a report on a class by the node beside a backend server, and whether it is called by outside callers.
func (g *Gate) Report(now time.Time, k Class, reporter string, r Report, outside bool) {
	if g.classes == nil {
		g.classes = kernel.NewLRU[Class, class](maxRoutes)
	}
	c := g.classes.GetOrAdd(k)
	c.outside = outside
	badShare, ok := r.BadShare()
	if !ok {
		return
	}
	if c.reports == nil {
		c.reports = kernel.NewLRU[string, datedReport](maxReporters)
	}
	*c.reports.GetOrAdd(reporter) = datedReport{badShare: badShare, at: now}
}

// Admit decides whether a request is started, and returns the change of the share of its class, if there is one.
func (g *Gate) Admit(now time.Time, k Class, random *kernel.Rand) (Decision, kernel.Option[Change]) {
	c := g.find(k)
	if c == nil || !c.outside {
		return Started{}, kernel.Option[Change]{}
	}
	g.check(now)
	changed := c.step(now, k.Rank, g.failingRank)
	var change kernel.Option[Change]
	if changed {
		_, _, badShare := c.tally(now)
		change = kernel.Some(Change{Class: k, Share: c.share(), BadShare: badShare, Rank: g.failingRank.Or(k.Rank)})
	}
	if random.Float64() < c.share() {
		return Started{}, change
	}
	spread := 1 + retryAfterSpread*(2*random.Float64()-1)
	lasted := min(max(now.Sub(c.shortSince), minRetryAfter), maxRetryAfter)
	return Refused{RetryAfter: time.Duration(spread * float64(lasted))}, change
}

// BadReporters returns the backend servers that have lately reported that most of their runs of a class end badly.
func (g *Gate) BadReporters(now time.Time, k Class) kernel.Set[string] {
	c := g.find(k)
	if c == nil || c.reports == nil {
		return nil
	}
	bad := kernel.Set[string]{}
	c.reports.Retain(func(reporter string, r *datedReport) bool {
		recent := now.Sub(r.at) < reportTTL
		if recent && r.badShare > badShareLimit {
			bad[reporter] = struct{}{}
		}
		return recent
	})
	return bad
}

// Outside reports whether a class is known to be called by outside callers.
func (g *Gate) Outside(k Class) bool {
	c := g.find(k)
	return c != nil && c.outside
}

// Nested reports whether a class is known to be called by backend servers only.
func (g *Gate) Nested(k Class) bool {
	c := g.find(k)
	return c != nil && !c.outside
}

func (g *Gate) find(k Class) *class {
	if g.classes == nil {
		return nil
	}
	return g.classes.Get(k)
}

// check determines the most important class that ends badly, once in each step interval.
func (g *Gate) check(now time.Time) {
	if now.Sub(g.checkedAt) < stepInterval {
		return
	}
	g.checkedAt, g.failingRank = now, kernel.Option[int]{}
	g.classes.Retain(func(k Class, c *class) bool {
		if c.outside && c.ending(now) == endingBadly && k.Rank <= g.failingRank.Or(k.Rank) {
			g.failingRank = kernel.Some(k.Rank)
		}
		return true
	})
}

// ending is what the reports of the last seconds say about the runs of a class.
type ending int

const (
	endingUnknown ending = iota
	endingWell
	// endingBadly means that most runs end badly at most of the backend servers.
	endingBadly
)

func (c *class) ending(now time.Time) ending {
	reporters, failingShare, badShare := c.tally(now)
	switch {
	case reporters < minReporters:
		c.failing = false
		return endingUnknown
	case failingShare > badShareLimit:
		c.failing = true
	case badShare < recoveredLimit:
		c.failing = false
	}
	if c.failing {
		return endingBadly
	}
	return endingWell
}

// tally counts the backend servers that have reported lately. It returns the share of them at which most runs end badly and the
// mean share of bad ends, in which new reports weigh more than old ones.
func (c *class) tally(now time.Time) (reporters int, failingShare, badShare float64) {
	if c.reports == nil {
		return 0, 0, 0
	}
	total := 0.0
	c.reports.Retain(func(_ string, r *datedReport) bool {
		if now.Sub(r.at) >= reportTTL {
			return false
		}
		weight := math.Exp2(-now.Sub(r.at).Seconds() / reportHalfLife.Seconds())
		reporters++
		total += weight
		badShare += weight * r.badShare
		if r.badShare > badShareLimit {
			failingShare += weight
		}
		return true
	})
	if reporters == 0 {
		return 0, 0, 0
	}
	return reporters, failingShare / total, badShare / total
}

func (c *class) share() float64 { return 1 - c.withheld }

// step changes the share if a step is due, and reports whether it did.
func (c *class) step(now time.Time, rank int, failingRank kernel.Option[int]) bool {
	steps := int(min(now.Sub(c.steppedAt)/stepInterval, maxCatchUpSteps))
	if steps == 0 {
		return false
	}
	c.steppedAt = now
	before := c.withheld
	givesWay := failingRank.Or(rank) < rank
	switch ending := c.ending(now); {
	case givesWay && ending == endingBadly:
		c.decrease(now)
	case givesWay && ending == endingUnknown:
		// A small share may show too little. It grows again when the more important class ends well.
	case c.withheld > 0:
		c.increase(now, steps)
	}
	return c.withheld != before
}

func (c *class) decrease(now time.Time) {
	if c.withheld == 0 {
		c.shortSince = now
	}
	if c.growing {
		if now.Sub(c.grewAt) >= calmTime {
			c.slowdowns = 0
		} else if now.Sub(c.grewAt) < relapseTime {
			c.slowdowns = min(c.slowdowns+1, maxSlowdowns)
		}
	}
	c.growing = false
	c.withheld = 1 - max(minShare, c.share()*shareDecrease)
}

func (c *class) increase(now time.Time, steps int) {
	factor := math.Pow(shareIncrease, float64(steps)/math.Exp2(float64(c.slowdowns)))
	c.growing, c.grewAt = true, now
	c.withheld = max(0, 1-c.share()*factor)
}
