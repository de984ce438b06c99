package node

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"lovagelane/admission"
	"lovagelane/call"
	"lovagelane/keys"
	"lovagelane/ticket"
)

// crashSpread is the time in which a crash report reaches all nodes: about 7 hops within a region, one of 30 ms between
// regions, and the processing on the way.
const crashSpread = 150 * time.Millisecond

// lovagelanePath is the prefix of the paths that nodes answer themselves.
var lovagelanePath = []byte("/lovagelane/")

// handleCalls serves the calls listener, which only nodes and operators of the deployment can reach.
func (n *Node) handleCalls(ctx *fasthttp.RequestCtx) {
	role, err := peerRole(ctx)
	if err != nil {
		n.metrics.Add("peers-refused", 1)
		ctx.Error(err.Error(), fasthttp.StatusForbidden)
		return
	}
	uri := ctx.Request.Header.RequestURI()
	switch {
	case role == keys.RoleOperator:
		n.handleOperator(ctx, string(uri))
	case bytes.HasPrefix(uri, ownedPath):
		n.handleOwned(ctx)
	case bytes.HasPrefix(uri, lovagelanePath):
		n.handleMessage(ctx, string(uri))
	default:
		n.handleCall(ctx)
	}
}

// peerRole returns the role that the peer's key carries.
func peerRole(ctx *fasthttp.RequestCtx) (keys.Role, error) {
	state := ctx.TLSConnectionState()
	if state == nil {
		return "", Err.New("the peer has no key: use one of the deployment")
	}
	return keys.PeerRole(*state)
}

