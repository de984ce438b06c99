package node

import (
	"sync"
	"time"

	"lovagelane/call"
)

// maxMisses is the number of queries to which a serving node answers that it does not know an idempotent attempt, before the
// answer to the attempt counts as lost. At the first such query, the answer may still be in transit.
const maxMisses = 2

// streamTransitTime is how long the last bytes of a streamed body may be in transit before an attempt that the serving node
// does not know counts as lost. A large body on a new connection reaches a busy node much later than a query does.
const streamTransitTime = 2 * time.Second

// race selects the first answer among the attempts of a hedgedAttempt. The other results are discarded.
type race struct {
	mu      sync.Mutex
	stopped bool
}

// deliver passes a result to h. It returns false when h has already ended.
func (r *race) deliver(h *hedgedAttempt, result attemptResult) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		// The unused retries are returned even when the answer is no longer needed.
		h.returnShare(result)
		return false
	}
	h.results <- result
	return true
}

// stop ends the race and discards results that have arrived but were not read.
func (r *race) stop(h *hedgedAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	for {
		select {
		case result := <-h.results:
			h.returnShare(result)
			discard(result.reply)
		default:
			return
		}
	}
}

// returnShare returns the unused part of an attempt's share to the request's retry budget.
func (h *hedgedAttempt) returnShare(result attemptResult) {
	var meta call.AnswerMeta
	switch r := result.reply.(type) {
	case answered:
		meta = r.meta
	case remoteRefusal:
		meta = r.meta
	default:
		if result.feedback.DialFailed {
			h.out.budget.returnUnused(result.attempt.share, result.attempt.share)
		}
		return
	}
	h.out.budget.returnUnused(result.attempt.share, int(meta.Allowance))
}

// recordMeta records the admission level and the crash count of an answer. Only the goroutine of the call may use it.
func (h *hedgedAttempt) recordMeta(r reply) {
	switch r := r.(type) {
	case answered:
		h.out.level = call.MoreImportant(h.out.level, r.meta.Level)
		h.out.crashes = max(h.out.crashes, int(r.meta.Crashes))
	case remoteRefusal:
		h.out.level = call.MoreImportant(h.out.level, r.meta.Level)
		h.out.crashes = max(h.out.crashes, int(r.meta.Crashes))
	}
}

// wait returns the first answer, or the last refusal when every attempt failed.
func (h *hedgedAttempt) wait() reply {
	defer h.race.stop(h)
	hedgeDelay := h.chooser.hedgeDelay()
	silenceTimer := time.NewTimer(max(minSilence, silenceFactor*hedgeDelay))
	defer silenceTimer.Stop()
	hedgeTimer := time.NewTimer(h.hedgeAfter(hedgeDelay))
	defer hedgeTimer.Stop()
	deadlineTimer := time.NewTimer(h.out.deadline.Sub(h.n.clock.Now()) + answerMargin)
	defer deadlineTimer.Stop()
	silenceInterval := max(minSilence, silenceFactor*hedgeDelay)
	cancelled := h.out.cancelled
	if h.isStreamed() {
		// The attempt reads from the caller's connection, so it must end before the caller's handler returns.
		cancelled = nil
	}
	for {
		select {
		case result := <-h.results:
			if r, done := h.handleResult(result); done {
				return r
			}
		case state := <-h.states:
			if r, done := h.handleState(state); done {
				return r
			}
		case <-silenceTimer.C:
			h.queryStates()
			silenceInterval *= 2
			silenceTimer.Reset(silenceInterval)
		case <-hedgeTimer.C:
			h.hedge()
		case <-cancelled:
			h.cancelAll()
			return refused{refusal(call.ReasonCancelled, call.OutcomeUnknown, "")}
		case <-deadlineTimer.C:
			h.cancelAll()
			if h.isStreamed() {
				result := <-h.results
				h.returnShare(result)
				discard(result.reply)
			}
			return refused{refusal(call.ReasonDeadline, call.OutcomeUnknown, h.out.op.TimeoutLine.String())}
		}
	}
}

func (h *hedgedAttempt) isStreamed() bool {
	_, ok := h.out.body.(streamed)
	return ok
}

// inTransit reports whether a streamed body may still be on its way to the serving node.
func (h *hedgedAttempt) inTransit() bool {
	b, ok := h.out.body.(streamed)
	return ok && !b.r.quietFor(streamTransitTime)
}

