package admission

import (
	"math"
	"slices"
	"time"

	"lovagelane/call"
	"lovagelane/kernel"
)

// Item is a call that asks to run on the backend server.
type Item struct {
	// ID is unique among the calls that are queued or in flight.
	ID        uint64
	Priority  call.Priority
	Operation string
	Caller    string
	// Deadline is the time by which the call must have finished; the zero time means none.
	Deadline time.Time
}

// Verdict is the answer to an arriving call: Start, Wait or Refuse.
type Verdict interface{ verdict() }

// Start means that the call runs now.
type Start struct{}

// Wait means that the call is queued and that a later Event settles it.
type Wait struct{}

// Refuse means that the call is not run.
type Refuse struct{ Reason call.Reason }

func (Start) verdict()  {}
func (Wait) verdict()   {}
func (Refuse) verdict() {}

// Event settles a queued call: Started or Dropped.
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

// Sample is what was observed of a call that finished.
type Sample struct {
	Latency time.Duration
	// Failed marks a call whose latency says nothing about the backend server's capacity.
	Failed bool
}

// Config bounds a controller by what the inventory states.
type Config struct {
	// Limiter is the name of a registered limiter plug-in; empty means "learned".
	Limiter string
	// Slots is the number of calls that the backend server can run at once.
	Slots int
}

const (
	// TickInterval is the period at which Tick must be called.
	TickInterval = 10 * time.Millisecond
	// windowInterval is the period at which the admission level moves.
	windowInterval = 50 * time.Millisecond
	// delayTarget is the time in the queue after which a call that the level no longer admits is dropped.
	delayTarget = 5 * time.Millisecond
	// standingQueue is the length of the queue, as a multiple of the limit, that must remain for a whole window before the
	// level tightens. With 1 instead of 2, backend servers with few slots lost 10% of their goodput.
	standingQueue = 2
	// queuePerSlot bounds the queue as a multiple of the limit.
	queuePerSlot = 4
	// standingSlack and queueSlack are added to the limit before it is multiplied. With one or two slots a few calls more
	// or less are chance, and without the slack such backend servers lost 5% more of their goodput.
	standingSlack = 1
	queueSlack    = 3
)

// Controller admits calls for one backend server; the caller serializes access to it.
type Controller struct {
	slots   int
	limiter Limiter
	level   level
	ops     operations
	running runningSet
	queue   queue
	guard   guard

	// lastFinish is when a call last finished.
	lastFinish time.Time
	window     window
	// pending holds the events of Arrive, which returns none itself.
	pending []Event
}

// window holds the counts since the level last moved.
type window struct {
	began    time.Time
	admitted int
	served   int
	dropped  int
	// saturated is set when all slots were in use.
	saturated bool
	// shortest is the smallest length of the queue.
	shortest int
	// inUse and usable sum up the calls in flight and the limit at each tick.
	inUse, usable int
}

// use returns the part of the usable slots that was in use.
func (w window) use() float64 { return min(1, float64(w.inUse)/float64(max(w.usable, 1))) }

// New returns a controller for the given bounds, or an error for an unknown limiter.
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
		ops:     operations{table: kernel.NewTable[string, operation](maxOperations)},
		running: runningSet{byID: map[uint64]*running{}},
		queue:   queue{byID: map[uint64]*entry{}},
	}, nil
}

// SetSlots changes the bound on calls in flight when a new configuration takes force.
func (c *Controller) SetSlots(slots int) { c.slots = max(slots, 1) }

// Arrive decides on a call; after Wait an Event from a later method settles it.
func (c *Controller) Arrive(now time.Time, item Item) Verdict {
	if c.known(item.ID) {
		return Refuse{Reason: call.ReasonBadRequest}
	}
	op := c.ops.find(now, item.Operation)
	if c.unlimited() {
		c.running.start(now, item.ID, op)
		return Start{}
	}
	if !c.level.admit(item.Priority) {
		return Refuse{Reason: call.ReasonShed}
	}
	if tooLate(now, item.Deadline, op) {
		return Refuse{Reason: call.ReasonDeadline}
	}
	if c.running.len() < c.limit(now) && c.queue.free.n == 0 && c.guard.permits(op, c.limit(now)) {
		c.start(now, item.ID, op)
		c.window.admitted++
		return Start{}
	}
	if c.queue.len() >= c.queueBound(now) {
		worst := c.queue.worst()
		if worst.item.Priority.Key() <= item.Priority.Key() {
			c.window.dropped++
			return Refuse{Reason: call.ReasonQueueFull}
		}
		c.drop(worst, call.ReasonQueueFull)
	}
	c.queue.push(now, item, op, c.guard.holds(op))
	c.window.admitted++
	return Wait{}
}

// Finish frees the slot of a call that ran.
func (c *Controller) Finish(now time.Time, id uint64, s Sample) []Event {
	op, started, ok := c.running.finish(id)
	if !ok {
		return c.events()
	}
	c.lastFinish = now
	c.window.served++
	if !s.Failed {
		c.limiter.Observe(Observation{
			Now: now, Started: started, Latency: op.observe(now, s.Latency), Saturated: c.window.saturated, Slots: c.slots,
		})
		c.ops.all.observe(now, s.Latency)
	}
	c.dispatch(now)
	return c.events()
}

