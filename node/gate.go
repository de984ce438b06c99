package node

import (
	"sync"
	"time"

	"lovagelane/admission"
	"lovagelane/call"
)

const admissionTick = admission.TickInterval

// gate makes the admission controller safe for concurrent use and wakes the calls that it queued.
type gate struct {
	mu         sync.Mutex
	controller *admission.Controller
	waiting    map[uint64]chan call.Reason
	next       uint64
}

func newGate(limiter string) (*gate, error) {
	controller, err := admission.New(admission.Config{Limiter: limiter})
	if err != nil {
		return nil, err
	}
	return &gate{controller: controller, waiting: map[uint64]chan call.Reason{}}, nil
}

func (g *gate) setSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.SetSlots(slots)
}

// enter waits until the call may run and returns ReasonNone, or the reason why it may not. A call that entered must leave.
func (g *gate) enter(clock func() time.Time, item admission.Item, cancelled <-chan struct{}) (uint64, call.Reason) {
	g.mu.Lock()
	g.next++
	item.ID = g.next
	switch v := g.controller.Arrive(clock(), item).(type) {
	case admission.Start:
		g.mu.Unlock()
		return item.ID, call.ReasonNone
	case admission.Refuse:
		g.mu.Unlock()
		return 0, v.Reason
	}
	settled := make(chan call.Reason, 1)
	g.waiting[item.ID] = settled
	g.mu.Unlock()

	select {
	case reason := <-settled:
		return item.ID, reason
	case <-cancelled:
		return g.leaveQueue(clock(), item.ID, settled)
	}
}

// leaveQueue takes a call whose caller gave up out of the queue, or ends it if it was started at the same moment.
func (g *gate) leaveQueue(now time.Time, id uint64, settled <-chan call.Reason) (uint64, call.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case reason := <-settled:
		if reason == call.ReasonNone {
			g.settle(g.controller.Finish(now, id, admission.Sample{Failed: true}))
		}
	default:
		delete(g.waiting, id)
		g.settle(g.controller.Cancel(now, id))
	}
	return 0, call.ReasonCancelled
}

// leave frees the slot of a call that entered.
func (g *gate) leave(now time.Time, id uint64, s admission.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settle(g.controller.Finish(now, id, s))
}

func (g *gate) tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settle(g.controller.Tick(now))
}

// settle wakes queued calls; the lock must be held.
func (g *gate) settle(events []admission.Event) {
	for _, e := range events {
		switch e := e.(type) {
		case admission.Started:
			g.wake(e.ID, call.ReasonNone)
		case admission.Dropped:
			g.wake(e.ID, e.Reason)
		}
	}
}

func (g *gate) wake(id uint64, reason call.Reason) {
	if settled, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		settled <- reason
	}
}

// report returns the admission level and the load for answers.
func (g *gate) report() (call.Priority, call.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Level(), g.controller.Load()
}

// idle reports whether no call runs or waits and nothing is refused.
func (g *gate) idle() bool {
	level, load := g.report()
	return load.InFlight == 0 && load.Queued == 0 && level == call.LeastImportant
}
