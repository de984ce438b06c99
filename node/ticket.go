package node

import (
	"bytes"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/call"
	"lovagelane/disconnect"
	"lovagelane/ticket"
)

// ownedPath is the path prefix for a request that a node forwards to the owner of its ticket.
var ownedPath = []byte("/lovagelane/owned/")

// ticketOwner guards the requests whose tickets this node issued.
type ticketOwner struct {
	issuer *ticket.Issuer

	mu    sync.Mutex
	table *ticket.OwnerTable
	// changed is closed and replaced whenever a request ends, to wake the resends that wait for it.
	changed chan struct{}
}

func (o *ticketOwner) init(keys [][]byte, member, address string, started time.Time) {
	o.issuer = ticket.NewIssuer(keys[0], member, address, started)
	o.issuer.SetKeys(keys)
	o.table = ticket.NewOwnerTable(member, started)
	o.changed = make(chan struct{})
}

func (o *ticketOwner) begin(now time.Time, t ticket.Ticket, out *outbound) (ticket.Decision, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Begin(now, t, out.op.Service, out.digest), o.changed
}

// recheck returns the decision for a request whose earlier decision was Join.
func (o *ticketOwner) recheck(now time.Time, t ticket.Ticket, out *outbound) (ticket.Decision, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.DecideAfterJoin(now, t, out.op.Service, out.digest), o.changed
}

func (o *ticketOwner) finish(now time.Time, seq uint64, a ticket.Answer, unused int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Finish(now, seq, a, unused)
	close(o.changed)
	o.changed = make(chan struct{})
}

// handleTicketed issues a ticket for a request without one, or passes the request to the owner of its ticket.
func (n *Node) handleTicketed(ctx *fasthttp.RequestCtx, out *outbound, token string) {
	if token == "" {
		ctx.Response.Header.Set(headerTicket, n.ticketOwner.issuer.Issue(n.clock.Now(), out.op.Service))
		n.refuseCaller(ctx, &out.op, refusal(call.ReasonTicketRequired, call.OutcomeNotRun, out.op.Line.String()))
		return
	}
	t, err := n.ticketOwner.issuer.Parse(token)
	if err != nil {
		n.log.Warn("ticket-invalid", "caller", out.caller, "error", err)
		r := refusal(call.ReasonTicketInvalid, call.OutcomeNotRun, out.op.Line.String())
		if ticket.ErrForged.Has(err) {
			// Nodes have different keys while the ticket key is rotated, so the request with this ticket may have run.
			r.Outcome, r.Remedy = call.OutcomeUnknown, remedies[call.ReasonTicketExpired]
		}
		n.refuseCaller(ctx, &out.op, r)
		return
	}
	if t.Owner != n.self.ID {
		n.forwardToOwner(ctx, out, t, token)
		return
	}
	n.handleOwnTicket(ctx, out, t)
}

// handleOwned handles a request that another node forwarded because this node issued its ticket.
func (n *Node) handleOwned(ctx *fasthttp.RequestCtx) {
	ctx.Request.SetRequestURIBytes(bytes.TrimPrefix(ctx.Request.Header.RequestURI(), ownedPath[:len(ownedPath)-1]))
	n.entryCount.Add(1)
	defer n.entryCount.Add(-1)
	n.handleEntry(ctx, string(ctx.Request.Header.Peek(headerCaller)))
}

// forwardToOwner forwards a request to the owner of its ticket and copies the answer back.
func (n *Node) forwardToOwner(ctx *fasthttp.RequestCtx, out *outbound, t ticket.Ticket, token string) {
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
	n.writeResponseBody(ctx, resp)
}