// handleMessage answers the small messages between nodes.
func (n *Node) handleMessage(ctx *fasthttp.RequestCtx, path string) {
	if path != pathAttempt && path != pathCancel {
		ctx.Error("unknown path: upgrade the older node", fasthttp.StatusNotFound)
		return
	}
	q, err := n.attemptQuestion(ctx)
	if err != nil {
		n.metrics.Add("malformed-messages", 1)
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if path == pathCancel {
		n.cancelAttempt(q.Attempt)
		return
	}
	b, err := cbor.Marshal(n.stateOf(q))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(b)
}

func (n *Node) attemptQuestion(ctx *fasthttp.RequestCtx) (attemptQuestion, error) {
	var q attemptQuestion
	b, reason := readBody(ctx, bufferedBody)
	message, ok := b.(buffered)
	if reason != call.ReasonNone || !ok {
		return q, Err.New("the message is not readable: %s", reason)
	}
	if err := cbor.Unmarshal(message, &q); err != nil {
		return q, Err.Wrap(err)
	}
	if q.Version != call.MetaVersion || q.Attempt.Sender == "" {
		return q, Err.New("version %d or the attempt is not valid: upgrade the older node", q.Version)
	}
	return q, nil
}

func (n *Node) cancelAttempt(a call.Attempt) {
	f, ok := n.flights.withAttempt(a)
	if ok && !f.meta.NonIdempotent && f.cancel() {
		n.backend.cancel(f.context)
	}
}

// handleCall admits or refuses a call from another node and passes it to the own backend server.
func (n *Node) handleCall(ctx *fasthttp.RequestCtx) {
	arrived := n.clock.Now()
	meta, err := call.DecodeMeta(ctx.Request.Header.Peek(headerCall))
	if err != nil {
		n.metrics.Add("malformed-calls", 1)
		n.log.Warn("malformed-call", "peer", ctx.RemoteAddr(), "error", err)
		n.answerRefusal(ctx, nil, meta, refusal(call.ReasonBadRequest, call.OutcomeNotRun, ""))
		return
	}
	service, target := splitPath(ctx.Request.Header.RequestURI())
	if reason := n.mayServe(arrived, service, meta); reason != call.ReasonNone {
		n.answerRefusal(ctx, nil, meta, refusal(reason, call.OutcomeNotRun, meta.Rule))
		return
	}
	b, reason := readBody(ctx, 0)
	if reason != call.ReasonNone {
		n.answerRefusal(ctx, nil, meta, refusal(reason, call.OutcomeNotRun, meta.Rule))
		return
	}
	// The attempt is recorded before anything of it can run, and after its body is here, so that a fence that comes in
	// between finds it absent and keeps it from running.
	if meta.NonIdempotent {
		if reason := n.attempts.arrive(n.clock.Now(), meta.Attempt); reason != call.ReasonNone {
			outcome := call.OutcomeNotRun
			if reason == ticket.ReasonAttemptRepeated {
				outcome = call.OutcomeUnknown
			}
			n.answerRefusal(ctx, nil, meta, refusal(reason, outcome, meta.Rule))
			return
		}
	}
	f := n.flights.add(meta, arrived.Add(meta.Remaining()), n.requests.received(int(meta.Allowance)), n.rand.Uint64())
	n.runFlight(ctx, f, target, b)
}

// mayServe checks what can be checked without a queue.
func (n *Node) mayServe(now time.Time, service string, meta call.Meta) call.Reason {
	switch {
	case n.refusing.Load():
		return call.ReasonDraining
	case service != n.self.Service:
		return call.ReasonUnknownService
	case n.config.Load() == nil:
		return call.ReasonNoConfiguration
	case meta.Attempt.Receiver != n.self.ID:
		return call.ReasonFenced
	case !n.backend.isUp():
		return call.ReasonNoBackendServer
	case n.poison.refuses(now, meta.Digest, int(meta.Crashes)):
		return call.ReasonQuarantined
	}
	return call.ReasonNone
}

// runFlight queues a call, runs it and answers.
func (n *Node) runFlight(ctx *fasthttp.RequestCtx, f *flight, target string, b body) {
	queued := n.clock.Now()
	slot, reason := n.gate.enter(n.clock.Now, admission.Item{Priority: f.meta.Priority, Operation: f.meta.Operation,
		Caller: f.meta.Caller, Deadline: f.deadline}, f.cancelled)
	n.metrics.Observe("queue-time", n.clock.Now().Sub(queued))
	if reason != call.ReasonNone {
		n.endNotRun(ctx, f, refusal(reason, call.OutcomeNotRun, n.refusalRule(f.meta, reason)))
		return
	}
	f.setRunning()
	started := n.clock.Now()
	resp, err := n.callBackend(ctx, f, target, b)
	end := func() {
		s := admission.Sample{Latency: n.clock.Now().Sub(started), Failed: err != nil}
		n.gate.leave(n.clock.Now(), slot, s)
		n.flights.remove(f)
	}
	if err != nil {
		n.failFlight(ctx, f, err, end)
		return
	}
	n.answerFlight(ctx, f, resp, started, end)
}

// refusalRule names the line that a refusal comes from, or says that the limit was learned and which line bounds it.
func (n *Node) refusalRule(meta call.Meta, reason call.Reason) string {
	switch reason {
	case call.ReasonShed, call.ReasonQueueFull:
		if cfg := n.config.Load(); cfg != nil {
			if group, ok := cfg.BackendServers(n.self.Service, n.self.AvailabilityZone); ok {
				return "class " + meta.Rule + "; limit learned, bounded by " + group.SlotsLine.String()
			}
		}
	}
	return meta.Rule
}

// endNotRun answers a call that never reached the backend server.
func (n *Node) endNotRun(ctx *fasthttp.RequestCtx, f *flight, r call.Refusal) {
	if f.meta.NonIdempotent {
		n.attempts.finish(n.clock.Now(), f.meta.Attempt, ticket.Answer{Outcome: call.OutcomeNotRun, Reason: r.Reason})
	}
	n.flights.remove(f)
	n.answerRefusal(ctx, f, f.meta, r)
}

// callBackend passes a call to the own backend server and waits for the answer or the deadline.
func (n *Node) callBackend(ctx *fasthttp.RequestCtx, f *flight, target string, b body) (*fasthttp.Response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	copyRequestHeaders(&req.Header, &ctx.Request.Header)
	req.Header.SetMethodBytes(ctx.Method())
	req.SetRequestURI("http://" + n.backend.address + target)
	req.Header.Set(headerContext, f.context)
	remaining := f.deadline.Sub(n.clock.Now())
	req.Header.Set(headerDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	setBody(req, b)

	// The exchange stays on this goroutine: handing it to another one and back costs two wake-ups for each call. A
	// cancellation reaches the backend server from the goroutine that brings it.
	err := n.backend.client.Load().DoDeadline(req, resp, f.deadline)
	fasthttp.ReleaseRequest(req)
	if err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, err
	}
	return resp, nil
}

// failFlight answers a call for which the backend server gave no answer.
func (n *Node) failFlight(ctx *fasthttp.RequestCtx, f *flight, err error, end func()) {
	r := refusal(call.ReasonBackendFailed, call.OutcomeUnknown, "")
	switch {
	case errors.Is(err, errDial), errors.Is(err, fasthttp.ErrNoFreeConns):
		r = refusal(call.ReasonNoBackendServer, call.OutcomeNotRun, "")
	case errors.Is(err, fasthttp.ErrTimeout):
		r = refusal(call.ReasonDeadline, call.OutcomeUnknown, f.meta.Rule)
		f.cancel()
		n.backend.cancel(f.context)
	default:
		n.noteCrash()
		if !n.backend.isUp() || n.noteBrokenCall(f, err) {
			f.learn(f.level, max(int(f.meta.Crashes)+1, n.poison.crashes(n.clock.Now(), f.meta.Digest)))
			n.awaitSpread(f.deadline)
		}
	}
	end()
	if f.meta.NonIdempotent {
		n.attempts.finish(n.clock.Now(), f.meta.Attempt, ticket.Answer{Outcome: r.Outcome, Reason: r.Reason})
	}
	n.answerRefusal(ctx, f, f.meta, r)
}

// awaitSpread holds the answer to a call that crashed the backend server until the report of it has reached the other
// nodes, so that neither a retry nor a resend meets a node that has not heard of the crash.
func (n *Node) awaitSpread(deadline time.Time) {
	timer := time.NewTimer(min(crashSpread, deadline.Sub(n.clock.Now())))
	defer timer.Stop()
	<-timer.C
}

// answerFlight passes the backend server's answer on; the slot is freed when the whole answer has been read.
func (n *Node) answerFlight(ctx *fasthttp.RequestCtx, f *flight, resp *fasthttp.Response, started time.Time, end func()) {
	b, whole, err := takeBody(resp)
	if err != nil {
		fasthttp.ReleaseResponse(resp)
		n.failFlight(ctx, f, err, end)
		return
	}
	if reports := n.poison.answered(n.clock.Now(), f.meta.Digest); len(reports) > 0 {
		n.control.SpreadCrash(reports)
	}
	copyResponseHeaders(&ctx.Response.Header, &resp.Header)
	ctx.SetStatusCode(resp.StatusCode())
	answer := ticket.Answer{Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType()), Outcome: call.OutcomeRan}
	if whole {
		answer.Body = append([]byte(nil), b...)
		ctx.Response.SetBodyRaw(answer.Body)
		fasthttp.ReleaseResponse(resp)
		end()
	} else {
		answer.Truncated = true
		ctx.Response.SetBodyStream(&closingStream{Reader: resp.BodyStream(), done: func() {
			discard(answered{resp: resp})
			end()
		}}, resp.Header.ContentLength())
	}
	if f.meta.NonIdempotent {
		n.attempts.finish(n.clock.Now(), f.meta.Attempt, answer)
	}
	meta := n.answerMeta(f, f.meta)
	meta.Outcome = call.OutcomeRan
	meta.ServiceUS = uint32(min(n.clock.Now().Sub(started).Microseconds(), 1<<31))
	ctx.Response.Header.Set(headerAnswer, meta.Encode())
	n.metrics.Add("served", 1, f.meta.Operation)
}

// answerRefusal answers another node with a refusal.
func (n *Node) answerRefusal(ctx *fasthttp.RequestCtx, f *flight, m call.Meta, r call.Refusal) {
	n.metrics.Add("refusals", 1, string(r.Reason), m.Operation)
	writeRefusal(ctx, r)
	meta := n.answerMeta(f, m)
	meta.Outcome, meta.Reason, meta.Rule = r.Outcome, r.Reason, r.Rule
	ctx.Response.Header.Set(headerAnswer, meta.Encode())
}

// answerMeta reports level, load and the unused part of the retry allowance.
func (n *Node) answerMeta(f *flight, m call.Meta) call.AnswerMeta {
	level, load := n.gate.report()
	meta := call.AnswerMeta{Allowance: m.Allowance, Level: level, OwnLevel: level, Load: load, Crashes: m.Crashes}
	if f != nil {
		below, crashes := f.learned()
		meta.Level = call.MoreImportant(level, below)
		meta.Allowance, meta.Crashes = uint8(f.account.left()), uint8(crashes)
	}
	return meta
}
