package mesh

import (
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/directory"
	"lovagelane/link"
	"lovagelane/memory"
	"lovagelane/quarantine"
	"lovagelane/slots"
)

// job is a call at the node whose backend server is to run it. Node.mu guards the fields from started on; the others are
// constant.
type job struct {
	n        *Node
	id       uint64
	m        callMessage
	remote   bool
	arrived  time.Time
	deadline time.Time
	complete func(answerMessage)

	started   time.Time
	running   bool
	cancelled bool
	done      bool
	// capped is set if the call counts against the cap of its route; capGeneration is then the value that Caps.Admit returned.
	capped        bool
	capGeneration int
	// abandoned is set once nobody takes the answer of a call of this node, and reserved is the memory reserved for it.
	abandoned bool
	reserved  *memory.Reservation
	// conn is the connection to the backend server that carries the call.
	conn *backendConn
}

// Call implements link.Handler. It submits a call of another node.
func (n *Node) Call(c *link.IncomingCall) {
	var m callMessage
	err := decode(c.Payload, &m)
	if err == nil && !m.valid() {
		err = Err.New("the remaining time %d ms or the wait %d ms is out of range", m.RemainingMS, m.WaitMS)
	}
	if err != nil {
		n.metrics.Add("malformed-calls", 1)
		n.log.Error("call-malformed", "error", err)
		c.Answer(encode(answerMessage{Outcome: outcomeUnusable, Reason: "call-malformed"}))
		return
	}
	c.Payload = nil // The message has its own copies.
	if !m.Idempotent {
		c.KeepRunning()
	}
	j := n.submit(m, true, func(a answerMessage) { c.Answer(encode(a)) })
	c.OnCancel(j.cancel)
	c.OnWithdraw(func() { j.withdraw("withdrawn") })
}

// submit requests a slot of the own backend server for a call of this node or of another one (remote). It passes the answer
// to complete, either before it returns or later from another goroutine.
func (n *Node) submit(m callMessage, remote bool, complete func(answerMessage)) *job {
	now := n.clock.Now()
	j := &job{n: n, m: m, remote: remote, arrived: now,
		deadline: now.Add(time.Duration(m.RemainingMS) * time.Millisecond), complete: complete}
	n.mu.Lock()
	n.lastJobID++
	j.id = n.lastJobID
	n.chains.recordCall(now, m)
	a, done := n.admitLocked(now, j)
	n.mu.Unlock()
	if done {
		complete(a)
	}
	return j
}

// admitLocked starts or queues a job. If the job is refused, it returns the answer and true.
func (n *Node) admitLocked(now time.Time, j *job) (answerMessage, bool) {
	_, state := n.tracker.Current()
	switch {
	case n.stopping.Load() && j.remote && !n.acceptsCall(j.deadline):
		return n.answerLocked(j, outcomeUnusable, "stopping"), true
	case j.m.Service != n.service:
		return n.answerLocked(j, outcomeUnusable, "other-service"), true
	case state != directory.Serving || !n.recovery.done:
		return n.answerLocked(j, outcomeUnusable, "backend-server-"+state.String()), true
	case n.quarantine.Refuses(now, j.m.Digest, 0):
		return n.answerLocked(j, outcomeQuarantined, "quarantined"), true
	}
	if cfg := n.config.Load(); cfg != nil && j.m.Rank >= cfg.LeastImportantRank() && cfg.LeastImportantRank() > 0 {
		if j.capGeneration, j.capped = n.caps.Admit(j.m.Route, n.queue.Limit()); !j.capped {
			return n.answerLocked(j, outcomeCapped, "short-below"), true
		}
	}
	latest := now.Add(time.Duration(j.m.WaitMS) * time.Millisecond)
	c := slots.Call{ID: j.id, Rank: j.m.Rank, Account: j.m.Account, Route: j.m.Route, LatestStart: latest}
	switch d := n.queue.Arrive(now, c).(type) {
	case slots.Start:
		n.jobs[j.id] = j
		n.observeLoadLocked(now)
		n.startLocked(now, j)
	case slots.Wait:
		n.jobs[j.id] = j
		n.observeLoadLocked(now)
	case slots.Displace:
		n.jobs[j.id] = j
		n.applyEventsAsync([]slots.Event{slots.Expired{ID: d.ID, OverShare: true}})
		n.observeLoadLocked(now)
	case slots.Refuse:
		n.releaseCapLocked(j)
		return n.busyLocked(j, "busy", d.OverShare), true
	}
	return answerMessage{}, false
}

