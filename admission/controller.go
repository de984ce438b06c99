package admission

import (
	"time"

	"lovagelane/call"
)

// Item is a call that asks to run on the backend server.
type Item struct {
	ID        uint64
	Priority  call.Priority
	Operation string
	Caller    string
	Deadline  time.Time
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

// Controller admits calls for one backend server; the caller serializes access to it.
type Controller struct {
	cfg      Config
	inFlight map[uint64]struct{}
}

// New returns a controller for the given bounds, or an error for an unknown limiter.
func New(cfg Config) (*Controller, error) {
	return &Controller{cfg: cfg, inFlight: map[uint64]struct{}{}}, nil
}

// SetSlots changes the bound on calls in flight when a new configuration takes force.
func (c *Controller) SetSlots(slots int) { c.cfg.Slots = slots }

// Arrive decides on a call; after Wait an Event from a later method settles it.
func (c *Controller) Arrive(now time.Time, item Item) Verdict {
	if len(c.inFlight) >= c.cfg.Slots {
		return Refuse{Reason: call.ReasonShed}
	}
	c.inFlight[item.ID] = struct{}{}
	return Start{}
}

// Finish frees the slot of a call that ran.
func (c *Controller) Finish(now time.Time, id uint64, s Sample) []Event {
	delete(c.inFlight, id)
	return nil
}

// Cancel removes a queued call whose caller gave up; a call that runs must be ended with Finish.
func (c *Controller) Cancel(now time.Time, id uint64) []Event { return nil }

// Tick adjusts limit and level and drops queued calls whose deadline is too near; call it every TickInterval.
func (c *Controller) Tick(now time.Time) []Event { return nil }

// TickInterval is the period at which Tick must be called.
const TickInterval = 10 * time.Millisecond

// Level returns the least important priority that is admitted now.
func (c *Controller) Level() call.Priority { return call.LeastImportant }

// Load returns the load report for answers.
func (c *Controller) Load() call.Load {
	return call.Load{InFlight: uint16(len(c.inFlight)), Limit: uint16(c.cfg.Slots)}
}
