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
	// Account is the client account that shares the slots with others of the same rank, or empty for a call that is in no share:
	// it starts before the calls of accounts that have used up theirs.
	Account string
	// Route selects the learned run time that the account is charged.
	Route string
	// LatestStart is the time at which the call expires if it has not started.
	LatestStart time.Time
}

// Decision is the result of Arrive: Start, Wait, Displace or Refuse.
type Decision interface{ decision() }

// Start means that the call runs now.
type Start struct{}

// Wait means that the call is queued; a later Event starts or expires it.
type Wait struct{}

// Displace means that the call is queued in the place of another queued call, which is not run.
type Displace struct {
	// ID is the other call, the last one of the account that holds most above its share.
	ID uint64
}

// Refuse means that the call is not run.
type Refuse struct {
	// Wait is the estimated queueing delay of the call, or 0 if the queue is closed or has no slots.
	Wait time.Duration
	// OverShare reports whether the call would have been queued if its account had not used up its share.
	OverShare bool
}

func (Start) decision()    {}
func (Wait) decision()     {}
func (Displace) decision() {}
func (Refuse) decision()   {}

// Event is the outcome of a queued call: Started or Expired.
type Event interface{ event() }

// Started means that the queued call runs now.
type Started struct{ ID uint64 }

// Expired means that the queued call is not run because its latest start passed or the queue was closed.
type Expired struct {
	ID uint64
	// OverShare reports whether the call was queued beyond the share of its account.
	OverShare bool
}

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
	running     map[uint64]runningCall
	waiting     map[uint64]*entry
	startOrder  flowHeap
	expiryOrder callHeap
	shares      shares
	seq         uint64
	// meanRunTime is a moving average in seconds; 0 means that no call has finished.
	meanRunTime float64
}

// runningCall is a call that has started, with the slot-seconds that its flow was charged.
type runningCall struct {
	flow  *flow
	route string
	work  float64
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
		e := q.startOrder.flows[0].first
		q.remove(e)
		events = append(events, Expired{ID: e.call.ID})
	}
	return events
}

// Open accepts calls again after Close.
func (q *Queue) Open() { q.closed = false }

// Arrive starts, queues or refuses a call; after Wait or Displace, a later method returns the Event for the call.
func (q *Queue) Arrive(now time.Time, c Call) Decision {
	if q.closed || q.limit == 0 {
		return Refuse{}
	}
	if q.running == nil {
		q.running, q.waiting = map[uint64]runningCall{}, map[uint64]*entry{}
	}
	f := q.shares.flow(c)
	if len(q.running) < q.limit && len(q.waiting) == 0 {
		q.shares.startPeriod(c.Rank)
		q.start(c, f, f.tagOf(q.shares.clock(c.Rank).now), q.shares.work(c))
		return Start{}
	}
	virtual := q.shares.clock(c.Rank).now
	tag := f.nextTag(virtual)
	wait, displaced, ok := q.admit(now, c, tag)
	if !ok {
		return Refuse{Wait: wait, OverShare: tag > virtual && q.wouldAdmit(now, c, virtual)}
	}
	var d Decision = Wait{}
	if displaced != nil {
		q.remove(displaced)
		d = Displace{ID: displaced.call.ID}
	}
	q.seq++
	q.push(&entry{call: c, flow: f, seq: q.seq, work: q.shares.work(c), arrivedAt: virtual, overShare: tag > virtual})
	return d
}

// admit reports whether a call with a start tag is queued, its estimated queueing delay, and the call that makes room for it if
// the queue is full.
func (q *Queue) admit(now time.Time, c Call, tag float64) (time.Duration, *entry, bool) {
	wait := q.waitBehind(q.callsBefore(0, c.Rank, tag))
	if now.Add(wait).After(c.LatestStart) {
		return wait, nil, false
	}
	if len(q.waiting) < maxWaitingPerSlot*q.limit {
		return wait, nil, true
	}
	last := q.lastToStart()
	if last == nil || last.flow.rank < c.Rank || last.flow.rank == c.Rank && last.flow.lastTag() <= tag {
		return wait, nil, false
	}
	return wait, last, true
}