// releaseCapLocked releases the admission of a job that did not run.
func (n *Node) releaseCapLocked(j *job) {
	if j.capped {
		n.caps.Cancel(j.m.Route)
	}
}

// recordRunLocked reports a finished run to the cap of its route. A run that failed after more than half of its time counts
// as late: it is assumed to have waited for overloaded services further down the call graph.
func (n *Node) recordRunLocked(j *job, x exchangeResult, ran time.Duration) {
	switch {
	case !j.capped:
	case j.cancelled || x.outcome != outcomeAnswered:
		n.caps.Cancel(j.m.Route)
	default:
		late := x.status >= fasthttp.StatusInternalServerError && ran > j.deadline.Sub(j.started)/2
		n.caps.Finish(j.m.Route, j.capGeneration, n.queue.Limit(), late)
		n.metrics.Set("route-cap", int64(n.caps.Limit(j.m.Route)), j.m.Route)
	}
}

// answerLocked returns the answer to a job, with the current load of the queue.
func (n *Node) answerLocked(j *job, o outcome, reason string) answerMessage {
	a := answerMessage{Outcome: o, Reason: reason, Load: newLoadReport(n.queue.Load())}
	now := n.clock.Now()
	n.chains.addReport(now, j.m.Route, &a)
	a.Load.RunMicros = n.expectedRunTimeLocked(j.m.Route).Microseconds()
	if !j.started.IsZero() {
		a.WaitedMicros = j.started.Sub(j.arrived).Microseconds()
	} else {
		a.WaitedMicros = now.Sub(j.arrived).Microseconds()
	}
	return a
}

// busyLocked returns the answer to a job that got no slot, with a reason of its own if its account has used up its share.
func (n *Node) busyLocked(j *job, reason string, overShare bool) answerMessage {
	if overShare {
		reason = shareReason
		n.metrics.Add("calls-over-share", 1)
	}
	a := n.answerLocked(j, outcomeBusy, reason)
	a.OverShare = overShare
	return a
}

// startLocked runs a job on a worker, or on its own goroutine if the queue of the workers is full.
func (n *Node) startLocked(now time.Time, j *job) {
	j.started, j.running = now, true
	n.retryBudgets.CountRun(now, j.m.Repeated)
	if !n.pool.Submit(func() { n.runJob(j) }) {
		n.log.Error("no-worker", "workers", maxWorkers)
		n.group.Go("run", n.runTask(j))
	}
}

// applyEventsLocked applies queue events and returns the callbacks to run after n.mu is released.
func (n *Node) applyEventsLocked(now time.Time, events []slots.Event) []func() {
	var callbacks []func()
	for _, e := range events {
		switch e := e.(type) {
		case slots.Started:
			n.startLocked(now, n.jobs[e.ID])
		case slots.Expired:
			j := n.jobs[e.ID]
			a := n.busyLocked(j, "waited", e.OverShare)
			delete(n.jobs, e.ID)
			n.releaseCapLocked(j)
			j.done = true
			callbacks = append(callbacks, func() { j.complete(a) })
		}
	}
	return callbacks
}

// expireQueued completes the queued calls whose latest start has passed.
func (n *Node) expireQueued() {
	now := n.clock.Now()
	n.mu.Lock()
	callbacks := n.applyEventsLocked(now, n.queue.Expire(now))
	n.mu.Unlock()
	runAll(callbacks)
}

func runAll(callbacks []func()) {
	for _, f := range callbacks {
		f()
	}
}

// cancel cancels a call whose answer is no longer needed. A queued call is removed. For a running call the connection is
// closed, which signals the cancellation to the backend server.
func (j *job) cancel() {
	n := j.n
	n.mu.Lock()
	if j.done || j.cancelled {
		n.mu.Unlock()
		return
	}
	j.cancelled = true
	if j.running {
		conn := j.conn
		n.mu.Unlock()
		if conn != nil {
			conn.close()
		}
		return
	}
	a := n.removeQueuedLocked(j, outcomeBusy, "cancelled")
	n.mu.Unlock()
	j.complete(a)
}

