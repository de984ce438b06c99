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
	// listedNodes is the number of addresses that a caller is given to choose from.
	listedNodes = 8
	// maxCallerName and maxRequestID bound what callers state, in bytes.
	maxCallerName = 64
	maxRequestID  = 64
)

// handleCaller serves the callers listener: requests that enter the deployment.
func (n *Node) handleCaller(ctx *fasthttp.RequestCtx) {
	if string(ctx.Request.Header.RequestURI()) == pathNodes {
		n.writeNodes(ctx)
		return
	}
	if dropped := internalHeaders(&ctx.Request.Header); dropped > 0 {
		n.metrics.Add("internal-headers-dropped", int64(dropped))
	}
	n.outside.Add(1)
	defer n.outside.Add(-1)
	if n.refusing.Load() {
		ctx.SetConnectionClose()
		n.refuseCaller(ctx, nil, refusal(call.ReasonDraining, call.OutcomeNotRun, ""))
		return
	}
	n.enter(ctx, "")
}

// incoming is a request as it is matched with the rules.
type incoming struct {
	op     inventory.Operation
	target string
	body   body
}

// read matches a request with the rules and reads its body. It answers a request that cannot be carried and returns false.
func (n *Node) read(ctx *fasthttp.RequestCtx) (incoming, bool) {
	cfg := n.config.Load()
	if cfg == nil {
		n.refuseCaller(ctx, nil, refusal(call.ReasonNoConfiguration, call.OutcomeNotRun, ""))
		return incoming{}, false
	}
	name, target := splitPath(ctx.Request.Header.RequestURI())
	service, ok := cfg.Service(name)
	if !ok {
		n.refuseCaller(ctx, nil, refusal(call.ReasonUnknownService, call.OutcomeNotRun, ""))
		return incoming{}, false
	}
	path, ok := rulePath(ctx, name)
	if !ok {
		n.refuseCaller(ctx, nil, refusal(call.ReasonBadRequest, call.OutcomeNotRun, ""))
		return incoming{}, false
	}
	op := cfg.Operation(name, string(ctx.Method()), path)
	b, reason := readBody(ctx, service.MaxBody)
	if reason != call.ReasonNone {
		discardBody(ctx)
		ctx.SetConnectionClose()
		n.refuseCaller(ctx, &op, refusal(reason, call.OutcomeNotRun, service.Line.String()))
		return incoming{}, false
	}
	return incoming{op: op, target: target, body: b}, true
}

// enter takes a request into the deployment: class, value, deadline and retry account come from the rules. The caller is
// empty for a request from outside, whose claims are checked.
func (n *Node) enter(ctx *fasthttp.RequestCtx, caller string) {
	arrived := n.clock.Now()
	in, ok := n.read(ctx)
	if !ok {
		return
	}
	op := in.op
	out := n.outboundOf(ctx, in, arrived, caller)
	if n.poison.refuses(arrived, out.digest, 0) {
		n.refuseCaller(ctx, &op, refusal(call.ReasonQuarantined, call.OutcomeNotRun, op.Line.String()))
		return
	}
	if token := ctx.Request.Header.Peek(headerTicket); len(token) > 0 || op.NonIdempotent {
		n.enterWithTicket(ctx, out, string(token))
		return
	}
	n.enterIdempotent(ctx, out)
}

