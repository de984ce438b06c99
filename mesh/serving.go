package mesh

import (
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/directory"
	"lovagelane/link"
	"lovagelane/quarantine"
	"lovagelane/slots"
)

// job is a call at the node beside the backend server that is to run it. Its fields but the constant ones are guarded by
// Node.mu.
type job struct {
	n        *Node
	id       uint64
	m        callMessage
	other    bool
	arrived  time.Time
	deadline time.Time
	settle   func(answerMessage)

	started   time.Time
	running   bool
	cancelled bool
	ended     bool
	// capped is set for a call that counts against its route's cap, and admission is what the cap gave it.
	capped    bool
	admission int
	// exchange is the connection that the call runs on.
	exchange *backendConn
}

// Call takes a call of another node; it implements link.Handler.
func (n *Node) Call(c *link.Served) {
	var m callMessage
	if err := decode(c.Payload, &m); err != nil {
		n.log.Error("call-malformed", "error", err)
		c.Answer(encode(answerMessage{End: endUnusable, Why: "call-malformed"}))
		return
	}
	j := n.submit(m, true, func(a answerMessage) { c.Answer(encode(a)) })
	c.OnCancel(j.cancel)
}

// submit asks for a slot of the own backend server for a call of this node, or of another one. The end is told to settle,
// from another goroutine when it comes later.
func (n *Node) submit(m callMessage, other bool, settle func(answerMessage)) *job {
	now := n.clock.Now()
	j := &job{n: n, m: m, other: other, arrived: now, deadline: now.Add(time.Duration(m.RemainingMS) * time.Millisecond), settle: settle}
	n.mu.Lock()
	n.nextJob++
	j.id = n.nextJob
	a, refused := n.arriveLocked(now, j)
	n.mu.Unlock()
	if refused {
		settle(a)
	}
	return j
}

// arriveLocked starts or queues a job, or returns why it can't run.
func (n *Node) arriveLocked(now time.Time, j *job) (answerMessage, bool) {
	_, state := n.tracker.Current()
	switch {
	case n.stopping.Load() && j.other && !n.takesCall(j.deadline):
		return n.answerLocked(j, endUnusable, "stopping"), true
	case j.m.Service != n.service:
		return n.answerLocked(j, endUnusable, "other-service"), true
	case state != directory.Serving || !n.recovery.done:
		return n.answerLocked(j, endUnusable, "backend-server-"+state.String()), true
	case n.poison.Refuses(now, j.m.Digest, 0):
		return n.answerLocked(j, endQuarantined, "quarantined"), true
	}
	if cfg := n.config.Load(); cfg != nil && j.m.Rank >= cfg.LeastRank() && cfg.LeastRank() > 0 {
		if j.admission, j.capped = n.caps.Admit(j.m.Route, n.queue.Limit()); !j.capped {
			return n.answerLocked(j, endCapped, "short-below"), true
		}
	}
	latest := now.Add(time.Duration(j.m.WaitMS) * time.Millisecond)
	switch n.queue.Arrive(now, slots.Call{ID: j.id, Rank: j.m.Rank, Latest: latest}).(type) {
	case slots.Start:
		n.jobs[j.id] = j
		n.startLocked(now, j)
	case slots.Wait:
		n.jobs[j.id] = j
	case slots.Refuse:
		n.uncapLocked(j)
		return n.answerLocked(j, endBusy, "busy"), true
	}
	return answerMessage{}, false
}

// uncapLocked takes a call that did not run off its route's cap.
func (n *Node) uncapLocked(j *job) {
	if j.capped {
		n.caps.Cancelled(j.m.Route)
	}
}

// endRunLocked takes the end of a run off its route's cap. A run that failed after most of its time had passed has waited
// for services below that are short of room.
func (n *Node) endRunLocked(j *job, x exchanged, ran time.Duration) {
	switch {
	case !j.capped:
	case j.cancelled || x.end != endAnswered:
		n.caps.Cancelled(j.m.Route)
	default:
		late := x.status >= fasthttp.StatusInternalServerError && ran > j.deadline.Sub(j.started)/2
		n.caps.Ended(j.m.Route, j.admission, n.queue.Limit(), late)
		n.metrics.Set("route-cap", int64(n.caps.Limit(j.m.Route)), j.m.Route)
	}
}

// answerLocked builds the end of a job with the room that is left.
func (n *Node) answerLocked(j *job, e end, why string) answerMessage {
	a := answerMessage{End: e, Why: why, Load: loadOf(n.queue.Load())}
	if !j.started.IsZero() {
		a.WaitedMicros = j.started.Sub(j.arrived).Microseconds()
	} else {
		a.WaitedMicros = n.clock.Now().Sub(j.arrived).Microseconds()
	}
	return a
}

