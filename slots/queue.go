package slots

import (
	"container/heap"
	"time"
)

const (
	// initialRunTime is the mean run time that is assumed until a call has finished.
	initialRunTime = 100 * time.Millisecond
	// runTimeGain is the gain of the moving average of the run time.
	runTimeGain = 0.05
	// maxWaitingPerSlot bounds the queue as a multiple of the slots, so that memory is bounded for any wait that callers allow.
	maxWaitingPerSlot = 16
)

// Call is a call that arrives at the queue.
type Call struct {
	// ID is unique among the waiting and running calls.
	ID uint64
	// Rank is the priority class; rank 0 starts first.
	Rank int
	// LatestStart is the time at which the call expires if it has not started.
	LatestStart time.Time
}

// Decision is the result of Arrive: Start, Wait or Refuse.
type Decision interface{ decision() }

// Start means that the call runs now.
type Start struct{}

// Wait means that the call is queued; a later Event starts or expires it.
type Wait struct{}

// Refuse means that the call is not run. Wait is the estimated queueing delay of a call of its rank, or 0 if the queue is
// closed or has no slots.
type Refuse struct{ Wait time.Duration }

func (Start) decision()  {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// Event is the outcome of a queued call: Started or Expired.
type Event interface{ event() }

// Started means that the queued call runs now.
type Started struct{ ID uint64 }

// Expired means that the queued call is not run because its latest start passed or the queue was closed.
type Expired struct{ ID uint64 }

func (Started) event() {}
func (Expired) event() {}

// Load is the load of a queue that the node reports to other nodes.
type Load struct {
	Running int
	Waiting int
	Limit   int
	// Wait is the estimated queueing delay of a new call of the lowest priority, or 0 while a slot is free.
	Wait time.Duration
}

// Queue holds the running and waiting calls of one backend server. The caller serializes access to it. The zero value has no
// slots.
type Queue struct {
	limit       int
	closed      bool
	running     map[uint64]struct{}
	waiting     map[uint64]*entry
	startOrder  callHeap
	expiryOrder callHeap
	seq         uint64
	// meanRunTime is a moving average in seconds; 0 means that no call has finished.
	meanRunTime float64
}

// SetLimit sets the maximum number of running calls and returns the calls that start.
func (q *Queue) SetLimit(limit int) []Event {
	q.limit = max(limit, 0)
	return q.startWaiting()
}

// MeanRunTime returns the moving average of the run time, or 0 if no call has finished.
func (q *Queue) MeanRunTime() time.Duration {
	return time.Duration(q.meanRunTime * float64(time.Second))
}

// Limit returns the maximum number of running calls.
func (q *Queue) Limit() int { return q.limit }

// Close refuses all new calls until Open and returns the waiting calls as expired.
func (q *Queue) Close() []Event {
	q.closed = true
	var events []Event
	for q.startOrder.Len() > 0 {
		e := q.startOrder.entries[0]
		q.remove(e)
		events = append(events, Expired{e.call.ID})
	}
	return events
}

// Open accepts calls again after Close.
func (q *Queue) Open() { q.closed = false }

// Arrive starts, queues or refuses a call; after Wait, a later method returns the Event for the call.
func (q *Queue) Arrive(now time.Time, c Call) Decision {
	if q.closed || q.limit == 0 {
		return Refuse{}
	}
	if q.running == nil {
		q.running, q.waiting = map[uint64]struct{}{}, map[uint64]*entry{}
		q.expiryOrder.order = byExpiry
	}
	if len(q.running) < q.limit && q.startOrder.Len() == 0 {
		q.running[c.ID] = struct{}{}
		return Start{}
	}
	wait := q.estimateWait(c)
	if now.Add(wait).After(c.LatestStart) || q.startOrder.Len() >= maxWaitingPerSlot*q.limit {
		return Refuse{Wait: wait}
	}
	q.seq++
	e := &entry{call: c, seq: q.seq}
	q.waiting[c.ID] = e
	heap.Push(&q.startOrder, e)
	heap.Push(&q.expiryOrder, e)
	return Wait{}
}

// Finish frees the slot of a call that ran for the given time and returns the calls that start.
func (q *Queue) Finish(id uint64, ran time.Duration) []Event {
	if _, ok := q.running[id]; !ok {
		return nil
	}
	delete(q.running, id)
	if seconds := ran.Seconds(); q.meanRunTime == 0 {
		q.meanRunTime = seconds
	} else {
		q.meanRunTime += (seconds - q.meanRunTime) * runTimeGain
	}
	return q.startWaiting()
}

// Cancel removes a waiting call, or frees the slot of a running one without updating the mean run time. It returns the calls
// that start.
func (q *Queue) Cancel(id uint64) []Event {
	if e, ok := q.waiting[id]; ok {
		q.remove(e)
		return nil
	}
	if _, ok := q.running[id]; !ok {
		return nil
	}
	delete(q.running, id)
	return q.startWaiting()
}

// Expire removes and returns the waiting calls whose latest start has passed.
func (q *Queue) Expire(now time.Time) []Event {
	var events []Event
	for q.expiryOrder.Len() > 0 && !now.Before(q.expiryOrder.entries[0].call.LatestStart) {
		e := q.expiryOrder.entries[0]
		q.remove(e)
		events = append(events, Expired{e.call.ID})
	}
	return events
}

// Load returns the current load.
func (q *Queue) Load() Load {
	l := Load{Running: len(q.running), Waiting: q.startOrder.Len(), Limit: q.limit}
	if l.Running >= l.Limit {
		l.Wait = q.waitBehind(l.Waiting)
	}
	return l
}

// startWaiting starts waiting calls while slots are free.
func (q *Queue) startWaiting() []Event {
	var events []Event
	for q.startOrder.Len() > 0 && len(q.running) < q.limit {
		e := q.startOrder.entries[0]
		q.remove(e)
		q.running[e.call.ID] = struct{}{}
		events = append(events, Started{e.call.ID})
	}
	return events
}

// estimateWait returns the estimated queueing delay of a new call, behind the waiting calls that start before it.
func (q *Queue) estimateWait(c Call) time.Duration {
	ahead := 0
	probe := &entry{call: c, seq: q.seq + 1}
	for _, e := range q.startOrder.entries {
		if e.startsBefore(probe) {
			ahead++
		}
	}
	return q.waitBehind(ahead)
}

// waitBehind returns the estimated time until a slot is free for a call with that many calls ahead of it.
func (q *Queue) waitBehind(ahead int) time.Duration {
	meanRunTime := q.meanRunTime
	if meanRunTime == 0 {
		meanRunTime = initialRunTime.Seconds()
	}
	return time.Duration(meanRunTime * float64(ahead+1) / float64(max(q.limit, 1)) * float64(time.Second))
}

func (q *Queue) remove(e *entry) {
	delete(q.waiting, e.call.ID)
	heap.Remove(&q.startOrder, e.index[byStart])
	heap.Remove(&q.expiryOrder, e.index[byExpiry])
}
