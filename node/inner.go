package node

import (
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/call"
	"lovagelane/retry"
	"lovagelane/ticket"
)

// innerCalls records the calls that a backend server makes for one parent call, to detect repeats.
type innerCalls struct {
	seen  retry.RepeatDetector
	byKey map[string]*innerCall
}

// innerCall is a non-idempotent call that a backend server made. A repeat of it gets the same answer.
type innerCall struct {
	done   chan struct{}
	answer ticket.Answer
	rule   string
}

// isRepeat records an idempotent call of the backend server and reports whether it counts as a retry.
func (f *flight) isRepeat(digest uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inner.seen.IsRepeat(digest)
}

// claimInner returns the record of a non-idempotent call, and true if it is new and must be made. It returns nil when the
// parent already has retry.MaxInner different calls, so that repeats can no longer be detected.
func (f *flight) claimInner(key string) (*innerCall, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c, ok := f.inner.byKey[key]; ok {
		return c, false
	}
	if len(f.inner.byKey) >= retry.MaxInner {
		return nil, false
	}
	if f.inner.byKey == nil {
		f.inner.byKey = map[string]*innerCall{}
	}
	c := &innerCall{done: make(chan struct{})}
	f.inner.byKey[key] = c
	return c, true
}

// releaseInner removes the record of a call that did not run, so that it can be made again.
func (f *flight) releaseInner(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.inner.byKey, key)
}

// handleBackend serves the backend listener, for calls of the own backend server to other services.
func (n *Node) handleBackend(ctx *fasthttp.RequestCtx) {
	parent := string(ctx.Request.Header.Peek(headerContext))
	if parent == "" {
		// A call without a context is work that the backend server does on its own. It enters the deployment here as a request
		// of its own.
		n.entryCount.Add(1)
		defer n.entryCount.Add(-1)
		n.handleEntry(ctx, n.self.Service)
		return
	}
	f, ok := n.flights.findByContext(parent)
	if !ok {
		n.refuseCaller(ctx, nil, refusal(call.ReasonCancelled, call.OutcomeNotRun, ""))
		return
	}
	n.handleInner(ctx, f)
}

// handleInner forwards a call that the backend server makes for a call that it runs. It inherits the parent's priority,
// deadline and retry budget.
func (n *Node) handleInner(ctx *fasthttp.RequestCtx, f *flight) {
	in, ok := n.matchRequest(ctx)
	if !ok {
		return
	}
	op := in.op
	out := n.newInner(ctx, f, in)
	switch {
	case op.NonIdempotent:
		n.handleInnerOnce(ctx, f, out)
	case f.isRepeat(out.digest) && !f.budget.take():
		n.refuseCaller(ctx, &op, refusal(call.ReasonRetriesSpent, call.OutcomeNotRun, op.Line.String()))
	default:
		n.writeReply(ctx, out, n.forwardInner(f, out))
	}
}

func (n *Node) newInner(ctx *fasthttp.RequestCtx, f *flight, in matchedRequest) *outbound {
	op := in.op
	deadline := n.clock.Now().Add(op.Timeout)
	if f.deadline.Before(deadline) {
		deadline = f.deadline
	}
	_, crashes := f.downstream()
	out := &outbound{
		op: op, arrived: n.clock.Now(), requestID: f.meta.RequestID, priority: f.meta.Priority, deadline: deadline, budget: f.budget.forCall(),
		depth: f.meta.Depth + 1, crashes: crashes, caller: f.meta.Caller, method: string(ctx.Method()), target: in.target,
		header: &ctx.Request.Header, body: in.body, cancelled: f.cancelled,
	}
	out.digest = requestDigest(out)
	return out
}

// forwardInner forwards an inner call and records its admission level and crash count in the parent.
func (n *Node) forwardInner(f *flight, out *outbound) reply {
	r := n.forward(out)
	f.recordDownstream(out.level, out.crashes)
	return r
}

// handleInnerOnce makes a non-idempotent inner call at most once per idempotency key within its parent.
func (n *Node) handleInnerOnce(ctx *fasthttp.RequestCtx, f *flight, out *outbound) {
	key := string(ctx.Request.Header.Peek(headerIdempotencyKey))
	if key == "" || len(key) > 128 {
		key = call.DigestKey(out.digest)
	}
	key = out.op.Service + " " + key
	c, first := f.claimInner(key)
	if c == nil {
		n.refuseCaller(ctx, &out.op, refusal(call.ReasonBusy, call.OutcomeNotRun, out.op.Line.String()))
		return
	}
	if !first {
		n.joinInner(ctx, out, c)
		return
	}
	r := n.forwardInner(f, out)
	c.answer = n.storableAnswer(&r)
	if c.answer.Outcome == call.OutcomeNotRun {
		f.releaseInner(key)
	}
	if refused, ok := r.(refused); ok {
		c.rule = refused.refusal.Rule
	}
	close(c.done)
	n.writeReply(ctx, out, r)
}

// joinInner waits for the call that this one repeats and answers with its answer.
func (n *Node) joinInner(ctx *fasthttp.RequestCtx, out *outbound, c *innerCall) {
	timer := time.NewTimer(out.deadline.Sub(n.clock.Now()))
	defer timer.Stop()
	select {
	case <-c.done:
		n.writeOutcome(ctx, out, c.answer, c.rule)
	case <-timer.C:
		n.refuseCaller(ctx, &out.op, refusal(call.ReasonDeadline, call.OutcomeUnknown, out.op.TimeoutLine.String()))
	}
}