// Cancel removes a queued call whose caller gave up, and no event follows for it; a call that runs must be ended with
// Finish.
func (c *Controller) Cancel(now time.Time, id uint64) []Event {
	if e, ok := c.queue.byID[id]; ok {
		c.queue.remove(e)
		c.noteLength()
	}
	// The call may have been dropped by Arrive, whose event was not returned yet.
	c.pending = slices.DeleteFunc(c.pending, func(event Event) bool {
		dropped, ok := event.(Dropped)
		return ok && dropped.ID == id
	})
	return c.events()
}

// Tick adjusts limit and level and drops queued calls whose deadline is too near; call it every TickInterval.
func (c *Controller) Tick(now time.Time) []Event {
	if c.unlimited() {
		return nil
	}
	c.running.markOverdue(now, &c.ops)
	if c.guard.update(now, c.learnedLimit(), &c.running, &c.ops) {
		c.queue.regroup(c.guard.op)
	}
	c.dropLate(now)
	c.dropShed(now)
	for c.queue.len() > c.queueBound(now) {
		c.drop(c.queue.worst(), call.ReasonQueueFull)
	}
	c.dispatch(now)
	c.closeWindow(now)
	return c.events()
}

// Level returns the least important priority that is admitted now.
func (c *Controller) Level() call.Priority { return c.level.priority() }

// Load returns the load report for answers.
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

// limit returns the bound on calls in flight. Stragglers wait more than they work, so they do not count against a learned
// limit below the slots. Without recent finishes long calls are the sign of a stall, which earns no more calls.
func (c *Controller) limit(now time.Time) int {
	limit := c.learnedLimit()
	if c.running.overdue == 0 || limit >= c.slots {
		return limit
	}
	if now.Sub(c.lastFinish) > overdueFactor*c.ops.all.usual() {
		return limit
	}
	return min(c.slots, limit+min(limit, c.running.overdue))
}

func (c *Controller) queueBound(now time.Time) int { return queuePerSlot * (c.limit(now) + queueSlack) }

func (c *Controller) known(id uint64) bool {
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

// dispatch starts queued calls while slots are free.
func (c *Controller) dispatch(now time.Time) {
	for c.queue.len() > 0 {
		limit := c.limit(now)
		if c.running.len() >= limit {
			return
		}
		e := c.queue.best(c.level.overloaded, c.guard.permits(c.guard.op, limit))
		if e == nil {
			return
		}
		if tooLate(now, e.item.Deadline, e.op) {
			c.dropWaited(now, e, call.ReasonDeadline)
			continue
		}
		id, op := e.item.ID, e.op
		c.queue.remove(e)
		c.noteLength()
		c.start(now, id, op)
		c.pending = append(c.pending, Started{ID: id})
	}
}

// dropLate drops the calls that can no longer finish before their deadline.
func (c *Controller) dropLate(now time.Time) {
	for len(c.queue.due) > 0 && c.queue.due[0].latest.Before(now) {
		c.dropWaited(now, c.queue.due[0], call.ReasonDeadline)
	}
}

// dropShed drops the calls that the level no longer admits, so that their callers learn it at once. A queue up to the
// limit is left alone: it is served soon, and dropping it for every small move of the level leaves slots idle.
func (c *Controller) dropShed(now time.Time) {
	for c.queue.len() > c.limit(now) {
		e := c.queue.worst()
		if e.item.Priority.AdmittedBy(c.level.priority()) || now.Sub(e.arrived) <= delayTarget {
			return
		}
		c.pending = append(c.pending, Dropped{ID: e.id, Reason: call.ReasonShed})
		c.queue.remove(e)
	}
	c.noteLength()
}

// drop counts a drop that says that more was admitted than can be served.
func (c *Controller) drop(e *entry, reason call.Reason) {
	c.window.dropped++
	c.pending = append(c.pending, Dropped{ID: e.id, Reason: reason})
	c.queue.remove(e)
	c.noteLength()
}

// dropWaited drops a call; a call that had hardly waited came with too little time and is no sign of overload.
func (c *Controller) dropWaited(now time.Time, e *entry, reason call.Reason) {
	waited := now.Sub(e.arrived) > delayTarget
	c.drop(e, reason)
	if !waited {
		c.window.dropped--
	}
}

func (c *Controller) noteLength() { c.window.shortest = min(c.window.shortest, c.queue.len()) }

func (c *Controller) closeWindow(now time.Time) {
	if c.window.began.IsZero() {
		c.window.began = now
	}
	c.window.inUse += c.running.len()
	c.window.usable += c.limit(now)
	if now.Sub(c.window.began) < windowInterval {
		return
	}
	// A shorter queue keeps the slots in use and delays a call by no more than about twice its own service time.
	c.level.move(c.window, c.window.shortest > standingQueue*(c.limit(now)+standingSlack))
	c.window = window{began: now, saturated: c.running.len() >= c.learnedLimit(), shortest: c.queue.len()}
}

func (c *Controller) events() []Event {
	events := c.pending
	c.pending = nil
	return events
}

// tooLate reports whether a call of the operation would miss its deadline if it started now.
func tooLate(now, deadline time.Time, op *operation) bool {
	return !deadline.IsZero() && now.Add(op.estimate(now)).After(deadline)
}