func (q *Queue) wouldAdmit(now time.Time, c Call, tag float64) bool {
	_, _, ok := q.admit(now, c, tag)
	return ok
}

// lastToStart returns the call that starts last of those that have an account, or nil.
func (q *Queue) lastToStart() *entry {
	var last *flow
	for _, f := range q.startOrder.flows {
		switch {
		case f.account == "":
		case last == nil || f.rank > last.rank || f.rank == last.rank && f.lastTag() > last.lastTag():
			last = f
		}
	}
	if last == nil {
		return nil
	}
	return last.last
}

// Finish frees the slot of a call that ran for the given time and returns the calls that start.
func (q *Queue) Finish(id uint64, ran time.Duration) []Event {
	r, ok := q.running[id]
	if !ok {
		return nil
	}
	delete(q.running, id)
	q.shares.recordRun(r.route, ran.Seconds())
	q.shares.correct(r.flow, ran.Seconds()-r.work)
	if r.flow.waiting > 0 {
		heap.Fix(&q.startOrder, r.flow.index)
	}
	if seconds := ran.Seconds(); q.meanRunTime == 0 {
		q.meanRunTime = seconds
	} else {
		q.meanRunTime += (seconds - q.meanRunTime) * runTimeGain
	}
	return q.startWaiting()
}

// Cancel removes a waiting call, or frees the slot of a running one without learning from its run time: its account stays charged
// what was expected. It returns the calls that start.
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
		events = append(events, Expired{ID: e.call.ID, OverShare: e.overShare})
	}
	return events
}

// Load returns the current load.
func (q *Queue) Load() Load {
	l := Load{Running: len(q.running), Waiting: len(q.waiting), Limit: q.limit}
	if l.Running >= l.Limit {
		l.Wait = q.waitBehind(l.Waiting)
	}
	return l
}

// startWaiting starts waiting calls while slots are free.
func (q *Queue) startWaiting() []Event {
	var events []Event
	for q.startOrder.Len() > 0 && len(q.running) < q.limit {
		f := q.startOrder.flows[0]
		e, tag := f.first, f.tag
		q.start(e.call, f, tag, e.work)
		q.remove(e)
		events = append(events, Started{e.call.ID})
	}
	return events
}

func (q *Queue) start(c Call, f *flow, tag, work float64) {
	q.shares.charge(f, tag, work)
	q.running[c.ID] = runningCall{flow: f, route: c.Route, work: work}
}

// callsBefore returns about how many waiting calls start before a call that arrives now with a start tag. It looks at the flow at
// index i of the heap and at those below it, which all start later than that one.
func (q *Queue) callsBefore(i, rank int, tag float64) int {
	if i >= q.startOrder.Len() {
		return 0
	}
	f := q.startOrder.flows[i]
	ahead := f.waiting
	switch {
	case f.rank > rank || f.rank == rank && f.tag > tag:
		return 0
	case f.rank == rank:
		ahead = f.waitingUpTo(tag)
	}
	return ahead + q.callsBefore(2*i+1, rank, tag) + q.callsBefore(2*i+2, rank, tag)
}

// waitBehind returns the estimated time until a slot is free for a call with that many calls ahead of it.
func (q *Queue) waitBehind(ahead int) time.Duration {
	meanRunTime := q.meanRunTime
	if meanRunTime == 0 {
		meanRunTime = initialRunTime.Seconds()
	}
	return time.Duration(meanRunTime * float64(ahead+1) / float64(max(q.limit, 1)) * float64(time.Second))
}

func (q *Queue) push(e *entry) {
	q.waiting[e.call.ID] = e
	heap.Push(&q.expiryOrder, e)
	if e.flow.push(e); e.flow.waiting == 1 {
		heap.Push(&q.startOrder, e.flow)
	}
}

func (q *Queue) remove(e *entry) {
	delete(q.waiting, e.call.ID)
	heap.Remove(&q.expiryOrder, e.index)
	f := e.flow
	if f.waiting == 1 {
		heap.Remove(&q.startOrder, f.index)
	}
	if f.remove(e); f.waiting > 0 {
		heap.Fix(&q.startOrder, f.index)
	}
}
