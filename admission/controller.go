package admission

import (
	"math"
	"slices"
	"time"

	"lovagelane/call"
	"lovagelane/kernel"
)

// Item is a call that arrives at the backend server.
type Item struct {
	// ID is unique among the calls that are queued or in flight.
	ID        uint64
	Priority  call.Priority
	Operation string
	Caller    string
	// Deadline is the time by which the call must finish; the zero time means that there is no deadline.
	Deadline time.Time
}

// Decision is the result of Arrive: Start, Wait or Refuse.
type Decision interface{ decision() }

// Start means that the call runs now.
type Start struct{}

// Wait means that the call is queued; a later Event starts or drops it.
type Wait struct{}

// Refuse means that the call is not run.
type Refuse struct{ Reason call.Reason }

func (Start) decision()  {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// Event is the outcome of a queued call: Started or Dropped.
type Event interface{ event() }

// Started means that the queued call runs now.
type Started struct{ ID uint64 }

// Dropped means that the queued call is not run.
type Dropped struct {
	ID     uint64
	Reason call.Reason
}

func (Started) event() {}
func (Dropped) event() {}

// Sample holds the measurements of a finished call.
type Sample struct {
	Latency time.Duration
	// Failed excludes the latency from the limit and the service time, because it does not reflect the capacity.
	Failed bool
}

// Config holds the limiter and the slots of a backend server from the inventory.
type Config struct {
	// Limiter is the name of a registered limiter plug-in; the default is "learned".
	Limiter string
	// Slots is the number of calls that the backend server can run at once.
	Slots int
}

const (
	// TickInterval is the period at which Tick must be called.
	TickInterval = 10 * time.Millisecond
	// windowInterval is the period at which the admission level is updated.
	windowInterval = 50 * time.Millisecond
	// delayTarget is the queueing delay above which a call that the level no longer admits is dropped.
	delayTarget = 5 * time.Millisecond
	// standingQueueFactor is the queue length, as a multiple of the limit, that must persist for a whole window before the
	// level tightens. With 1 instead of 2, backend servers with few slots lose 10% of their goodput.
	standingQueueFactor = 2
	// queueBoundFactor is the maximum queue length as a multiple of the limit.
	queueBoundFactor = 4
	// standingQueueSlack and queueBoundSlack are added to the limit before the multiplication. With one or two slots, the
	// queue length varies by a few calls at random; without the slack such backend servers lose 5% more of their goodput.
	standingQueueSlack = 1
	queueBoundSlack    = 3
)

// Controller admits calls for one backend server; the caller serializes access to it.
type Controller struct {
	slots    int
	limiter  Limiter
	level    level
	ops      operations
	running  runningSet
	queue    queue
	bulkhead bulkhead

	// lastFinish is the time at which a call last finished.
	lastFinish time.Time
	window     window
	// pending holds the events that no method has returned yet; Arrive adds events but returns none.
	pending []Event
}

// window holds the counts since the last update of the level.
type window struct {
	start    time.Time
	admitted int
	served   int
	dropped  int
	// saturated is set when the calls in flight reached the learned limit.
	saturated bool
	// minQueueLen is the minimum length of the queue.
	minQueueLen int
	// inFlightSum and limitSum are the sums of the calls in flight and of the limit over all ticks.
	inFlightSum, limitSum int
}

// utilization returns the average share of the limit that was in use.
func (w window) utilization() float64 {
	return min(1, float64(w.inFlightSum)/float64(max(w.limitSum, 1)))
}

// New returns a controller, or an error if the limiter is not registered.
func New(cfg Config) (*Controller, error) {
	name := cfg.Limiter
	if name == "" {
		name = "learned"
	}
	create, err := Limiters.Lookup(name)
	if err != nil {
		return nil, err
	}
	return &Controller{
		slots:   max(cfg.Slots, 1),
		limiter: create(),
		level:   newLevel(),
		ops:     operations{table: kernel.NewLRU[string, operation](maxOperations)},
		running: runningSet{byID: map[uint64]*runningCall{}},
		queue:   queue{byID: map[uint64]*entry{}},
	}, nil
}

// SetSlots changes the number of slots when a new configuration takes effect.
func (c *Controller) SetSlots(slots int) { c.slots = max(slots, 1) }

// Arrive starts, queues or refuses a call; after Wait, a later method returns the Event for the call.
func (c *Controller) Arrive(now time.Time, item Item) Decision {
	if c.hasID(item.ID) {
		return Refuse{Reason: call.ReasonBadRequest}
	}
	op := c.ops.recordArrival(now, item.Operation)
	if c.unlimited() {
		c.running.start(now, item.ID, op)
		return Start{}
	}
	if !c.level.admit(item.Priority) {
		return Refuse{Reason: call.ReasonShed}
	}
	if missesDeadline(now, item.Deadline, op) {
		return Refuse{Reason: call.ReasonDeadline}
	}
	if c.running.len() < c.limit(now) && c.queue.unrestricted.n == 0 && c.bulkhead.permits(op, c.limit(now)) {
		c.start(now, item.ID, op)
		c.window.admitted++
		return Start{}
	}
	if c.queue.len() >= c.queueBound(now) {
		victim := c.queue.leastImportant()
		if victim.item.Priority.Key() <= item.Priority.Key() {
			c.window.dropped++
			return Refuse{Reason: call.ReasonQueueFull}
		}
		c.drop(victim, call.ReasonQueueFull)
	}
	c.queue.push(now, item, op, c.bulkhead.restricts(op))
	c.window.admitted++
	return Wait{}
}

// Finish frees the slot of a finished call and updates the limiter with its sample.
func (c *Controller) Finish(now time.Time, id uint64, s Sample) []Event {
	op, started, ok := c.running.finish(id)
	if !ok {
		return c.flushEvents()
	}
	c.lastFinish = now
	c.window.served++
	if !s.Failed {
		c.limiter.Observe(Observation{
			Now: now, Started: started, Latency: op.observe(now, s.Latency), Saturated: c.window.saturated, Slots: c.slots,
		})
		c.ops.all.observe(now, s.Latency)
	}
	c.startQueued(now)
	return c.flushEvents()
}

// Cancel removes a queued call whose caller cancelled it; no event follows for it. A call in flight must be ended with
// Finish.
func (c *Controller) Cancel(now time.Time, id uint64) []Event {
	if e, ok := c.queue.byID[id]; ok {
		c.queue.remove(e)
		c.updateMinQueueLen()
	}
	// Arrive may have dropped the call in favor of another one, and its event is still pending.
	c.pending = slices.DeleteFunc(c.pending, func(event Event) bool {
		dropped, ok := event.(Dropped)
		return ok && dropped.ID == id
	})
	return c.flushEvents()
}

// Tick updates the level and drops queued calls that would miss their deadline or are no longer admitted. It must be called
// every TickInterval.
func (c *Controller) Tick(now time.Time) []Event {
	if c.unlimited() {
		return nil
	}
	c.running.countStragglers(now, &c.ops)
	if c.bulkhead.update(now, c.learnedLimit(), &c.running, &c.ops) {
		c.queue.setRestricted(c.bulkhead.restricted)
	}
	c.dropMissedDeadlines(now)
	c.shedQueued(now)
	for c.queue.len() > c.queueBound(now) {
		c.drop(c.queue.leastImportant(), call.ReasonQueueFull)
	}
	c.startQueued(now)
	c.closeWindow(now)
	return c.flushEvents()
}

// Level returns the least important priority that is currently admitted.
func (c *Controller) Level() call.Priority { return c.level.priority() }

// Load returns the load report that is attached to answers.
func (c *Controller) Load() call.Load {
	return call.Load{
		InFlight: clamp16(c.running.len()),
		Limit:    clamp16(c.limit(c.lastFinish)),
		Queued:   clamp16(c.queue.len()),
	}
}

func clamp16(n int) uint16 { return uint16(min(n, math.MaxUint16)) }

func (c *Controller) unlimited() bool { return c.limiter.Limit(c.slots) == Unlimited }

func (c *Controller) learnedLimit() int { return max(1, c.limiter.Limit(c.slots)) }

// limit returns the bound on calls in flight. Stragglers mostly wait and use little capacity, so they do not count against a
// learned limit below the slots. If no call finished recently, long calls indicate a stall and the limit is not extended.
func (c *Controller) limit(now time.Time) int {
	limit := c.learnedLimit()
	if c.running.stragglers == 0 || limit >= c.slots {
		return limit
	}
	if now.Sub(c.lastFinish) > stragglerFactor*c.ops.all.stragglerBaseline() {
		return limit
	}
	return min(c.slots, limit+min(limit, c.running.stragglers))
}

func (c *Controller) queueBound(now time.Time) int {
	return queueBoundFactor * (c.limit(now) + queueBoundSlack)
}

func (c *Controller) hasID(id uint64) bool {
	if _, ok := c.running.byID[id]; ok {
		return true
	}
	_, ok := c.queue.byID[id]
	return ok
}

func (c *Controller) start(now time.Time, id uint64, op *operation) {
	c.running.start(now, id, op)
	if c.running.len() >= c.learnedLimit() {
		c.window.saturated = true
	}
}

// startQueued starts queued calls while slots are free.
func (c *Controller) startQueued(now time.Time) {
	for c.queue.len() > 0 {
		limit := c.limit(now)
		if c.running.len() >= limit {
			return
		}
		e := c.queue.peek(c.level.overloaded, c.bulkhead.permits(c.bulkhead.restricted, limit))
		if e == nil {
			return
		}
		if missesDeadline(now, e.item.Deadline, e.op) {
			c.dropForDeadline(now, e, call.ReasonDeadline)
			continue
		}
		id, op := e.item.ID, e.op
		c.queue.remove(e)
		c.updateMinQueueLen()
		c.start(now, id, op)
		c.pending = append(c.pending, Started{ID: id})
	}
}

// dropMissedDeadlines drops the queued calls that can no longer finish before their deadline.
func (c *Controller) dropMissedDeadlines(now time.Time) {
	for len(c.queue.byLatestStart) > 0 && c.queue.byLatestStart[0].latestStart.Before(now) {
		c.dropForDeadline(now, c.queue.byLatestStart[0], call.ReasonDeadline)
	}
}

// shedQueued drops the queued calls that the level no longer admits, so that their callers get the refusal early. A queue up
// to the limit is kept: it is served soon, and shedding it on every small change of the level would leave slots idle.
func (c *Controller) shedQueued(now time.Time) {
	for c.queue.len() > c.limit(now) {
		e := c.queue.leastImportant()
		if e.item.Priority.AdmittedBy(c.level.priority()) || now.Sub(e.arrived) <= delayTarget {
			return
		}
		c.pending = append(c.pending, Dropped{ID: e.id, Reason: call.ReasonShed})
		c.queue.remove(e)
	}
	c.updateMinQueueLen()
}

// drop drops a queued call and counts it as a sign that more calls were admitted than can be served.
func (c *Controller) drop(e *entry, reason call.Reason) {
	c.window.dropped++
	c.pending = append(c.pending, Dropped{ID: e.id, Reason: reason})
	c.queue.remove(e)
	c.updateMinQueueLen()
}

// dropForDeadline drops a call that would miss its deadline. A call that waited no longer than delayTarget arrived with too
// little time left and is not counted as a sign of overload.
func (c *Controller) dropForDeadline(now time.Time, e *entry, reason call.Reason) {
	waited := now.Sub(e.arrived) > delayTarget
	c.drop(e, reason)
	if !waited {
		c.window.dropped--
	}
}

func (c *Controller) updateMinQueueLen() {
	c.window.minQueueLen = min(c.window.minQueueLen, c.queue.len())
}

func (c *Controller) closeWindow(now time.Time) {
	if c.window.start.IsZero() {
		c.window.start = now
	}
	c.window.inFlightSum += c.running.len()
	c.window.limitSum += c.limit(now)
	if now.Sub(c.window.start) < windowInterval {
		return
	}
	// A shorter queue keeps the slots busy and delays a call by at most about twice its own service time.
	c.level.update(c.window, c.window.minQueueLen > standingQueueFactor*(c.limit(now)+standingQueueSlack))
	c.window = window{start: now, saturated: c.running.len() >= c.learnedLimit(), minQueueLen: c.queue.len()}
}

// flushEvents returns the pending events and removes them.
func (c *Controller) flushEvents() []Event {
	events := c.pending
	c.pending = nil
	return events
}

// missesDeadline reports whether a call of the operation would miss its deadline if it started now.
func missesDeadline(now, deadline time.Time, op *operation) bool {
	return !deadline.IsZero() && now.Add(op.estimate(now)).After(deadline)
}