// startLocked runs a job on a worker.
func (n *Node) startLocked(now time.Time, j *job) {
	j.started, j.running = now, true
	if !n.pool.Submit(func() { n.run(j) }) {
		n.log.Error("no-worker", "workers", workers)
		n.group.Go("run", n.runLater(j))
	}
}

// applyLocked carries out what the queue decided and returns the ends to tell once the lock is released.
func (n *Node) applyLocked(now time.Time, events []slots.Event) []func() {
	var ends []func()
	for _, e := range events {
		switch e := e.(type) {
		case slots.Started:
			n.startLocked(now, n.jobs[e.ID])
		case slots.Expired:
			j := n.jobs[e.ID]
			a := n.answerLocked(j, endBusy, "waited")
			delete(n.jobs, e.ID)
			n.uncapLocked(j)
			j.ended = true
			ends = append(ends, func() { j.settle(a) })
		}
	}
	return ends
}

// expire ends the calls that waited too long.
func (n *Node) expire() {
	now := n.clock.Now()
	n.mu.Lock()
	ends := n.applyLocked(now, n.queue.Expire(now))
	n.mu.Unlock()
	tell(ends)
}

func tell(ends []func()) {
	for _, f := range ends {
		f()
	}
}

// cancel ends a call whose answer is not needed any more: one that waits is dropped, and one that runs loses its
// connection, by which the backend server notices.
func (j *job) cancel() {
	n := j.n
	now := n.clock.Now()
	n.mu.Lock()
	if j.ended || j.cancelled {
		n.mu.Unlock()
		return
	}
	j.cancelled = true
	if j.running {
		exchange := j.exchange
		n.mu.Unlock()
		if exchange != nil {
			exchange.close()
		}
		return
	}
	j.ended = true
	delete(n.jobs, j.id)
	n.uncapLocked(j)
	ends := n.applyLocked(now, n.queue.Cancel(j.id))
	a := n.answerLocked(j, endBusy, "cancelled")
	n.mu.Unlock()
	tell(ends)
	j.settle(a)
}

// run passes a call to the own backend server.
func (n *Node) run(j *job) {
	n.mu.Lock()
	current, state := n.tracker.Current()
	cancelled := j.cancelled
	n.mu.Unlock()
	now := n.clock.Now()
	switch {
	case cancelled:
		n.finish(j, exchanged{end: endBusy, why: "cancelled"})
	case state != directory.Serving:
		n.finish(j, exchanged{end: endUnusable, why: "backend-server-" + state.String()})
	case !now.Before(j.deadline):
		n.finish(j, exchanged{end: endExpired, why: "deadline"})
	default:
		x := n.backend.exchange(j, current.ID, j.deadline.Sub(now))
		switch {
		case x.lost:
			x.crashed = n.noteLost(j, current, x)
		case x.refused:
			n.backendLost(current, x.why)
		}
		n.finish(j, x)
	}
}

// finish frees the slot of a call and tells its end.
func (n *Node) finish(j *job, x exchanged) {
	now := n.clock.Now()
	ran := now.Sub(j.started)
	n.mu.Lock()
	delete(n.jobs, j.id)
	j.running, j.ended = false, true
	n.endRunLocked(j, x, ran)
	var events []slots.Event
	if x.end == endAnswered && !j.cancelled {
		events = n.queue.Finish(j.id, ran)
	} else {
		events = n.queue.Cancel(j.id)
	}
	ends := n.applyLocked(now, events)
	a := n.answerLocked(j, x.end, x.why)
	a.Status, a.Head, a.Body, a.RanMicros, a.Crashed = x.status, x.head, x.body, ran.Microseconds(), x.crashed
	var reports []quarantine.Report
	if x.end == endAnswered && x.status < fasthttp.StatusInternalServerError {
		reports = n.poison.Answered(now, j.m.Digest)
	}
	n.mu.Unlock()
	if len(reports) > 0 {
		n.transport.Broadcast(encode(notice{Crashes: reports}))
	}
	n.metrics.Add("runs", 1, x.end.String())
	if x.end != endAnswered {
		n.log.Info("call-not-answered", "request", j.m.RequestID, "route", j.m.Route, "end", x.end.String(), "why", x.why,
			"crashed", x.crashed, "cancelled", j.cancelled, "ran", ran)
	}
	tell(ends)
	j.settle(a)
}