// withdraw completes a call that is still queued, so that its node can send it elsewhere or refuse it. It has no effect on a
// running call.
func (j *job) withdraw(reason string) {
	n := j.n
	n.mu.Lock()
	if j.done || j.running || j.cancelled {
		n.mu.Unlock()
		return
	}
	a := n.removeQueuedLocked(j, outcomeUnusable, reason)
	n.mu.Unlock()
	j.complete(a)
}

// removeQueuedLocked removes a queued job and returns its answer.
func (n *Node) removeQueuedLocked(j *job, o outcome, reason string) answerMessage {
	j.done = true
	delete(n.jobs, j.id)
	n.releaseCapLocked(j)
	n.queue.Cancel(j.id) // Frees no slot, so that no other call starts.
	return n.answerLocked(j, o, reason)
}

// runJob runs a job at the own backend server.
func (n *Node) runJob(j *job) {
	n.mu.Lock()
	current, state := n.tracker.Current()
	cancelled := j.cancelled
	n.mu.Unlock()
	now := n.clock.Now()
	switch {
	case cancelled:
		n.finishJob(j, exchangeResult{outcome: outcomeBusy, reason: "cancelled"})
	case state != directory.Serving:
		n.finishJob(j, exchangeResult{outcome: outcomeUnusable, reason: "backend-server-" + state.String()})
	case !now.Before(j.deadline):
		n.finishJob(j, exchangeResult{outcome: outcomeExpired, reason: "deadline"})
	default:
		x := n.backend.exchange(j, current.ID, j.deadline.Sub(now))
		switch {
		case x.connectionLost:
			x.crashed = n.checkCrash(j, current, x)
		case x.backendGone:
			n.handleBackendLoss(current, x.reason)
		}
		n.finishJob(j, x)
	}
}

// finishJob releases the slot of a job and completes it.
func (n *Node) finishJob(j *job, x exchangeResult) {
	now := n.clock.Now()
	ran := now.Sub(j.started)
	n.mu.Lock()
	delete(n.jobs, j.id)
	j.running, j.done = false, true
	n.recordRunLocked(j, x, ran)
	n.chains.recordEnd(now, j, x)
	var events []slots.Event
	if x.outcome == outcomeAnswered && !j.cancelled {
		events = n.queue.Finish(j.id, ran)
	} else {
		events = n.queue.Cancel(j.id)
	}
	callbacks := n.applyEventsLocked(now, events)
	n.recordCapacityLocked(now, j, x, ran)
	a := n.answerLocked(j, x.outcome, x.reason)
	a.Status, a.Head, a.Body, a.RanMicros, a.Crashed = x.status, x.head, x.body, ran.Microseconds(), x.crashed
	var reports []quarantine.Report
	if x.outcome == outcomeAnswered && x.status < fasthttp.StatusInternalServerError {
		reports = n.quarantine.Answered(now, j.m.Digest)
	}
	n.mu.Unlock()
	if len(reports) > 0 {
		n.transport.Broadcast(encode(gossipMessage{Crashes: reports}))
	}
	n.metrics.Add("runs", 1, x.outcome.String())
	if x.outcome != outcomeAnswered {
		n.log.Info("call-not-answered", "request", j.m.RequestID, "route", j.m.Route, "end", x.outcome.String(), "why", x.reason,
			"crashed", x.crashed, "cancelled", j.cancelled, "ran", ran)
	}
	runAll(callbacks)
	if j.remote {
		defer x.reserved.Release()
	} else {
		a.reserved = j.keep(x.reserved)
	}
	j.complete(a)
}

// keep hands the memory reserved for the answer of a job over to who takes the answer, or releases it if nobody does.
func (j *job) keep(r *memory.Reservation) *memory.Reservation {
	j.n.mu.Lock()
	defer j.n.mu.Unlock()
	if j.abandoned {
		r.Release()
		return nil
	}
	j.reserved = r
	return r
}

// abandon cancels a job of this node whose answer nobody takes.
func (j *job) abandon() {
	j.cancel()
	j.n.mu.Lock()
	defer j.n.mu.Unlock()
	j.abandoned = true
	j.reserved.Release()
}