// handleOwnTicket starts a request with a ticket of this node at most once. A resend waits for the first send and gets its
// answer.
func (n *Node) handleOwnTicket(ctx *fasthttp.RequestCtx, out *outbound, t ticket.Ticket) {
	// All sends with one ticket are the same request and have the same priority value.
	out.requestID = t.Owner[:min(8, len(t.Owner))] + "-" + strconv.FormatUint(t.Seq, 10)
	out.priority.Value = out.priority.Value&call.FairShareValues | baseValue(n.ticketKeys[0], out.requestID)
	timer := time.NewTimer(out.deadline.Sub(n.clock.Now()))
	defer timer.Stop()
	decision, changed := n.ticketOwner.begin(n.clock.Now(), t, out)
	for {
		switch v := decision.(type) {
		case ticket.Run:
			n.runTicketed(ctx, out, t, v.Allowance)
			return
		case ticket.Replay:
			n.writeOutcome(ctx, out, v.Answer, out.op.Line.String())
			return
		case ticket.Refuse:
			n.refuseCaller(ctx, &out.op, refusal(v.Reason, v.Outcome, out.op.Line.String()))
			return
		case ticket.Join:
		}
		select {
		case <-changed:
			decision, changed = n.ticketOwner.recheck(n.clock.Now(), t, out)
		case <-timer.C:
			n.refuseCaller(ctx, &out.op, refusal(call.ReasonDeadline, call.OutcomeUnknown, out.op.TimeoutLine.String()))
			return
		}
	}
}

// runTicketed forwards the request and keeps its answer for resends. A caller that disconnects later does not cancel the
// request, because its resend fetches the answer.
func (n *Node) runTicketed(ctx *fasthttp.RequestCtx, out *outbound, t ticket.Ticket, allowance int) {
	if disconnect.Abandoned(ctx.Conn()) {
		n.ticketOwner.finish(n.clock.Now(), t.Seq, ticket.Answer{Outcome: call.OutcomeNotRun, Reason: call.ReasonCancelled}, allowance)
		n.refuseCaller(ctx, &out.op, refusal(call.ReasonCancelled, call.OutcomeNotRun, out.op.Line.String()))
		return
	}
	out.budget = n.resends.ticketBudget(allowance)
	if !n.entryAdmission.admit(n.clock.Now(), out.op.Name, out.priority) {
		n.ticketOwner.finish(n.clock.Now(), t.Seq, ticket.Answer{Outcome: call.OutcomeNotRun, Reason: call.ReasonShed}, allowance)
		n.refuseCaller(ctx, &out.op, refusal(call.ReasonShed, call.OutcomeNotRun, n.levelRule(out.op)))
		return
	}
	r := n.forward(out)
	n.ticketOwner.finish(n.clock.Now(), t.Seq, n.storableAnswer(&r), out.budget.remaining())
	n.finishRequest(ctx, out, r)
}

// storableAnswer returns the answer to store for resends. If reading the answer fails, it replaces the reply with a truncated
// storedAnswer.
func (n *Node) storableAnswer(r *reply) ticket.Answer {
	switch v := (*r).(type) {
	case storedAnswer:
		return v.answer
	case refused:
		return ticket.Answer{Outcome: v.refusal.Outcome, Reason: v.refusal.Reason}
	case answered:
		return n.storableResponse(r, v)
	default:
		return ticket.Answer{}
	}
}

func (n *Node) storableResponse(r *reply, v answered) ticket.Answer {
	a := ticket.Answer{Status: v.resp.StatusCode(), ContentType: string(v.resp.Header.ContentType()), Outcome: call.OutcomeRan}
	b, whole, err := readResponseBody(v.resp)
	switch {
	case err != nil:
		// The request ran, but its answer was cut off. The caller must not get a part of it.
		discard(v)
		a.Truncated = true
		*r = storedAnswer{a}
	case whole:
		a.Body = append([]byte(nil), b...)
		v.resp.SetBody(a.Body)
	default:
		a.Truncated = true
	}
	return a
}

// writeOutcome answers a resend with the stored answer or refusal.
func (n *Node) writeOutcome(ctx *fasthttp.RequestCtx, out *outbound, a ticket.Answer, rule string) {
	if a.Outcome != call.OutcomeRan || a.Status == 0 {
		n.refuseCaller(ctx, &out.op, refusal(a.Reason, a.Outcome, rule))
		return
	}
	n.writeStoredAnswer(ctx, a)
}

// writeStoredAnswer writes a stored answer. When its body was not stored, the refusal still reports that the request ran.
func (n *Node) writeStoredAnswer(ctx *fasthttp.RequestCtx, a ticket.Answer) {
	if a.Truncated {
		writeRefusal(ctx, refusal(call.ReasonBackendFailed, call.OutcomeRan, ""))
		return
	}
	ctx.SetStatusCode(a.Status)
	ctx.SetContentType(a.ContentType)
	ctx.Response.Header.Set(headerOutcome, call.OutcomeRan.String())
	ctx.SetBody(a.Body)
}