// hedgeAfter returns the delay before a hedged attempt, or a delay beyond the deadline when the call must not be hedged.
func (h *hedgedAttempt) hedgeAfter(hedgeDelay time.Duration) time.Duration {
	if hedgeDelay == 0 || h.out.op.NonIdempotent || h.isStreamed() || h.out.budget.remaining() == 0 {
		return h.out.deadline.Sub(h.n.clock.Now()) + time.Hour
	}
	return hedgeDelay
}

// hedge sends a hedged attempt if both the request's retry budget and the node's hedge budget allow it.
func (h *hedgedAttempt) hedge() {
	if h.launchCount > 1 || !h.chooser.takeHedge() || !h.out.budget.take() {
		return
	}
	if h.launch() == call.ReasonNone {
		h.n.metrics.Add("hedges", 1, h.out.op.Service)
	}
}

// handleResult handles the result of an attempt and reports whether it ends the hedgedAttempt.
func (h *hedgedAttempt) handleResult(result attemptResult) (reply, bool) {
	a := result.attempt
	if a.settled {
		discard(result.reply)
		return nil, false
	}
	a.settled = true
	h.pending--
	h.returnShare(result)
	h.recordMeta(result.reply)
	switch r := result.reply.(type) {
	case answered:
		h.cancelOthers(a)
		return r, true
	case remoteRefusal:
		h.last = selectReply(h.last, r.refused)
	case refused:
		if h.out.op.NonIdempotent && r.refusal.Outcome == call.OutcomeUnknown {
			return h.resolveLost(a, r)
		}
		h.last = selectReply(h.last, r)
	}
	return h.last, h.pending == 0
}

// resolveLost queries the serving node, over a new connection, for the state of a non-idempotent attempt whose answer was
// lost.
func (h *hedgedAttempt) resolveLost(a *sentAttempt, lost refused) (reply, bool) {
	for wait := minSilence; h.n.clock.Now().Before(h.out.deadline); wait *= 2 {
		state, err := h.n.queryState(a, true)
		switch {
		case err != nil:
			// The node may be restarting or temporarily unreachable.
		case state.Running:
		case state.Outcome == call.OutcomeNotRun:
			return refused{refusal(call.ReasonFenced, call.OutcomeNotRun, "")}, true
		case state.Outcome == call.OutcomeRan && !state.Answer.Truncated:
			return storedAnswer{state.Answer}, true
		default:
			return lost, true
		}
		pause := time.NewTimer(min(wait, h.out.deadline.Sub(h.n.clock.Now())))
		<-pause.C
	}
	return lost, true
}

// handleState handles the queried state of an attempt without a result.
func (h *hedgedAttempt) handleState(result stateResult) (reply, bool) {
	a := result.attempt
	if a.settled || result.err != nil || result.state.Running {
		return nil, false
	}
	switch result.state.Outcome {
	case call.OutcomeNotRun:
		// The request was lost on its connection, so the other connections of the client may be silent too.
		a.peer.replaceClient(a.client)
		h.n.log.Warn("silent-connection", "peer", a.id, "service", h.out.op.Service)
		h.n.metrics.Add("silent-connections", 1)
		h.last = selectReply(h.last, refused{refusal(call.ReasonFenced, call.OutcomeNotRun, "")})
	case call.OutcomeRan:
		if result.state.Answer.Truncated || result.state.Answer.Status == 0 {
			return nil, false
		}
		a.peer.replaceClient(a.client)
		a.settled = true
		return storedAnswer{result.state.Answer}, true
	default:
		if h.out.op.NonIdempotent || h.inTransit() {
			return nil, false
		}
		a.misses++
		if a.misses < maxMisses {
			return nil, false
		}
		a.peer.replaceClient(a.client)
		h.n.metrics.Add("silent-connections", 1)
		h.last = selectReply(h.last, refused{refusal(call.ReasonBackendFailed, call.OutcomeUnknown, "")})
	}
	a.settled = true
	h.pending--
	return h.last, h.pending == 0
}

// cancelAll notifies the serving nodes that the caller gave up.
func (h *hedgedAttempt) cancelAll() {
	for _, a := range h.attempts {
		h.cancelOne(a)
	}
}

func (h *hedgedAttempt) cancelOthers(winner *sentAttempt) {
	for _, a := range h.attempts {
		if a != winner {
			h.cancelOne(a)
		}
	}
}

func (h *hedgedAttempt) cancelOne(a *sentAttempt) {
	if a.settled {
		return
	}
	n := h.n
	n.pool.Submit(func() { n.sendCancel(a) })
}
