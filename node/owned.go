package node

import (
	"bytes"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/call"
	"lovagelane/hangup"
	"lovagelane/ticket"
)

// ownedPath is the prefix under which a node passes a request to the owner of its ticket.
var ownedPath = []byte("/lovagelane/owned/")

// owned holds the requests whose tickets this node issued.
type owned struct {
	issuer *ticket.Issuer

	mu    sync.Mutex
	owner *ticket.Owner
	// changed is closed and replaced whenever a request ends, to wake the resends that joined it.
	changed chan struct{}
}

func (o *owned) init(keys [][]byte, member, address string, started time.Time) {
	o.issuer = ticket.NewIssuer(keys[0], member, address, started)
	o.issuer.SetKeys(keys)
	o.owner = ticket.NewOwner(member, started)
	o.changed = make(chan struct{})
}

func (o *owned) begin(now time.Time, t ticket.Ticket, out *outbound) (ticket.Verdict, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owner.Begin(now, t, out.op.Service, out.digest), o.changed
}

// again asks once more for a request that was answered Join.
func (o *owned) again(now time.Time, t ticket.Ticket, out *outbound) (ticket.Verdict, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owner.Again(now, t, out.op.Service, out.digest), o.changed
}

func (o *owned) finish(now time.Time, seq uint64, a ticket.Answer, unused int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.owner.Finish(now, seq, a, unused)
	close(o.changed)
	o.changed = make(chan struct{})
}

// enterWithTicket issues a ticket, or brings the request to the owner of the ticket that it carries.
func (n *Node) enterWithTicket(ctx *fasthttp.RequestCtx, out *outbound, token string) {
	if token == "" {
		ctx.Response.Header.Set(headerTicket, n.owned.issuer.Issue(n.clock.Now(), out.op.Service))
		n.refuseCaller(ctx, &out.op, refusal(call.ReasonTicketRequired, call.OutcomeNotRun, out.op.Line.String()))
		return
	}
	t, err := n.owned.issuer.Parse(token)
	if err != nil {
		n.log.Warn("ticket-invalid", "caller", out.caller, "error", err)
		r := refusal(call.ReasonTicketInvalid, call.OutcomeNotRun, out.op.Line.String())
		if ticket.ErrForged.Has(err) {
			// Nodes have different keys while the ticket key is rotated, so the request of this ticket may have run.
			r.Outcome, r.Remedy = call.OutcomeUnknown, remedies[call.ReasonTicketExpired]
		}
		n.refuseCaller(ctx, &out.op, r)
		return
	}
	if t.Owner != n.self.ID {
		n.forwardOwned(ctx, out, t, token)
		return
	}
	n.runOwned(ctx, out, t)
}

// handleOwned takes a request that another node passed on because this node issued its ticket.
func (n *Node) handleOwned(ctx *fasthttp.RequestCtx) {
	ctx.Request.SetRequestURIBytes(bytes.TrimPrefix(ctx.Request.Header.RequestURI(), ownedPath[:len(ownedPath)-1]))
	n.outside.Add(1)
	defer n.outside.Add(-1)
	n.enter(ctx, string(ctx.Request.Header.Peek(headerCaller)))
}

// forwardOwned passes a request to the owner of its ticket and its answer back.
func (n *Node) forwardOwned(ctx *fasthttp.RequestCtx, out *outbound, t ticket.Ticket, token string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	copyRequestHeaders(&req.Header, out.header)
	req.Header.SetMethod(out.method)
	req.SetRequestURI("http://" + t.Address + string(ownedPath) + out.op.Service + out.target)
	req.Header.Set(headerTicket, token)
	req.Header.Set(headerCaller, out.caller)
	req.Header.Set(headerDeadline, strconv.FormatInt(max(out.deadline.Sub(n.clock.Now()).Milliseconds(), 1), 10))
	setBody(req, out.body)
	err := n.peer(t.Owner, t.Address).current().DoDeadline(req, resp, out.deadline.Add(answerMargin))
	if err != nil {
		fasthttp.ReleaseResponse(resp)
		n.log.Warn("owner-not-reached", "owner", t.Owner, "address", t.Address, "error", err)
		n.refuseCaller(ctx, &out.op, refusal(call.ReasonOwnerGone, call.OutcomeUnknown, out.op.Line.String()))
		return
	}
	copyResponseHeaders(&ctx.Response.Header, &resp.Header)
	for _, name := range []string{headerOutcome, headerReason, headerRule} {
		if value := resp.Header.Peek(name); len(value) > 0 {
			ctx.Response.Header.SetBytesV(name, value)
		}
	}
	ctx.SetStatusCode(resp.StatusCode())
	n.passBody(ctx, resp)
}

