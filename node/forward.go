package node

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/balance"
	"lovagelane/call"
	"lovagelane/inventory"
	"lovagelane/kernel"
	"lovagelane/ticket"
)

const (
	// minSilence is the least time without an answer after which the serving node is queried about an attempt.
	minSilence = 50 * time.Millisecond
	// silenceFactor times the hedge delay is the time without an answer after which the serving node is queried.
	silenceFactor = 3
	// answerMargin is the time after the deadline that a refusal needs to travel back.
	answerMargin = 20 * time.Millisecond
)

// outbound is a call that this node forwards to another service.
type outbound struct {
	op        inventory.Operation
	requestID string
	priority  call.Priority
	arrived   time.Time
	deadline  time.Time
	budget    *retryBudget
	depth     uint8
	crashes   int
	digest    uint64
	caller    string
	method    string
	target    string
	header    *fasthttp.RequestHeader
	body      body
	// cancelled is closed when the caller gives up. If it is nil, the call runs to its end.
	cancelled <-chan struct{}

	// Results of the attempts.
	level        call.Priority
	attemptCount int
}

// reply is the result of an outbound call: answered, storedAnswer or refused.
type reply interface{ reply() }

// answered is an answer of a backend server whose response body has not been forwarded yet.
type answered struct {
	resp *fasthttp.Response
	meta call.AnswerMeta
}

// storedAnswer replaces an answer whose response was lost. Either the serving node returned its stored copy to a query, or the
// answer is truncated and reports only that the call ran.
type storedAnswer struct{ answer ticket.Answer }

// refused is the result of a call without an answer.
type refused struct{ refusal call.Refusal }

func (answered) reply()     {}
func (storedAnswer) reply() {}
func (refused) reply()      {}

// forward sends a call to a backend server of its service and retries at others within the request's retry budget.
func (n *Node) forward(out *outbound) reply {
	out.level = call.LeastImportant
	if out.depth > call.MaxDepth {
		return refused{refusal(call.ReasonTooDeep, call.OutcomeNotRun, out.op.Line.String())}
	}
	c, err := n.choosers.get(n, out.op.Service)
	if err != nil {
		n.log.Error("no-chooser", "error", err)
		return refused{refusal(call.ReasonNoBackendServer, call.OutcomeNotRun, "settings")}
	}
	c.countCall()
	excluded := kernel.Set[string](nil)
	var last reply
	for {
		h, final := n.startAttempt(out, c, excluded)
		if final != nil {
			return selectReply(last, final)
		}
		result := h.wait()
		n.metrics.Add("attempts", int64(h.launchCount), out.op.Service)
		r, ok := result.(refused)
		if !ok {
			return result
		}
		last = selectReply(last, result)
		if !n.takeRetry(out, r.refusal) {
			return last
		}
		if r.refusal.Reason != call.ReasonFenced {
			// After a silent connection the backend server itself stays eligible.
			excluded = h.excluded
		}
		n.metrics.Add("retries", 1, out.op.Service)
	}
}

// selectReply returns the reply to report when several attempts failed. A refusal of an attempt that may have run takes
// precedence, so that a later "not run" does not hide it. An earlier refusal takes precedence over the lack of a further
// backend server.
func selectReply(last, current reply) reply {
	if last, ok := last.(refused); ok && last.refusal.Outcome != call.OutcomeNotRun {
		return last
	}
	if last, ok := last.(refused); ok {
		if current, ok := current.(refused); ok && current.refusal.Reason == call.ReasonNoBackendServer {
			return last
		}
	}
	return current
}

