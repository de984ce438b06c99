package node

import (
	"sync"
	"time"

	"lovagelane/call"
)

// missesUntilLost is how often a serving node must not know an idempotent attempt before its answer counts as lost; the
// first time, the answer may still be on its way.
const missesUntilLost = 2

// race lets one attempt of a try win; the others are discarded.
type race struct {
	mu   sync.Mutex
	over bool
}

// finish hands a result to the try and reports false when the try is over.
func (r *race) finish(t *try, result attemptResult) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		// The share comes back even when the answer is not needed any more.
		t.settleShare(result)
		return false
	}
	t.results <- result
	return true
}

// end closes the race and discards results that have arrived and were not taken.
func (r *race) end(t *try) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = true
	for {
		select {
		case result := <-t.results:
			t.settleShare(result)
			discard(result.reply)
		default:
			return
		}
	}
}

// settleShare gives the unused part of an attempt's share back to the request's account, and keeps what the answer tells
// of the calls below.
func (t *try) settleShare(result attemptResult) {
	var meta call.AnswerMeta
	switch r := result.reply.(type) {
	case answered:
		meta = r.meta
	case refusedWith:
		meta = r.meta
	default:
		if result.end.DialFailed {
			t.out.account.giveBack(result.try.share, result.try.share)
		}
		return
	}
	t.out.account.giveBack(result.try.share, int(meta.Allowance))
}

// learn keeps the level and the crash count that an answer brought; only the goroutine of the call uses it.
func (t *try) learn(r reply) {
	switch r := r.(type) {
	case answered:
		t.out.level = call.MoreImportant(t.out.level, r.meta.Level)
		t.out.crashes = max(t.out.crashes, int(r.meta.Crashes))
	case refusedWith:
		t.out.level = call.MoreImportant(t.out.level, r.meta.Level)
		t.out.crashes = max(t.out.crashes, int(r.meta.Crashes))
	}
}

// wait returns the end of the try: the first answer, or the last refusal when every attempt failed.
func (t *try) wait() reply {
	defer t.race.end(t)
	usual := t.chooser.hedgeDelay()
	silence := time.NewTimer(max(shortestSilence, usualFactor*usual))
	defer silence.Stop()
	hedge := time.NewTimer(t.hedgeAfter(usual))
	defer hedge.Stop()
	deadline := time.NewTimer(t.out.deadline.Sub(t.n.clock.Now()) + answerMargin)
	defer deadline.Stop()
	asked := max(shortestSilence, usualFactor*usual)
	cancelled := t.out.cancelled
	if t.isStreamed() {
		// The attempt reads from the caller's connection: it must end before the caller's handler does.
		cancelled = nil
	}
	for {
		select {
		case result := <-t.results:
			if r, done := t.take(result); done {
				return r
			}
		case state := <-t.states:
			if r, done := t.takeState(state); done {
				return r
			}
		case <-silence.C:
			t.askStates()
			asked *= 2
			silence.Reset(asked)
		case <-hedge.C:
			t.hedge()
		case <-cancelled:
			t.cancelAll()
			return refused{refusal(call.ReasonCancelled, call.OutcomeUnknown, "")}
		case <-deadline.C:
			t.cancelAll()
			if t.isStreamed() {
				result := <-t.results
				t.settleShare(result)
				discard(result.reply)
			}
			return refused{refusal(call.ReasonDeadline, call.OutcomeUnknown, t.out.op.TimeoutLine.String())}
		}
	}
}

func (t *try) isStreamed() bool {
	_, ok := t.out.body.(streamed)
	return ok
}

// hedgeAfter returns when a second attempt is worth sending, or a time beyond the deadline.
func (t *try) hedgeAfter(usual time.Duration) time.Duration {
	if usual == 0 || t.out.op.NonIdempotent || t.isStreamed() || t.out.account.left() == 0 {
		return t.out.deadline.Sub(t.n.clock.Now()) + time.Hour
	}
	return usual
}

// hedge launches a second attempt, paid by the request's account and by the node's share of hedges.
func (t *try) hedge() {
	if t.launched > 1 || !t.chooser.takeHedge() || !t.out.account.take() {
		return
	}
	if t.launch() == call.ReasonNone {
		t.n.metrics.Add("hedges", 1, t.out.op.Service)
	}
}

// take handles the end of an attempt and reports whether it ends the try.
func (t *try) take(result attemptResult) (reply, bool) {
	l := result.try
	if l.settled {
		discard(result.reply)
		return nil, false
	}
	l.settled = true
	t.pending--
	t.settleShare(result)
	t.learn(result.reply)
	switch r := result.reply.(type) {
	case answered:
		t.cancelOthers(l)
		return r, true
	case refusedWith:
		t.last = worse(t.last, r.refused)
	case refused:
		if t.out.op.NonIdempotent && r.refusal.Outcome == call.OutcomeUnknown {
			return t.resolve(l, r)
		}
		t.last = worse(t.last, r)
	}
	return t.last, t.pending == 0
}

// resolve asks the serving node, over a new connection, what became of a non-idempotent attempt whose answer was lost.
func (t *try) resolve(l *launched, lost refused) (reply, bool) {
	for wait := shortestSilence; t.n.clock.Now().Before(t.out.deadline); wait *= 2 {
		state, err := t.n.askState(l, true)
		switch {
		case err != nil:
			// The node may be restarting or out of reach for a moment.
		case state.Running:
		case state.Outcome == call.OutcomeNotRun:
			return refused{refusal(call.ReasonFenced, call.OutcomeNotRun, "")}, true
		case state.Outcome == call.OutcomeRan && !state.Answer.Truncated:
			return kept{state.Answer}, true
		default:
			return lost, true
		}
		pause := time.NewTimer(min(wait, t.out.deadline.Sub(t.n.clock.Now())))
		<-pause.C
	}
	return lost, true
}

// takeState handles a serving node's word on an attempt that has been silent.
func (t *try) takeState(s stateAnswer) (reply, bool) {
	l := s.try
	if l.settled || s.err != nil || s.state.Running {
		return nil, false
	}
	switch s.state.Outcome {
	case call.OutcomeNotRun:
		// The call is lost on its connection, so the other connections of the pool may be silent too.
		l.peer.renew(l.client)
		t.n.log.Warn("silent-connection", "peer", l.id, "service", t.out.op.Service)
		t.n.metrics.Add("silent-connections", 1)
		t.last = worse(t.last, refused{refusal(call.ReasonFenced, call.OutcomeNotRun, "")})
	case call.OutcomeRan:
		if s.state.Answer.Truncated || s.state.Answer.Status == 0 {
			return nil, false
		}
		l.peer.renew(l.client)
		l.settled = true
		return kept{s.state.Answer}, true
	default:
		l.misses++
		if t.out.op.NonIdempotent || l.misses < missesUntilLost {
			return nil, false
		}
		l.peer.renew(l.client)
		t.n.metrics.Add("silent-connections", 1)
		t.last = worse(t.last, refused{refusal(call.ReasonBackendFailed, call.OutcomeUnknown, "")})
	}
	l.settled = true
	t.pending--
	return t.last, t.pending == 0
}

// cancelAll tells the serving nodes that the caller gave up.
func (t *try) cancelAll() {
	for _, l := range t.attempts {
		t.cancelOne(l)
	}
}

func (t *try) cancelOthers(winner *launched) {
	for _, l := range t.attempts {
		if l != winner {
			t.cancelOne(l)
		}
	}
}

func (t *try) cancelOne(l *launched) {
	if l.settled {
		return
	}
	n := t.n
	n.pool.Submit(func() { n.sendCancel(l) })
}
