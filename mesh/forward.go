package mesh

import (
	"bytes"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/dispatch"
	"lovagelane/link"
	"lovagelane/memory"
	"lovagelane/retry"
)

const (
	// maxNodesTried limits the calls that are sent to nodes for one request.
	maxNodesTried = 8
	// minRetryAfter is the shortest Retry-After of a refused request, and the time that must be left until the deadline for a
	// repeat.
	minRetryAfter = 200 * time.Millisecond
	// noBackendRetryAfter is the Retry-After if no node reported a queue wait, as when the service has no backend server.
	noBackendRetryAfter = time.Second
	// noRoomReason and shareReason are the reasons of a request that no backend server has a slot for, in general or for its
	// account.
	noRoomReason = "no-room"
	shareReason  = "share"
	// callerLeftReason is the reason of a request whose caller disconnected.
	callerLeftReason = "caller-left"
)

// forward sends a request to one node after another until a backend server has run it or no other node may be tried.
func (n *Node) forward(r *request) result {
	if n.isQuarantined(r.digest) {
		return refusedResult{reason: "quarantined", retryAfter: defaultTimeout}
	}
	if refusal := n.admitRequest(r); refusal != nil {
		return refusal
	}
	if !n.reserveDelivery(r) {
		return refusedResult{reason: "no-memory", retryAfter: noBackendRetryAfter}
	}
	for r.nodesTried < maxNodesTried {
		now := n.clock.Now()
		if !now.Before(r.deadline) {
			return r.refusal("deadline")
		}
		latest, stopping := n.latestStart(r)
		if stopping && !now.Before(latest) {
			return r.stoppingRefusal()
		}
		maxWait := max(r.maxWait-r.waited, 0)
		if stopping {
			maxWait = min(maxWait, latest.Sub(now))
		}
		choice, ok := n.choose(now, r, maxWait)
		if !ok && r.capped {
			return r.refusal("short-below")
		}
		if !ok {
			return r.refusal(r.roomReason())
		}
		r.nodesTried++
		answer, failure := n.attempt(now, r, choice)
		if failure != nil {
			return failure
		}
		n.reportOutcome(r, choice.Address, answer, n.clock.Now().Sub(now))
		if res := n.handleAnswer(r, choice, answer); res != nil {
			return res
		}
	}
	return r.refusal(r.roomReason())
}

// roomReason returns why there was no slot for the request at the node that was tried last.
func (r *request) roomReason() string {
	if r.overShare {
		return shareReason
	}
	return noRoomReason
}

// handleAnswer returns the result of the request after an attempt, or nil if another node is to be tried.
func (n *Node) handleAnswer(r *request, choice dispatch.Choice, a answerMessage) result {
	switch a.Outcome {
	case outcomeAnswered:
		return servedResult{a}
	case outcomeBusy:
		r.recordBusy(choice, a)
	case outcomeUnusable:
		r.waited += time.Duration(a.WaitedMicros) * time.Microsecond
		r.excluded = r.excluded.With(choice.Address)
	case outcomeQuarantined:
		return r.refusal("quarantined")
	case outcomeCapped:
		// The services further down the call graph may have capacity in another region. One call there costs less than
		// sending all nested calls there.
		r.capped = true
		r.vain = n.vainNodes(r)
		r.excluded = r.excluded.With(choice.Address)
	case outcomeExpired:
		return r.refusal("deadline")
	case outcomeUnreadable:
		return unroutableResult{status: fasthttp.StatusBadRequest, reason: a.Reason}
	case outcomeRejected:
		r.excluded = r.excluded.With(choice.Address)
		if !n.takeRepeat(r) {
			return r.refusal("rejected-" + a.Reason)
		}
	case outcomeLost:
		r.mayHaveRun = true
		r.excluded = r.excluded.With(choice.Address)
		if !r.route.Idempotent || a.Crashed || !a.repeatTaken && !n.takeRepeat(r) {
			return failedResult{reason: a.Reason}
		}
	}
	return nil
}

// recordBusy records that no slot became free in time at a node. The node is tried again only if the request may wait there
// longer than before.
func (r *request) recordBusy(choice dispatch.Choice, a answerMessage) {
	waited := time.Duration(a.WaitedMicros) * time.Microsecond
	r.waited += waited
	r.overShare = a.OverShare
	if wait := a.Load.slots().Wait; r.shortestWait == 0 || wait < r.shortestWait {
		r.shortestWait = max(wait, minRetryAfter)
	}
	if waited >= choice.MaxWait || r.offeredWait[choice.Address] >= choice.MaxWait {
		r.excluded = r.excluded.With(choice.Address)
	}
	if r.offeredWait == nil {
		r.offeredWait = map[string]time.Duration{}
	}
	r.offeredWait[choice.Address] = choice.MaxWait
}

