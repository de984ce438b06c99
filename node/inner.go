package node

import (
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/call"
	"lovagelane/retry"
	"lovagelane/ticket"
)

// innerCalls records the calls that a backend server made for one call, so that repeats are recognised.
type innerCalls struct {
	repeats retry.Inner
	byKey   map[string]*innerCall
}

// innerCall is a non-idempotent call that a backend server made; a repeat of it gets its answer.
type innerCall struct {
	done   chan struct{}
	answer ticket.Answer
	rule   string
}

// repeats records a call that the backend server makes and reports whether it made it before.
func (f *flight) repeats(digest uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inner.repeats.Repeats(digest)
}

// claim returns the record of a non-idempotent call and whether the caller of claim is the one to make it. It returns nil
// when the parent has made too many calls to tell repeats apart.
func (f *flight) claim(key string) (*innerCall, bool) {
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

// release lets a call that did not run be made again.
func (f *flight) release(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.inner.byKey, key)
}

// handleBackend serves the backend listener: calls of the own backend server to other services.
func (n *Node) handleBackend(ctx *fasthttp.RequestCtx) {
	parent := string(ctx.Request.Header.Peek(headerContext))
	if parent == "" {
		// Work that the backend server does on its own enters the deployment here, as a request of its own.
		n.outside.Add(1)
		defer n.outside.Add(-1)
		n.enter(ctx, n.self.Service)
		return
	}
	f, ok := n.flights.withContext(parent)
	if !ok {
		n.refuseCaller(ctx, nil, refusal(call.ReasonCancelled, call.OutcomeNotRun, ""))
		return
	}
	n.enterInner(ctx, f)
}

// enterInner carries a call that a backend server makes for a call that it runs. Priority, deadline and retries are the
// parent's.
func (n *Node) enterInner(ctx *fasthttp.RequestCtx, f *flight) {
	in, ok := n.read(ctx)
	if !ok {
		return
	}
	op := in.op
	out := n.innerOf(ctx, f, in)
	switch {
	case op.NonIdempotent:
		n.enterInnerOnce(ctx, f, out)
	case f.repeats(out.digest) && !f.account.take():
		n.refuseCaller(ctx, &op, refusal(call.ReasonRetriesSpent, call.OutcomeNotRun, op.Line.String()))
	default:
		n.writeReply(ctx, out, n.carryInner(f, out))
	}
}

func (n *Node) innerOf(ctx *fasthttp.RequestCtx, f *flight, in incoming) *outbound {
	op := in.op
	deadline := n.clock.Now().Add(op.Timeout)
	if f.deadline.Before(deadline) {
		deadline = f.deadline
	}
	_, crashes := f.learned()
	out := &outbound{
		op: op, arrived: n.clock.Now(), requestID: f.meta.RequestID, priority: f.meta.Priority, deadline: deadline, account: f.account.outgoing(),
		depth: f.meta.Depth + 1, crashes: crashes, caller: f.meta.Caller, method: string(ctx.Method()), target: in.target,
		header: &ctx.Request.Header, body: in.body, cancelled: f.cancelled,
	}
	out.digest = digestOf(out)
	return out
}

// carryInner carries an inner call and tells the parent what it learned.
func (n *Node) carryInner(f *flight, out *outbound) reply {
	r := n.carry(out)
	f.learn(out.level, out.crashes)
	return r
}

// enterInnerOnce makes a non-idempotent inner call once for each key within its parent.
func (n *Node) enterInnerOnce(ctx *fasthttp.RequestCtx, f *flight, out *outbound) {
	key := string(ctx.Request.Header.Peek(headerKey))
	if key == "" || len(key) > 128 {
		key = call.DigestKey(out.digest)
	}
	key = out.op.Service + " " + key
	c, mine := f.claim(key)
	if c == nil {
		n.refuseCaller(ctx, &out.op, refusal(call.ReasonBusy, call.OutcomeNotRun, out.op.Line.String()))
		return
	}
	if !mine {
		n.joinInner(ctx, out, c)
		return
	}
	r := n.carryInner(f, out)
	c.answer = n.keep(&r)
	if c.answer.Outcome == call.OutcomeNotRun {
		f.release(key)
	}
	if refused, ok := r.(refused); ok {
		c.rule = refused.refusal.Rule
	}
	close(c.done)
	n.writeReply(ctx, out, r)
}

// joinInner answers a repeat with the answer of the call that it repeats.
func (n *Node) joinInner(ctx *fasthttp.RequestCtx, out *outbound, c *innerCall) {
	timer := time.NewTimer(out.deadline.Sub(n.clock.Now()))
	defer timer.Stop()
	select {
	case <-c.done:
		n.writeAnswer(ctx, out, c.answer, c.rule)
	case <-timer.C:
		n.refuseCaller(ctx, &out.op, refusal(call.ReasonDeadline, call.OutcomeUnknown, out.op.TimeoutLine.String()))
	}
}