// takeRetry spends a retry from the budget if another attempt is allowed and can succeed.
func (n *Node) takeRetry(out *outbound, r call.Refusal) bool {
	if _, ok := out.body.(streamed); ok && r.Reason != call.ReasonNoBackendServer {
		return false
	}
	if r.Outcome != call.OutcomeNotRun && out.op.NonIdempotent {
		return false
	}
	switch r.Reason {
	case call.ReasonCancelled, call.ReasonDeadline, call.ReasonQuarantined, call.ReasonTooDeep, call.ReasonBadRequest,
		call.ReasonBodyTooLarge, call.ReasonRetriesSpent, call.ReasonUnknownService:
		return false
	}
	if n.quarantine.refuses(n.clock.Now(), out.digest, out.crashes) {
		return false
	}
	return out.budget.take()
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	attempt *sentAttempt
	reply   reply
	// feedback is the result as reported to the chooser.
	feedback balance.Result
}

// sentAttempt is an attempt that was sent to a serving node.
type sentAttempt struct {
	id      string
	attempt call.Attempt
	peer    *peer
	client  *fasthttp.HostClient
	token   uint64
	share   int
	started time.Time
	settled bool
	// misses counts the queries to which the serving node answered that it does not know the attempt.
	misses int
}

// hedgedAttempt is an attempt together with its hedged second attempt.
type hedgedAttempt struct {
	n           *Node
	out         *outbound
	chooser     *chooser
	results     chan attemptResult
	states      chan stateResult
	attempts    []*sentAttempt
	excluded    kernel.Set[string]
	launchCount int
	pending     int
	last        reply
	race        *race
}

// startAttempt chooses a backend server and sends it an attempt, or returns the refusal that ends the call.
func (n *Node) startAttempt(out *outbound, c *chooser, excluded kernel.Set[string]) (*hedgedAttempt, reply) {
	if !out.deadline.After(n.clock.Now()) {
		return nil, refused{refusal(call.ReasonDeadline, call.OutcomeNotRun, out.op.TimeoutLine.String())}
	}
	h := &hedgedAttempt{n: n, out: out, chooser: c, results: make(chan attemptResult, 2), states: make(chan stateResult, 2),
		excluded: excluded, race: &race{}}
	if reason := h.launch(); reason != call.ReasonNone {
		return nil, refused{refusal(reason, call.OutcomeNotRun, out.op.ClassLine.String())}
	}
	return h, nil
}

// launch sends the call to one more backend server.
func (h *hedgedAttempt) launch() call.Reason {
	n, now := h.n, h.n.clock.Now()
	choice, token := h.chooser.choose(now, balance.Query{Priority: h.out.priority, Exclude: h.excluded})
	chosen, ok := choice.(balance.Chosen)
	if !ok {
		return h.handleNoCandidate(choice.(balance.None))
	}
	address, ok := n.callsAddress(chosen.ID)
	if !ok {
		h.chooser.recordResult(now, chosen.ID, token, balance.Result{DialFailed: true})
		return call.ReasonNoBackendServer
	}
	p := n.peer(chosen.ID, address)
	a := &sentAttempt{id: chosen.ID, attempt: n.nextAttempt(chosen.ID), peer: p, client: p.current(), token: token, started: now,
		share: h.out.budget.allocate()}
	if chosen.CrossRegion {
		n.metrics.Add("cross-region-bytes", int64(h.out.body.size()), h.out.op.Service)
	}
	req := n.buildRequest(h.out, a)
	if !n.pool.Submit(func() { n.sendAttempt(h, a, req) }) {
		h.out.budget.returnUnused(a.share, a.share)
		h.chooser.recordResult(now, chosen.ID, token, balance.Result{Outcome: call.OutcomeNotRun, Reason: call.ReasonBusy})
		return call.ReasonBusy
	}
	h.attempts = append(h.attempts, a)
	h.excluded = h.excluded.With(chosen.ID)
	h.launchCount++
	h.out.attemptCount++
	h.pending++
	return call.ReasonNone
}

// handleNoCandidate records the admission level by which the backend servers would refuse this priority, so that it reaches
// the entry node as if one of them had answered.
func (h *hedgedAttempt) handleNoCandidate(none balance.None) call.Reason {
	if none.Reason == call.ReasonShed {
		h.out.level = call.MoreImportant(h.out.level, none.Level)
	}
	return none.Reason
}

