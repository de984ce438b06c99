package node

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/call"
	"lovagelane/inventory"
	"lovagelane/membership"
	"lovagelane/retry"
)

const (
	pathNodes = "/lovagelane/nodes"
	// maxListedNodes is the number of addresses of other nodes that a caller gets to choose from.
	maxListedNodes = 8
	// maxCallerName and maxRequestID bound the values that callers send, in bytes.
	maxCallerName = 64
	maxRequestID  = 64
)

// handleCaller serves the callers listener, where requests enter the deployment.
func (n *Node) handleCaller(ctx *fasthttp.RequestCtx) {
	if string(ctx.Request.Header.RequestURI()) == pathNodes {
		n.writeNodes(ctx)
		return
	}
	if dropped := countInternalHeaders(&ctx.Request.Header); dropped > 0 {
		n.metrics.Add("internal-headers-dropped", int64(dropped))
	}
	n.entryCount.Add(1)
	defer n.entryCount.Add(-1)
	if n.refusing.Load() {
		ctx.SetConnectionClose()
		n.refuseCaller(ctx, nil, refusal(call.ReasonDraining, call.OutcomeNotRun, ""))
		return
	}
	n.handleEntry(ctx, "")
}

// matchedRequest is a request with the operation that the rules assign to it.
type matchedRequest struct {
	op     inventory.Operation
	target string
	body   body
}

// matchRequest looks up the operation of a request in the rules and reads its body. If the request cannot be forwarded, it
// writes the refusal and returns false.
func (n *Node) matchRequest(ctx *fasthttp.RequestCtx) (matchedRequest, bool) {
	cfg := n.config.Load()
	if cfg == nil {
		n.refuseCaller(ctx, nil, refusal(call.ReasonNoConfiguration, call.OutcomeNotRun, ""))
		return matchedRequest{}, false
	}
	name, target := splitPath(ctx.Request.Header.RequestURI())
	service, ok := cfg.Service(name)
	if !ok {
		n.refuseCaller(ctx, nil, refusal(call.ReasonUnknownService, call.OutcomeNotRun, ""))
		return matchedRequest{}, false
	}
	path, ok := rulePath(ctx, name)
	if !ok {
		n.refuseCaller(ctx, nil, refusal(call.ReasonBadRequest, call.OutcomeNotRun, ""))
		return matchedRequest{}, false
	}
	op := cfg.Operation(name, string(ctx.Method()), path)
	b, reason := readBody(ctx, service.MaxBody, n.clock)
	if reason != call.ReasonNone {
		discardBody(ctx)
		ctx.SetConnectionClose()
		n.refuseCaller(ctx, &op, refusal(reason, call.OutcomeNotRun, service.Line.String()))
		return matchedRequest{}, false
	}
	return matchedRequest{op: op, target: target, body: b}, true
}

// handleEntry handles a request that enters the deployment. Class, priority value, deadline and retry budget come from the
// rules. Parameter caller is empty for a request of an external caller, whose name is read from its headers and checked.
func (n *Node) handleEntry(ctx *fasthttp.RequestCtx, caller string) {
	arrived := n.clock.Now()
	in, ok := n.matchRequest(ctx)
	if !ok {
		return
	}
	op := in.op
	out := n.newOutbound(ctx, in, arrived, caller)
	if n.quarantine.refuses(arrived, out.digest, 0) {
		n.refuseCaller(ctx, &op, refusal(call.ReasonQuarantined, call.OutcomeNotRun, op.Line.String()))
		return
	}
	if token := ctx.Request.Header.Peek(headerTicket); len(token) > 0 || op.NonIdempotent {
		n.handleTicketed(ctx, out, string(token))
		return
	}
	n.handleIdempotent(ctx, out)
}

// newOutbound builds the outbound call for an entry request.
func (n *Node) newOutbound(ctx *fasthttp.RequestCtx, in matchedRequest, arrived time.Time, caller string) *outbound {
	op := in.op
	timeout := op.Timeout
	if requested, ok := requestedTimeout(&ctx.Request.Header); ok && requested < timeout {
		timeout = requested
	}
	if caller == "" {
		caller = n.callerName(ctx, string(ctx.Request.Header.Peek(headerCaller)))
	}
	out := &outbound{
		op: op, arrived: arrived, deadline: arrived.Add(timeout), caller: caller, method: string(ctx.Method()),
		target: in.target, header: &ctx.Request.Header, body: in.body, requestID: string(ctx.Request.Header.Peek(headerRequestID)),
	}
	if out.requestID == "" || len(out.requestID) > maxRequestID {
		out.requestID = n.newRequestID()
	}
	out.digest = requestDigest(out)
	value := n.entryAdmission.priorityValue(arrived, op.Class, caller, baseValue(n.ticketKeys[0], out.requestID))
	out.priority = call.Priority{Rank: op.Rank, Value: value}
	return out
}

// callerName returns the name for which a caller's fair share is counted. A name that the rules bind to addresses is
// accepted only from those addresses. A caller without an accepted name is counted by its address.
func (n *Node) callerName(ctx *fasthttp.RequestCtx, name string) string {
	address, _ := netip.AddrFromSlice(ctx.RemoteIP())
	address = address.Unmap()
	if name == "" || len(name) > maxCallerName {
		return address.String()
	}
	if configured, ok := n.config.Load().Caller(name); ok && !configured.Allows(address) {
		n.metrics.Add("caller-names-refused", 1)
		return address.String()
	}
	return name
}