// outboundOf builds the call that a request from outside becomes.
func (n *Node) outboundOf(ctx *fasthttp.RequestCtx, in incoming, arrived time.Time, caller string) *outbound {
	op := in.op
	timeout := op.Timeout
	if stated, ok := statedDeadline(&ctx.Request.Header); ok && stated < timeout {
		timeout = stated
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
	out.digest = digestOf(out)
	value := n.pressures.value(arrived, op.Class, caller, baseValue(n.ticketKeys[0], out.requestID))
	out.priority = call.Priority{Rank: op.Rank, Value: value}
	return out
}

// callerName returns the name by which a caller's share is counted. A name that the rules tie to addresses counts only
// from those; other callers are known by their address.
func (n *Node) callerName(ctx *fasthttp.RequestCtx, stated string) string {
	address, _ := netip.AddrFromSlice(ctx.RemoteIP())
	address = address.Unmap()
	if stated == "" || len(stated) > maxCallerName {
		return address.String()
	}
	if known, ok := n.config.Load().Caller(stated); ok && !known.Allows(address) {
		n.metrics.Add("caller-names-refused", 1)
		return address.String()
	}
	return stated
}

// digestOf identifies a request by its content; a streamed body counts by its length.
func digestOf(out *outbound) uint64 {
	target := "/" + out.op.Service + out.target
	switch b := out.body.(type) {
	case buffered:
		return call.Digest(out.method, target, b)
	default:
		return call.Digest(out.method, target, strconv.AppendInt(nil, int64(b.size()), 10))
	}
}

// enterIdempotent carries a request that may run more than once, within the bound on its retries and resends.
func (n *Node) enterIdempotent(ctx *fasthttp.RequestCtx, out *outbound) {
	now := n.clock.Now()
	stated, _ := strconv.Atoi(string(ctx.Request.Header.Peek(headerResend)))
	send := retry.Send{Caller: out.caller, RequestID: string(ctx.Request.Header.Peek(headerRequestID)), Digest: out.digest, Stated: stated}
	a, resend, ok := n.requests.begin(now, send)
	// A send that no backend server was tried for is no retry: counting it would refuse callers after an overload.
	good := true
	defer func() { n.requests.end(n.clock.Now(), send, resend, good) }()
	if !ok {
		n.refuseCaller(ctx, &out.op, refusal(call.ReasonRetriesSpent, call.OutcomeNotRun, out.op.Line.String()))
		return
	}
	out.account = a
	if !n.pressures.admit(now, out.op.Name, out.priority) {
		n.refuseCaller(ctx, &out.op, refusal(call.ReasonShed, call.OutcomeNotRun, n.levelRule(out.op)))
		return
	}
	watch, stop := n.watch.Add(ctx.Conn())
	defer stop()
	out.cancelled = watch
	r := n.carry(out)
	if _, ok := r.(refused); ok {
		good = out.attempts == 0
	}
	n.finishCaller(ctx, out, r)
}

func (n *Node) levelRule(op inventory.Operation) string {
	return "class " + op.ClassLine.String() + "; level learned from the answers of " + op.Service
}

// finishCaller learns from the end of a call and answers the caller.
func (n *Node) finishCaller(ctx *fasthttp.RequestCtx, out *outbound, r reply) {
	n.pressures.learn(n.clock.Now(), out.op.Name, out.level)
	n.writeReply(ctx, out, r)
}

// writeReply passes the end of a call on to a caller or to a backend server.
func (n *Node) writeReply(ctx *fasthttp.RequestCtx, out *outbound, r reply) {
	switch r := r.(type) {
	case answered:
		n.metrics.Add("answered", 1, out.op.Name)
		n.recordAnswer(out, r.resp.StatusCode())
		copyResponseHeaders(&ctx.Response.Header, &r.resp.Header)
		ctx.SetStatusCode(r.resp.StatusCode())
		ctx.Response.Header.Set(headerOutcome, call.OutcomeRan.String())
		n.passBody(ctx, r.resp)
	case kept:
		n.recordAnswer(out, r.answer.Status)
		n.writeKept(ctx, r.answer)
	case refused:
		n.refuseCaller(ctx, &out.op, r.refusal)
	}
}

// passBody passes a response body on, as a stream when it is large.
func (n *Node) passBody(ctx *fasthttp.RequestCtx, resp *fasthttp.Response) {
	b, whole, err := takeBody(resp)
	switch {
	case err != nil:
		fasthttp.ReleaseResponse(resp)
		ctx.Response.Reset()
		writeRefusal(ctx, refusal(call.ReasonBackendFailed, call.OutcomeRan, ""))
	case whole:
		ctx.Response.SetBody(b)
		fasthttp.ReleaseResponse(resp)
	default:
		n.outside.Add(1)
		ctx.Response.SetBodyStream(&closingStream{Reader: resp.BodyStream(), done: func() {
			discard(answered{resp: resp})
			n.outside.Add(-1)
		}}, resp.Header.ContentLength())
	}
}

// refuseCaller answers with a refusal and counts it.
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

// writeNodes lists live nodes of the own region for callers.
func (n *Node) writeNodes(ctx *fasthttp.RequestCtx) {
	region := n.region()
	cfg := n.config.Load()
	nodes := []string{}
	for _, m := range *n.members.Load() {
		if m.State != membership.StateServing || m.Suspected || cfg == nil {
			continue
		}
		if r, _ := cfg.Region(m.AvailabilityZone); r == region && len(nodes) < listedNodes {
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
