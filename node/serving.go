package node

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"lovagelane/admission"
	"lovagelane/answers"
	"lovagelane/call"
	"lovagelane/keys"
	"lovagelane/ticket"
)

// crashSpreadTime is the time in which a crash report reaches all nodes: about 7 gossip hops within a region, one hop of 30
// ms between regions, and the processing on each hop.
const crashSpreadTime = 150 * time.Millisecond

// lovagelanePath is the prefix of the paths that nodes handle themselves.
var lovagelanePath = []byte("/lovagelane/")

// handleCalls serves the calls listener, which accepts only nodes and operators of the deployment.
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

// peerRole returns the role in the peer's certificate.
func peerRole(ctx *fasthttp.RequestCtx) (keys.Role, error) {
	state := ctx.TLSConnectionState()
	if state == nil {
		return "", Err.New("the peer has no key: use one of the deployment")
	}
	return keys.PeerRole(*state)
}

// handleMessage handles control messages of other nodes about attempts.
func (n *Node) handleMessage(ctx *fasthttp.RequestCtx, path string) {
	if path != pathAttempt && path != pathCancel {
		ctx.Error("unknown path: upgrade the older node", fasthttp.StatusNotFound)
		return
	}
	q, err := n.decodeAttemptQuery(ctx)
	if err != nil {
		n.metrics.Add("malformed-messages", 1)
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if path == pathCancel {
		n.cancelAttempt(q.Attempt)
		return
	}
	b, err := cbor.Marshal(n.answerQuery(q))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(b)
}

func (n *Node) decodeAttemptQuery(ctx *fasthttp.RequestCtx) (attemptQuery, error) {
	var q attemptQuery
	b, reason := readBody(ctx, maxBufferedBody, n.clock)
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
	f, ok := n.flights.findByAttempt(a)
	if ok && !f.meta.NonIdempotent && f.cancel() {
		n.backend.cancel(f.contextID)
	}
}

// handleCall admits or refuses a call from another node and passes an admitted one to the own backend server.
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
	if reason := n.checkCall(arrived, service, meta); reason != call.ReasonNone {
		n.answerRefusal(ctx, nil, meta, refusal(reason, call.OutcomeNotRun, meta.Rule))
		return
	}
	b, reason := readBody(ctx, 0, n.clock)
	if reason != call.ReasonNone {
		n.answerRefusal(ctx, nil, meta, refusal(reason, call.OutcomeNotRun, meta.Rule))
		return
	}
	// The attempt is recorded after its body has arrived and before any of it can run. A fence in between finds the attempt
	// absent and keeps it from running.
	if meta.NonIdempotent {
		if reason := n.attempts.register(n.clock.Now(), meta.Attempt); reason != call.ReasonNone {
			outcome := call.OutcomeNotRun
			if reason == ticket.ReasonAttemptRepeated {
				outcome = call.OutcomeUnknown
			}
			n.answerRefusal(ctx, nil, meta, refusal(reason, outcome, meta.Rule))
			return
		}
	}
	f := n.flights.add(meta, arrived.Add(meta.Remaining()), n.resends.receivedBudget(int(meta.Allowance)), n.rand.Uint64())
	n.runFlight(ctx, f, target, b)
}

// checkCall returns the reason for refusing a call before it is queued, or ReasonNone.
func (n *Node) checkCall(now time.Time, service string, meta call.Meta) call.Reason {
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
	case n.quarantine.refuses(now, meta.Digest, int(meta.Crashes)):
		return call.ReasonQuarantined
	}
	return call.ReasonNone
}

// runFlight queues a call, runs it and writes the answer.
func (n *Node) runFlight(ctx *fasthttp.RequestCtx, f *flight, target string, b body) {
	queued := n.clock.Now()
	slot, reason := n.gate.acquire(n.clock.Now, admission.Item{Priority: f.meta.Priority, Operation: f.meta.Operation,
		Caller: f.meta.Caller, Deadline: f.deadline}, f.cancelled)
	n.metrics.Observe("queue-time", n.clock.Now().Sub(queued))
	if reason != call.ReasonNone {
		n.refuseFlight(ctx, f, refusal(reason, call.OutcomeNotRun, n.refusalRule(f.meta, reason)))
		return
	}
	f.setRunning()
	started := n.clock.Now()
	resp, err := n.callBackend(ctx, f, target, b)
	end := func() {
		s := admission.Sample{Latency: n.clock.Now().Sub(started), Failed: err != nil}
		n.gate.release(n.clock.Now(), slot, s)
		n.flights.remove(f)
	}
	if err != nil {
		n.failFlight(ctx, f, err, end)
		return
	}
	n.answerFlight(ctx, f, resp, started, end)
}

// refusalRule names the line of the inventory or rules that a refusal comes from. For a learned limit it names the line that
// bounds the limit.
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

// refuseFlight refuses a call that never reached the backend server.
func (n *Node) refuseFlight(ctx *fasthttp.RequestCtx, f *flight, r call.Refusal) {
	if f.meta.NonIdempotent {
		n.attempts.finish(n.clock.Now(), f.meta.Attempt, ticket.Answer{Outcome: call.OutcomeNotRun, Reason: r.Reason})
	}
	n.flights.remove(f)
	n.answerRefusal(ctx, f, f.meta, r)
}