// runOwned starts a request once, or answers a resend with what became of it.
func (n *Node) runOwned(ctx *fasthttp.RequestCtx, out *outbound, t ticket.Ticket) {
	// All sends with one ticket are one request and get one value.
	out.requestID = t.Owner[:min(8, len(t.Owner))] + "-" + strconv.FormatUint(t.Seq, 10)
	out.priority.Value = out.priority.Value&call.FairValues | baseValue(n.ticketKeys[0], out.requestID)
	timer := time.NewTimer(out.deadline.Sub(n.clock.Now()))
	defer timer.Stop()
	verdict, changed := n.owned.begin(n.clock.Now(), t, out)
	for {
		switch v := verdict.(type) {
		case ticket.Run:
			n.startOwned(ctx, out, t, v.Allowance)
			return
		case ticket.Kept:
			n.writeAnswer(ctx, out, v.Answer, out.op.Line.String())
			return
		case ticket.Refuse:
			n.refuseCaller(ctx, &out.op, refusal(v.Reason, v.Outcome, out.op.Line.String()))
			return
		case ticket.Join:
		}
		select {
		case <-changed:
			verdict, changed = n.owned.again(n.clock.Now(), t, out)
		case <-timer.C:
			n.refuseCaller(ctx, &out.op, refusal(call.ReasonDeadline, call.OutcomeUnknown, out.op.TimeoutLine.String()))
			return
		}
	}
}

// startOwned carries a request that the owner started and keeps its answer for resends. A caller that disconnects later
// does not cancel it, because its resend asks for the answer.
func (n *Node) startOwned(ctx *fasthttp.RequestCtx, out *outbound, t ticket.Ticket, allowance int) {
	if hangup.Abandoned(ctx.Conn()) {
		n.owned.finish(n.clock.Now(), t.Seq, ticket.Answer{Outcome: call.OutcomeNotRun, Reason: call.ReasonCancelled}, allowance)
		n.refuseCaller(ctx, &out.op, refusal(call.ReasonCancelled, call.OutcomeNotRun, out.op.Line.String()))
		return
	}
	out.account = n.requests.owned(allowance)
	if !n.pressures.admit(n.clock.Now(), out.op.Name, out.priority) {
		n.owned.finish(n.clock.Now(), t.Seq, ticket.Answer{Outcome: call.OutcomeNotRun, Reason: call.ReasonShed}, allowance)
		n.refuseCaller(ctx, &out.op, refusal(call.ReasonShed, call.OutcomeNotRun, n.levelRule(out.op)))
		return
	}
	r := n.carry(out)
	n.owned.finish(n.clock.Now(), t.Seq, n.keep(&r), out.account.left())
	n.finishCaller(ctx, out, r)
}

// keep returns what is kept of a reply for resends. An answer that was read for this replaces the reply.
func (n *Node) keep(r *reply) ticket.Answer {
	switch v := (*r).(type) {
	case kept:
		return v.answer
	case refused:
		return ticket.Answer{Outcome: v.refusal.Outcome, Reason: v.refusal.Reason}
	case answered:
		return n.keepAnswered(r, v)
	default:
		return ticket.Answer{}
	}
}

func (n *Node) keepAnswered(r *reply, v answered) ticket.Answer {
	a := ticket.Answer{Status: v.resp.StatusCode(), ContentType: string(v.resp.Header.ContentType()), Outcome: call.OutcomeRan}
	b, whole, err := takeBody(v.resp)
	switch {
	case err != nil:
		// It ran, but its answer is cut: the caller must not be given a part of it.
		discard(v)
		a.Truncated = true
		*r = kept{a}
	case whole:
		a.Body = append([]byte(nil), b...)
		v.resp.SetBody(a.Body)
	default:
		a.Truncated = true
	}
	return a
}

// writeAnswer answers a resend with what was kept.
func (n *Node) writeAnswer(ctx *fasthttp.RequestCtx, out *outbound, a ticket.Answer, rule string) {
	if a.Outcome != call.OutcomeRan || a.Status == 0 {
		n.refuseCaller(ctx, &out.op, refusal(a.Reason, a.Outcome, rule))
		return
	}
	n.writeKept(ctx, a)
}

// writeKept answers with a kept answer; when its body is not held any more the status still tells that it ran.
func (n *Node) writeKept(ctx *fasthttp.RequestCtx, a ticket.Answer) {
	if a.Truncated {
		writeRefusal(ctx, refusal(call.ReasonBackendFailed, call.OutcomeRan, ""))
		return
	}
	ctx.SetStatusCode(a.Status)
	ctx.SetContentType(a.ContentType)
	ctx.Response.Header.Set(headerOutcome, call.OutcomeRan.String())
	ctx.SetBody(a.Body)
}