// refusal returns the result of a request for which no other node may be tried. A request that may have run must not be
// reported to the caller as not run, so it is a failedResult.
func (r *request) refusal(reason string) result {
	switch {
	case r.mayHaveRun:
		return failedResult{reason: reason}
	case r.shortestWait == 0:
		return refusedResult{reason: reason, retryAfter: noBackendRetryAfter}
	}
	return refusedResult{reason: reason, retryAfter: r.shortestWait}
}

// stoppingRefusal returns the result of a request that can't be finished before this node stops.
func (r *request) stoppingRefusal() result {
	if r.mayHaveRun {
		return failedResult{reason: "stopping"}
	}
	return refusedResult{reason: "stopping", retryAfter: notReadyRetryAfter}
}

func (n *Node) choose(now time.Time, r *request, maxWait time.Duration) (dispatch.Choice, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if d := n.expectedRunTimeLocked(r.route.Name); d > 0 && r.service == n.service {
		n.chooser.RecordRunTime(now, n.settings.CallsAddress, r.route.Name, d)
	}
	return n.chooser.Choose(now, dispatch.Query{Service: r.service, Route: r.route.Name, Objective: r.route.Objective,
		Exclude: r.excluded, Vain: r.vain, MaxWait: maxWait}, n.rand)
}