// callBackend sends a call to the own backend server and waits for the answer or the deadline.
func (n *Node) callBackend(ctx *fasthttp.RequestCtx, f *flight, target string, b body) (*fasthttp.Response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	copyRequestHeaders(&req.Header, &ctx.Request.Header)
	req.Header.SetMethodBytes(ctx.Method())
	req.SetRequestURI("http://" + n.backend.address + target)
	req.Header.Set(headerContext, f.contextID)
	remaining := f.deadline.Sub(n.clock.Now())
	req.Header.Set(headerDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	setBody(req, b)

	// The HTTP exchange stays on this goroutine, since handing it to another one and back costs two wake-ups per call. A
	// cancellation is sent to the backend server by the goroutine that receives it.
	err := n.backend.client.Load().DoDeadline(req, resp, f.deadline)
	_, resendable := b.(buffered)
	for resendable && errors.Is(err, errStrayBytes) {
		// The client has closed the connection that the call was not sent on.
		err = n.backend.client.Load().DoDeadline(req, resp, f.deadline)
	}
	fasthttp.ReleaseRequest(req)
	if err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, err
	}
	if id := resp.Header.Peek(headerContext); len(id) > 0 && string(id) != f.contextID {
		n.log.Warn("stray-answer", "request", f.meta.RequestID, "context", f.contextID)
		n.metrics.Add("stray-answers", 1)
		resp.SetConnectionClose()
		discard(answered{resp: resp})
		return nil, errStrayAnswer
	}
	return resp, nil
}

// failFlight refuses a call for which the backend server gave no answer.
func (n *Node) failFlight(ctx *fasthttp.RequestCtx, f *flight, err error, end func()) {
	r := refusal(call.ReasonBackendFailed, call.OutcomeUnknown, "")
	var malformed answers.MalformedError
	if errors.As(err, &malformed) {
		n.log.Warn("answer-head-malformed", "request", f.meta.RequestID, "error", malformed)
		n.metrics.Add("malformed-answer-heads", 1)
	}
	switch {
	case errors.Is(err, errDial), errors.Is(err, fasthttp.ErrNoFreeConns):
		r = refusal(call.ReasonNoBackendServer, call.OutcomeNotRun, "")
	case errors.Is(err, errStrayBytes):
		r = refusal(call.ReasonBusy, call.OutcomeNotRun, "")
	case errors.Is(err, errStrayAnswer):
	case errors.Is(err, fasthttp.ErrTimeout):
		r = refusal(call.ReasonDeadline, call.OutcomeUnknown, f.meta.Rule)
		f.cancel()
		n.backend.cancel(f.contextID)
	default:
		n.reportCrash()
		if !n.backend.isUp() || n.reportConnectionLoss(f, err) {
			f.recordDownstream(f.level, max(int(f.meta.Crashes)+1, n.quarantine.crashCount(n.clock.Now(), f.meta.Digest)))
			n.awaitCrashSpread(f.deadline)
		}
	}
	end()
	if f.meta.NonIdempotent {
		n.attempts.finish(n.clock.Now(), f.meta.Attempt, ticket.Answer{Outcome: r.Outcome, Reason: r.Reason})
	}
	n.answerRefusal(ctx, f, f.meta, r)
}

// awaitCrashSpread delays the answer to a call that crashed the backend server until the crash report has reached the other
// nodes, so that no retry or resend arrives at a node without the report.
func (n *Node) awaitCrashSpread(deadline time.Time) {
	timer := time.NewTimer(min(crashSpreadTime, deadline.Sub(n.clock.Now())))
	defer timer.Stop()
	<-timer.C
}

// answerFlight forwards the backend server's answer. The slot is freed when the whole answer has been read.
func (n *Node) answerFlight(ctx *fasthttp.RequestCtx, f *flight, resp *fasthttp.Response, started time.Time, end func()) {
	b, whole, err := readResponseBody(resp)
	if err != nil {
		fasthttp.ReleaseResponse(resp)
		n.failFlight(ctx, f, err, end)
		return
	}
	if reports := n.quarantine.recordAnswer(n.clock.Now(), f.meta.Digest); len(reports) > 0 {
		n.control.FloodCrashes(reports)
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
		ctx.Response.SetBodyStream(&closingStream{Reader: resp.BodyStream(), onClose: func() {
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

// answerRefusal refuses a call from another node.
func (n *Node) answerRefusal(ctx *fasthttp.RequestCtx, f *flight, m call.Meta, r call.Refusal) {
	n.metrics.Add("refusals", 1, string(r.Reason), m.Operation)
	writeRefusal(ctx, r)
	meta := n.answerMeta(f, m)
	meta.Outcome, meta.Reason, meta.Rule = r.Outcome, r.Reason, r.Rule
	ctx.Response.Header.Set(headerAnswer, meta.Encode())
}

// answerMeta returns the answer metadata: admission level, load and the unused part of the retry allowance.
func (n *Node) answerMeta(f *flight, m call.Meta) call.AnswerMeta {
	level, load := n.gate.levelAndLoad()
	meta := call.AnswerMeta{Allowance: m.Allowance, Level: level, OwnLevel: level, Load: load, Crashes: m.Crashes}
	if f != nil {
		downstreamLevel, crashes := f.downstream()
		meta.Level = call.MoreImportant(level, downstreamLevel)
		meta.Allowance, meta.Crashes = uint8(f.budget.remaining()), uint8(crashes)
	}
	return meta
}