// requestDigest identifies a request by its content. A streamed body is represented by its length.
func requestDigest(out *outbound) uint64 {
	target := "/" + out.op.Service + out.target
	switch b := out.body.(type) {
	case buffered:
		return call.Digest(out.method, target, b)
	default:
		return call.Digest(out.method, target, strconv.AppendInt(nil, int64(b.size()), 10))
	}
}

// handleIdempotent forwards a request that may run more than once, within the bound on its retries and resends.
func (n *Node) handleIdempotent(ctx *fasthttp.RequestCtx, out *outbound) {
	now := n.clock.Now()
	stated, _ := strconv.Atoi(string(ctx.Request.Header.Peek(headerResend)))
	send := retry.Send{Caller: out.caller, RequestID: string(ctx.Request.Header.Peek(headerRequestID)), Digest: out.digest, Stated: stated}
	budget, resend, ok := n.resends.begin(now, send)
	// A send without an attempt at any backend server does not count as a retry. Otherwise callers would still be refused
	// after an overload has ended.
	gotAnswer := true
	defer func() { n.resends.end(n.clock.Now(), send, resend, gotAnswer) }()
	if !ok {
		n.refuseCaller(ctx, &out.op, refusal(call.ReasonRetriesSpent, call.OutcomeNotRun, out.op.Line.String()))
		return
	}
	out.budget = budget
	if !n.entryAdmission.admit(now, out.op.Name, out.priority) {
		n.refuseCaller(ctx, &out.op, refusal(call.ReasonShed, call.OutcomeNotRun, n.levelRule(out.op)))
		return
	}
	callerGone, stop := n.callerWatch.Add(ctx.Conn())
	defer stop()
	out.cancelled = callerGone
	r := n.forward(out)
	if _, ok := r.(refused); ok {
		gotAnswer = out.attemptCount == 0
	}
	n.finishRequest(ctx, out, r)
}

func (n *Node) levelRule(op inventory.Operation) string {
	return "class " + op.ClassLine.String() + "; level learned from the answers of " + op.Service
}

// finishRequest records the admission level that the answers to the call reported, and answers the caller.
func (n *Node) finishRequest(ctx *fasthttp.RequestCtx, out *outbound, r reply) {
	n.entryAdmission.learnLevel(n.clock.Now(), out.op.Name, out.level)
	n.writeReply(ctx, out, r)
}

// writeReply writes the reply of an outbound call to a caller or to the own backend server.
func (n *Node) writeReply(ctx *fasthttp.RequestCtx, out *outbound, r reply) {
	switch r := r.(type) {
	case answered:
		n.metrics.Add("answered", 1, out.op.Name)
		n.recordAnswer(out, r.resp.StatusCode())
		copyResponseHeaders(&ctx.Response.Header, &r.resp.Header)
		ctx.SetStatusCode(r.resp.StatusCode())
		ctx.Response.Header.Set(headerOutcome, call.OutcomeRan.String())
		n.writeResponseBody(ctx, r.resp)
	case storedAnswer:
		n.recordAnswer(out, r.answer.Status)
		n.writeStoredAnswer(ctx, r.answer)
	case refused:
		n.refuseCaller(ctx, &out.op, r.refusal)
	}
}

// writeResponseBody copies a response body to the caller, as a stream when it is large.
func (n *Node) writeResponseBody(ctx *fasthttp.RequestCtx, resp *fasthttp.Response) {
	b, whole, err := readResponseBody(resp)
	switch {
	case err != nil:
		fasthttp.ReleaseResponse(resp)
		ctx.Response.Reset()
		writeRefusal(ctx, refusal(call.ReasonBackendFailed, call.OutcomeRan, ""))
	case whole:
		ctx.Response.SetBody(b)
		fasthttp.ReleaseResponse(resp)
	default:
		n.entryCount.Add(1)
		ctx.Response.SetBodyStream(&closingStream{Reader: resp.BodyStream(), onClose: func() {
			discard(answered{resp: resp})
			n.entryCount.Add(-1)
		}}, resp.Header.ContentLength())
	}
}

// refuseCaller writes a refusal and counts it.
func (n *Node) refuseCaller(ctx *fasthttp.RequestCtx, op *inventory.Operation, r call.Refusal) {
	name := "none"
	if op != nil {
		name = op.Name
		if r.Rule == "" {
			r.Rule = op.Line.String()
		}
	}
	n.metrics.Add("refused", 1, string(r.Reason), name)
	n.recordRefusal(op, r)
	writeRefusal(ctx, r)
}

// writeNodes lists serving nodes of the own region, so that callers can choose among them.
func (n *Node) writeNodes(ctx *fasthttp.RequestCtx) {
	region := n.region()
	cfg := n.config.Load()
	nodes := []string{}
	for _, m := range *n.members.Load() {
		if m.State != membership.StateServing || m.Suspected || cfg == nil {
			continue
		}
		if r, _ := cfg.Region(m.AvailabilityZone); r == region && len(nodes) < maxListedNodes {
			nodes = append(nodes, m.Callers)
		}
	}
	if !n.draining.Load() {
		nodes = append(nodes, n.self.Callers)
	}
	b, err := json.Marshal(map[string][]string{"nodes": nodes})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
