package node

import (
	"sync"
	"time"

	"lovagelane/admission"
	"lovagelane/call"
)

const admissionTickInterval = admission.TickInterval

// gate guards the admission controller for concurrent use and wakes queued calls.
type gate struct {
	mu         sync.Mutex
	controller *admission.Controller
	waiting    map[uint64]chan call.Reason
	lastID     uint64
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

// acquire waits until the call may run and returns ReasonNone, or the reason why it may not. After ReasonNone the caller
// must call release.
func (g *gate) acquire(clock func() time.Time, item admission.Item, cancelled <-chan struct{}) (uint64, call.Reason) {
	g.mu.Lock()
	g.lastID++
	item.ID = g.lastID
	switch d := g.controller.Arrive(clock(), item).(type) {
	case admission.Start:
		g.mu.Unlock()
		return item.ID, call.ReasonNone
	case admission.Refuse:
		g.mu.Unlock()
		return 0, d.Reason
	}
	decision := make(chan call.Reason, 1)
	g.waiting[item.ID] = decision
	g.mu.Unlock()

	select {
	case reason := <-decision:
		return item.ID, reason
	case <-cancelled:
		return g.abandon(clock(), item.ID, decision)
	}
}

// abandon removes a call whose caller gave up from the queue, or ends it if it was started at the same moment.
func (g *gate) abandon(now time.Time, id uint64, decision <-chan call.Reason) (uint64, call.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case reason := <-decision:
		if reason == call.ReasonNone {
			g.applyEvents(g.controller.Finish(now, id, admission.Sample{Failed: true}))
		}
	default:
		delete(g.waiting, id)
		g.applyEvents(g.controller.Cancel(now, id))
	}
	return 0, call.ReasonCancelled
}

// release frees the slot of a call that was admitted.
func (g *gate) release(now time.Time, id uint64, s admission.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyEvents(g.controller.Finish(now, id, s))
}

func (g *gate) tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyEvents(g.controller.Tick(now))
}

// applyEvents wakes queued calls. The caller must hold the lock.
func (g *gate) applyEvents(events []admission.Event) {
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
	if decision, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		decision <- reason
	}
}

// levelAndLoad returns the admission level and the load, which are reported with each answer.
func (g *gate) levelAndLoad() (call.Priority, call.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Level(), g.controller.Load()
}

// idle reports whether no call runs or waits and the admission level refuses none.
func (g *gate) idle() bool {
	level, load := g.levelAndLoad()
	return load.InFlight == 0 && load.Queued == 0 && level == call.LeastImportant
}