func (n *Node) callsAddress(id string) (string, bool) {
	if id == n.self.ID {
		return n.self.Calls, true
	}
	m, ok := (*n.members.Load())[id]
	return m.Calls, ok
}

func (n *Node) buildRequest(out *outbound, a *sentAttempt) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	copyRequestHeaders(&req.Header, out.header)
	req.Header.SetMethod(out.method)
	req.SetRequestURI("http://" + a.peer.address + "/" + out.op.Service + out.target)
	req.Header.Set(headerCall, n.callMeta(out, a).Encode())
	setBody(req, out.body)
	return req
}

func (n *Node) callMeta(out *outbound, a *sentAttempt) call.Meta {
	return call.Meta{
		RequestID: out.requestID, Attempt: a.attempt, Operation: out.op.Name, Priority: out.priority,
		RemainingMS: uint32(max(out.deadline.Sub(a.started).Milliseconds(), 1)), Allowance: uint8(a.share),
		Depth: out.depth, Crashes: uint8(out.crashes), NonIdempotent: out.op.NonIdempotent, Digest: out.digest,
		Region: n.region(), Caller: out.caller, Rule: out.op.ClassLine.String(),
	}
}

// sendAttempt makes the HTTP request of an attempt on a worker and delivers its result.
func (n *Node) sendAttempt(h *hedgedAttempt, a *sentAttempt, req *fasthttp.Request) {
	resp := fasthttp.AcquireResponse()
	err := a.client.DoDeadline(req, resp, h.out.deadline.Add(answerMargin))
	fasthttp.ReleaseRequest(req)
	result := n.classifyResult(h.out, a, resp, err)
	h.chooser.recordResult(n.clock.Now(), a.id, a.token, result.feedback)
	if !h.race.deliver(h, result) {
		discard(result.reply)
	}
}

// classifyResult turns the result of an HTTP exchange into a reply and the feedback for the chooser.
func (n *Node) classifyResult(out *outbound, a *sentAttempt, resp *fasthttp.Response, err error) attemptResult {
	fb := balance.Result{Latency: n.clock.Now().Sub(a.started)}
	if err != nil {
		fasthttp.ReleaseResponse(resp)
		fb.DialFailed = errors.Is(err, errDial)
		return attemptResult{a, refused{transportRefusal(err)}, fb}
	}
	meta, err := call.DecodeAnswerMeta(resp.Header.Peek(headerAnswer))
	if err != nil {
		n.metrics.Add("malformed-answers", 1)
		discard(answered{resp: resp})
		return attemptResult{a, refused{refusal(call.ReasonBackendFailed, call.OutcomeUnknown, "")}, fb}
	}
	fb.Answered, fb.Outcome, fb.Reason, fb.Load, fb.Level = true, meta.Outcome, meta.Reason, meta.Load, meta.OwnLevel
	if meta.Reason == call.ReasonNone {
		return attemptResult{a, answered{resp, meta}, fb}
	}
	discard(answered{resp: resp})
	r := refusal(meta.Reason, meta.Outcome, meta.Rule)
	return attemptResult{a, remoteRefusal{refused{r}, meta}, fb}
}

// transportRefusal returns the refusal for an attempt that failed without an answer.
func transportRefusal(err error) call.Refusal {
	switch {
	case errors.Is(err, errDial):
		return refusal(call.ReasonNoBackendServer, call.OutcomeNotRun, "")
	case errors.Is(err, fasthttp.ErrTimeout):
		return refusal(call.ReasonDeadline, call.OutcomeUnknown, "")
	default:
		return refusal(call.ReasonBackendFailed, call.OutcomeUnknown, "")
	}
}

// remoteRefusal is a refusal by a serving node, with the metadata of its answer.
type remoteRefusal struct {
	refused
	meta call.AnswerMeta
}

// discard releases the response of an unused answer.
func discard(r reply) {
	if a, ok := r.(answered); ok && a.resp != nil {
		_ = a.resp.CloseBodyStream()
		fasthttp.ReleaseResponse(a.resp)
	}
}
