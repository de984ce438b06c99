package slots

import (
	"container/heap"
	"time"
)

const (
	// firstRun stands for the mean run time while no call has finished.
	firstRun = 100 * time.Millisecond
	// runGain is the part by which one finished call moves the mean run time.
	runGain = 0.05
	// maxWaiting bounds the queue as a multiple of the slots, so that its memory is bounded whatever the callers allow.
	maxWaiting = 16
)

// Call is a call that asks to run.
type Call struct {
	// ID is unique among the calls that wait or run.
	ID uint64
	// Rank is the importance; 0 runs first.
	Rank int
	// Latest is the time until which the call may wait for its start.
	Latest time.Time
}

// Verdict is the answer to an arriving call: Start, Wait or Refuse.
type Verdict interface{ verdict() }

// Start means that the call runs now.
type Start struct{}

// Wait means that the call is queued and that a later Event settles it.
type Wait struct{}

// Refuse means that the call is not run; Wait is how long a call of its rank would have to wait.
type Refuse struct{ Wait time.Duration }

func (Start) verdict()  {}
func (Wait) verdict()   {}
func (Refuse) verdict() {}

// Event settles a queued call: Started or Expired.
type Event interface{ event() }

// Started means that the queued call runs now.
type Started struct{ ID uint64 }

// Expired means that the queued call is not run because it waited until its latest start.
type Expired struct{ ID uint64 }

func (Started) event() {}
func (Expired) event() {}

// Load is what a node tells others of its room.
type Load struct {
	Running int
	Waiting int
	Limit   int
	// Wait is how long a new call of the least importance would wait.
	Wait time.Duration
}

// Queue holds the calls of one backend server; the caller serializes access to it. Its zero value has no slots.
type Queue struct {
	limit   int
	closed  bool
	running map[uint64]struct{}
	waiting map[uint64]*entry
	order   line
	due     line
	seq     uint64
	// run is the mean run time in seconds.
	run float64
}

// SetLimit changes the number of calls that may run at once and returns the calls that start.
func (q *Queue) SetLimit(limit int) []Event {
	q.limit = max(limit, 0)
	return q.start()
}

// Limit returns the number of calls that may run at once.
func (q *Queue) Limit() int { return q.limit }

// Close refuses every later call and returns the calls that waited as expired; Open ends that.
func (q *Queue) Close() []Event {
	q.closed = true
	var events []Event
	for q.order.Len() > 0 {
		e := q.order.entries[0]
		q.remove(e)
		events = append(events, Expired{e.call.ID})
	}
	return events
}

// Open takes calls again after Close.
func (q *Queue) Open() { q.closed = false }

// Arrive decides on a call; after Wait an Event from a later method settles it.
func (q *Queue) Arrive(now time.Time, c Call) Verdict {
	if q.closed || q.limit == 0 {
		return Refuse{}
	}
	if q.running == nil {
		q.running, q.waiting = map[uint64]struct{}{}, map[uint64]*entry{}
		q.due.by = byDue
	}
	if len(q.running) < q.limit && q.order.Len() == 0 {
		q.running[c.ID] = struct{}{}
		return Start{}
	}
	wait := q.estimate(c)
	if now.Add(wait).After(c.Latest) || q.order.Len() >= maxWaiting*q.limit {
		return Refuse{Wait: wait}
	}
	q.seq++
	e := &entry{call: c, seq: q.seq}
	q.waiting[c.ID] = e
	heap.Push(&q.order, e)
	heap.Push(&q.due, e)
	return Wait{}
}

// Finish ends a call that ran for the given time and returns the calls that start.
func (q *Queue) Finish(id uint64, ran time.Duration) []Event {
	if _, ok := q.running[id]; !ok {
		return nil
	}
	delete(q.running, id)
	if seconds := ran.Seconds(); q.run == 0 {
		q.run = seconds
	} else {
		q.run += (seconds - q.run) * runGain
	}
	return q.start()
}

// Cancel takes a call out of the queue, or ends one that runs without learning from it.
func (q *Queue) Cancel(id uint64) []Event {
	if e, ok := q.waiting[id]; ok {
		q.remove(e)
		return nil
	}
	if _, ok := q.running[id]; !ok {
		return nil
	}
	delete(q.running, id)
	return q.start()
}

// Expire returns the calls whose latest start has passed.
func (q *Queue) Expire(now time.Time) []Event {
	var events []Event
	for q.due.Len() > 0 && !now.Before(q.due.entries[0].call.Latest) {
		e := q.due.entries[0]
		q.remove(e)
		events = append(events, Expired{e.call.ID})
	}
	return events
}

// Load returns the room that is left.
func (q *Queue) Load() Load {
	l := Load{Running: len(q.running), Waiting: q.order.Len(), Limit: q.limit}
	if l.Running >= l.Limit {
		l.Wait = q.waitBehind(l.Waiting)
	}
	return l
}

// start starts waiting calls while slots are free.
func (q *Queue) start() []Event {
	var events []Event
	for q.order.Len() > 0 && len(q.running) < q.limit {
		e := q.order.entries[0]
		q.remove(e)
		q.running[e.call.ID] = struct{}{}
		events = append(events, Started{e.call.ID})
	}
	return events
}

// estimate returns how long a call would wait behind those that go before it.
func (q *Queue) estimate(c Call) time.Duration {
	ahead := 0
	probe := &entry{call: c, seq: q.seq + 1}
	for _, e := range q.order.entries {
		if e.before(probe) {
			ahead++
		}
	}
	return q.waitBehind(ahead)
}

// waitBehind returns the time until a slot is free for the call behind that many others.
func (q *Queue) waitBehind(ahead int) time.Duration {
	run := q.run
	if run == 0 {
		run = firstRun.Seconds()
	}
	return time.Duration(run * float64(ahead+1) / float64(max(q.limit, 1)) * float64(time.Second))
}

func (q *Queue) remove(e *entry) {
	delete(q.waiting, e.call.ID)
	heap.Remove(&q.order, e.index[byOrder])
	heap.Remove(&q.due, e.index[byDue])
}