// takeRepeat takes a repeat from the shared retry budget and reports whether the route and the budget allow it.
func (n *Node) takeRepeat(r *request) bool {
	now := n.clock.Now()
	if r.sent >= r.route.MaxAttempts || r.deadline.Sub(now) < minRetryAfter {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.withdrawLocked(now, r) {
		n.metrics.Add("repeats", 1, r.service)
		return true
	}
	n.metrics.Add("repeats-denied", 1, r.service)
	return false
}

// withdrawLocked withdraws a repeat from the part of the retry budget that this node has.
func (n *Node) withdrawLocked(now time.Time, r *request) bool {
	nodes := len(n.directory.Nodes())
	if !n.settings.RepeatsByValue || n.chains == nil {
		return n.retryBudgets.Withdraw(now, r.service, 1, nodes)
	}
	saving := n.savingLocked(now, r)
	decision := n.retryBudgets.WithdrawFor(now, r.service, 1, nodes, saving)
	if decision == retry.KeptBack {
		n.metrics.Add("repeats-kept-back", 1, r.service)
	}
	if decision != retry.Allowed {
		n.log.Info("repeat-denied", "request", r.id, "route", r.route.Name, "service", r.service, "why", decision.String(),
			"rank", saving.Rank, "completes", saving.Completes, "spent", saving.Spent, "left", r.deadline.Sub(now))
	}
	return decision == retry.Allowed
}

// reportOutcome passes the load and the outcome of an attempt to the chooser, and the part of its time that was spent on the way.
func (n *Node) reportOutcome(r *request, address string, a answerMessage, took time.Duration) {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.Load.Limit > 0 {
		n.chooser.RecordLoad(now, address, a.Load.slots())
	}
	n.chains.recordReport(now, r, address, a)
	if a.Load.RunMicros > 0 {
		n.chooser.RecordRunTime(now, address, r.route.Name, time.Duration(a.Load.RunMicros)*time.Microsecond)
	}
	var o dispatch.Outcome
	switch a.Outcome {
	case outcomeAnswered:
		r.sent++
		n.recordAnswerSizeLocked(r.route.Name, int64(len(a.Body)))
		n.chooser.RecordRoundTrip(address, took-time.Duration(a.WaitedMicros+a.RanMicros)*time.Microsecond)
		o = dispatch.Answered{Route: r.route.Name, RunTime: time.Duration(a.RanMicros) * time.Microsecond,
			Bytes: len(r.head) + len(r.body) + len(a.Head) + len(a.Body)}
	case outcomeCapped:
		o = dispatch.Capped{Route: r.route.Name}
	case outcomeUnusable:
		o = dispatch.Unusable{}
	case outcomeRejected, outcomeLost:
		r.sent++
		o = dispatch.Failed{}
		if a.nodeUnreachable {
			o = dispatch.Unusable{}
		}
	default:
		o = dispatch.Inconclusive{}
	}
	n.chooser.RecordOutcome(now, address, o)
}

// attempt sends the request to one node and waits for the answer. It returns a result instead if the caller disconnects or
// the deadline passes.
func (n *Node) attempt(now time.Time, r *request, choice dispatch.Choice) (answerMessage, result) {
	m := callMessage{Service: r.service, Route: r.route.Name, RequestID: r.id, Caller: n.settings.Service, Account: r.account.Name,
		Rank:       r.rank,
		Idempotent: r.route.Idempotent, RemainingMS: r.deadline.Sub(now).Milliseconds(),
		WaitMS: choice.MaxWait.Milliseconds(), Digest: r.digest, Head: r.head, Body: r.body, Repeated: r.repeated}
	if r.sent > 0 {
		m.Repeated = 1
	}
	if choice.CrossRegion {
		n.metrics.Add("calls-to-other-regions", 1, r.service)
	} else if choice.CrossZone {
		n.metrics.Add("calls-to-other-zones", 1, r.service)
	}
	timer := time.NewTimer(r.deadline.Add(answerMargin).Sub(now))
	defer timer.Stop()
	overdue := n.newOverdueTimer(now, r, choice)
	defer overdue.stop()
	if choice.Address == n.settings.CallsAddress {
		return n.attemptLocal(m, r.callerGone, timer.C)
	}
	payload := encode(m)
	if tail := payload[max(len(payload)-len(r.body), 0):]; len(r.body) > memory.FreeBytes && bytes.Equal(tail, r.body) {
		r.body, m.Body = tail, nil // One copy of a large body is enough. The encoding ends with it.
	}
	p := n.transport.Peer(choice.Address).Call(payload)
	stalled, stopStarted := p.Stalled, n.stopStarted
	var withdraw <-chan time.Time
	for {
		select {
		case res := <-p.Done:
			return n.decodeAnswer(res), nil
		case <-stopStarted:
			stopStarted = nil
			if latest, stopping := n.latestStart(r); stopping {
				withdrawTimer := time.NewTimer(latest.Sub(n.clock.Now()))
				defer withdrawTimer.Stop()
				withdraw = withdrawTimer.C
			}
		case <-withdraw:
			p.Withdraw()
		case <-stalled:
			if n.giveUpStalled(r, choice.Address) {
				p.Cancel()
				return answerMessage{Outcome: outcomeLost, Reason: "node-silent", nodeUnreachable: true, repeatTaken: true}, nil
			}
			stalled = nil
		case <-overdue.fired():
			overdue.record(r)
		case <-r.callerGone:
			p.Cancel()
			return answerMessage{}, failedResult{reason: callerLeftReason}
		case <-timer.C:
			p.Cancel()
			return answerMessage{}, failedResult{reason: "timeout", timeout: true}
		}
	}
}

// giveUpStalled reports whether a call to a node that can't be reached is repeated elsewhere. Otherwise the node may answer
// yet: it may be frozen or cut off, and the call may be running there.
func (n *Node) giveUpStalled(r *request, address string) bool {
	n.mu.Lock()
	n.chooser.RecordOutcome(n.clock.Now(), address, dispatch.Unusable{})
	n.mu.Unlock()
	n.log.Warn("call-stalled", "request", r.id, "route", r.route.Name, "node", address)
	if !r.route.Idempotent {
		return false
	}
	// The stalled call counts against the attempts of the route; reportOutcome counts it only when it has ended.
	r.sent++
	defer func() { r.sent-- }()
	return n.takeRepeat(r)
}

// attemptLocal submits the call to the own backend server and waits for the answer.
func (n *Node) attemptLocal(m callMessage, callerGone <-chan struct{}, timeout <-chan time.Time) (answerMessage, result) {
	done := make(chan answerMessage, 1)
	j := n.submit(m, false, func(a answerMessage) { done <- a })
	select {
	case a := <-done:
		return a, nil
	case <-callerGone:
		j.abandon()
		return answerMessage{}, failedResult{reason: callerLeftReason}
	case <-timeout:
		j.abandon()
		return answerMessage{}, failedResult{reason: "timeout", timeout: true}
	}
}

// decodeAnswer converts the result of a call to another node to an answer.
func (n *Node) decodeAnswer(res link.Result) answerMessage {
	switch res := res.(type) {
	case link.Answer:
		var a answerMessage
		err := decode(res.Payload, &a)
		if err == nil && !a.valid() {
			err = Err.New("outcome %d or another field is out of range: upgrade the older node", a.Outcome)
		}
		if err != nil {
			n.metrics.Add("malformed-answers", 1)
			n.log.Error("answer-malformed", "error", err)
			return answerMessage{Outcome: outcomeLost, Reason: "answer-malformed"}
		}
		return a
	case link.Lost:
		if res.Sent {
			return answerMessage{Outcome: outcomeLost, Reason: "node-lost", nodeUnreachable: true}
		}
	}
	return answerMessage{Outcome: outcomeUnusable, Reason: "node-unreachable"}
}
