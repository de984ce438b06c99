package mesh

import (
	"math"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/capacity"
	"lovagelane/directory"
	"lovagelane/dispatch"
)

const (
	// overdueFactor is the number of typical run times after which a call without an answer is an observation. Twice as many
	// later it is one again.
	overdueFactor = 3
	// minLoggedChange is the relative change of the learned limit that is logged.
	minLoggedChange = 0.2
)

// learnedCapacity is what a node has learned about its backend server. Node.mu guards it. The zero value knows nothing.
type learnedCapacity struct {
	learner capacity.Learner
	// of is the incarnation that learner describes.
	of     directory.Incarnation
	logged int
	// coldUntil is the time until which the backend server is slow after its start.
	coldUntil time.Time
}

// learnsRunTimes reports whether the node reports the run times of its backend server and follows those of others.
func (n *Node) learnsRunTimes() bool { return n.settings.LearnCapacity || n.settings.FollowRunTimes }

// learnedLimitLocked returns the limit of the backend server, which may have at most the given number of calls.
func (n *Node) learnedLimitLocked(limit int) int {
	if !n.learnsRunTimes() {
		return limit
	}
	c := &n.capacity
	if current, _ := n.tracker.Current(); current != c.of {
		*c = learnedCapacity{of: current, logged: limit, coldUntil: c.coldUntil}
		c.learner.SetCold(c.coldUntil)
	}
	c.learner.SetSlots(n.clock.Now(), limit)
	if !n.settings.LearnCapacity {
		return limit
	}
	return c.learner.Limit()
}

// recordColdStartLocked records how long the backend server stays slow after its start.
func (n *Node) recordColdStartLocked(a Announcement) {
	if current, _ := n.tracker.Current(); n.learnsRunTimes() && current == a.Backend && !a.Deregistered {
		n.capacity.coldUntil = n.clock.Now().Add(a.ColdRemaining)
		n.capacity.learner.SetCold(n.capacity.coldUntil)
	}
}

// observeLoadLocked passes the state of the queue to the learner.
func (n *Node) observeLoadLocked(now time.Time) {
	if n.learnsRunTimes() {
		l := n.queue.Load()
		n.capacity.learner.Update(now, l.Running, l.Waiting)
	}
}

// recordCapacityLocked passes the end of a run to the learner.
func (n *Node) recordCapacityLocked(now time.Time, j *job, x exchangeResult, ran time.Duration) {
	if !n.learnsRunTimes() {
		return
	}
	var o capacity.Outcome = capacity.Wasted{}
	switch {
	case j.cancelled:
	case x.outcome == outcomeRejected && !x.backendGone:
		o = capacity.Rejected{}
	case x.outcome == outcomeAnswered && x.status < fasthttp.StatusInternalServerError:
		o = capacity.Completed{Route: j.m.Route}
	}
	n.capacity.learner.Finish(now, ran, o)
	n.observeLoadLocked(now)
}

// expectedRunTimeLocked returns how long a call of a route runs at the own backend server, or 0 if that isn't learned.
func (n *Node) expectedRunTimeLocked(route string) time.Duration {
	if !n.learnsRunTimes() {
		return 0
	}
	return n.capacity.learner.ExpectedRunTime(route)
}

// tickCapacity puts the learned limit in force.
func (n *Node) tickCapacity() {
	if !n.learnsRunTimes() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &n.capacity
	n.observeLoadLocked(n.clock.Now())
	settled, meanRun := c.learner.SettledLimit(), c.learner.MeanRunTime()
	n.metrics.Set("mean-run-ms", meanRun.Milliseconds())
	if !n.settings.LearnCapacity {
		return
	}
	if c.learner.Limit() != n.queue.Limit() {
		n.updateLimitLocked()
	}
	n.metrics.Set("learned-limit", int64(settled))
	if c.isLoggedChange(settled) {
		n.log.Info("learned-limit-changed", "limit", settled, "before", c.logged, "slots", n.slots, "mean-run", meanRun)
		c.logged = settled
	}
}

// isLoggedChange reports whether a limit differs enough from the last one logged. A node without a backend server has none.
func (c *learnedCapacity) isLoggedChange(limit int) bool {
	return limit != c.logged && math.Abs(float64(limit-c.logged)) >= minLoggedChange*float64(c.logged)
}

// overdueTimer fires when a call has run for several times its typical run time. The zero value never fires.
type overdueTimer struct {
	n       *Node
	address string
	// started is the time by which the call runs, if it runs at all.
	started time.Time
	next    time.Duration
	timer   *time.Timer
}

func (n *Node) newOverdueTimer(now time.Time, r *request, choice dispatch.Choice) *overdueTimer {
	if !n.learnsRunTimes() {
		return &overdueTimer{}
	}
	o := &overdueTimer{n: n, address: choice.Address, started: now.Add(choice.MaxWait), next: overdueFactor * choice.Typical}
	o.timer = time.NewTimer(choice.MaxWait + o.next)
	return o
}

func (o *overdueTimer) fired() <-chan time.Time {
	if o.timer == nil {
		return nil
	}
	return o.timer.C
}

// record passes the run time so far to the chooser and starts the timer again.
func (o *overdueTimer) record(r *request) {
	now := o.n.clock.Now()
	o.n.mu.Lock()
	o.n.chooser.RecordOverdue(now, o.address, r.route.Name, now.Sub(o.started))
	o.n.mu.Unlock()
	o.timer.Reset(o.next)
	o.next *= 2
}

func (o *overdueTimer) stop() {
	if o.timer != nil {
		o.timer.Stop()
	}
}
