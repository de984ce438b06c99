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
	// shortestSilence is the least time without an answer after which the serving node is asked about an attempt.
	shortestSilence = 50 * time.Millisecond
	// usualFactor times the usual slow answer is the time without an answer after which the serving node is asked.
	usualFactor = 3
	// answerMargin is the time beyond the deadline that a refusal needs to travel back.
	answerMargin = 20 * time.Millisecond
)

// outbound is a call that this node carries to another service.
type outbound struct {
	op        inventory.Operation
	requestID string
	priority  call.Priority
	deadline  time.Time
	account   *account
	depth     uint8
	crashes   int
	digest    uint64
	caller    string
	method    string
	target    string
	header    *fasthttp.RequestHeader
	body      body
	// cancelled is closed when the caller gives up; nil means that the call is carried to its end.
	cancelled <-chan struct{}

	// What the attempts brought back.
	level call.Priority
}

// reply is the end of a carried call: answered, kept or refused.
type reply interface{ reply() }

// answered is an answer of a backend server, with the response still to be passed on.
type answered struct {
	resp *fasthttp.Response
	meta call.AnswerMeta
}

// kept is an answer that the serving node had kept because the connection it belonged to went silent.
type kept struct{ answer ticket.Answer }

// refused is a call without an answer.
type refused struct{ refusal call.Refusal }

func (answered) reply() {}
func (kept) reply()     {}
func (refused) reply()  {}

// carry sends a call to a backend server of its service and tries others within the request's retry account.
func (n *Node) carry(out *outbound) reply {
	out.level = call.LeastImportant
	if out.depth > call.MaxDepth {
		return refused{refusal(call.ReasonTooDeep, call.OutcomeNotRun, out.op.Line.String())}
	}
	c, err := n.choosers.get(n, out.op.Service)
	if err != nil {
		n.log.Error("no-chooser", "error", err)
		return refused{refusal(call.ReasonNoBackendServer, call.OutcomeNotRun, "settings")}
	}
	c.called()
	excluded := kernel.Set[string](nil)
	var last reply
	for {
		t, stop := n.startTry(out, c, excluded)
		if stop != nil {
			return worse(last, stop)
		}
		result := t.wait()
		n.metrics.Add("attempts", int64(t.launched), out.op.Service)
		r, ok := result.(refused)
		if !ok {
			return result
		}
		last = worse(last, result)
		if !n.mayRetry(out, r.refusal) {
			return last
		}
		if r.refusal.Reason != call.ReasonFenced {
			// After a silent connection the backend server itself is as good as before.
			excluded = t.excluded
		}
		n.metrics.Add("retries", 1, out.op.Service)
	}
}

// worse returns the refusal that says less about "not run": an earlier attempt that may have run must not be hidden.
func worse(last, now reply) reply {
	if last, ok := last.(refused); ok && last.refusal.Outcome != call.OutcomeNotRun {
		return last
	}
	if last, ok := last.(refused); ok {
		if now, ok := now.(refused); ok && now.refusal.Reason == call.ReasonNoBackendServer {
			return last
		}
	}
	return now
}

// mayRetry takes a retry from the account when another attempt is allowed and worthwhile.
func (n *Node) mayRetry(out *outbound, r call.Refusal) bool {
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
	if n.poison.refuses(n.clock.Now(), out.digest, out.crashes) {
		return false
	}
	return out.account.take()
}

// attemptResult is what became of one attempt.
type attemptResult struct {
	try   *launched
	reply reply
	// end is what the chooser is told.
	end balance.Result
}

// launched is one attempt on its way.
type launched struct {
	id      string
	attempt call.Attempt
	peer    *peer
	client  *fasthttp.HostClient
	token   uint64
	share   int
	started time.Time
	settled bool
	// misses counts how often the serving node did not know the attempt.
	misses int
}

// try is one attempt with its hedge.
type try struct {
	n        *Node
	out      *outbound
	chooser  *chooser
	results  chan attemptResult
	states   chan stateAnswer
	attempts []*launched
	excluded kernel.Set[string]
	launched int
	pending  int
	last     reply
	race     *race
}

// startTry chooses a backend server and launches an attempt, or returns the refusal that ends the call.
func (n *Node) startTry(out *outbound, c *chooser, excluded kernel.Set[string]) (*try, reply) {
	if !out.deadline.After(n.clock.Now()) {
		return nil, refused{refusal(call.ReasonDeadline, call.OutcomeNotRun, out.op.TimeoutLine.String())}
	}
	t := &try{n: n, out: out, chooser: c, results: make(chan attemptResult, 2), states: make(chan stateAnswer, 2),
		excluded: excluded, race: &race{}}
	if reason := t.launch(); reason != call.ReasonNone {
		return nil, refused{refusal(reason, call.OutcomeNotRun, out.op.ClassLine.String())}
	}
	return t, nil
}

// launch sends the call to one more backend server.
func (t *try) launch() call.Reason {
	n, now := t.n, t.n.clock.Now()
	choice, token := t.chooser.choose(now, balance.Query{Priority: t.out.priority, Exclude: t.excluded})
	chosen, ok := choice.(balance.Chosen)
	if !ok {
		return choice.(balance.None).Reason
	}
	address, ok := n.callsAddress(chosen.ID)
	if !ok {
		t.chooser.finished(now, chosen.ID, token, balance.Result{DialFailed: true})
		return call.ReasonNoBackendServer
	}
	p := n.peer(chosen.ID, address)
	l := &launched{id: chosen.ID, attempt: n.nextAttempt(chosen.ID), peer: p, client: p.current(), token: token, started: now,
		share: t.out.account.share()}
	if chosen.CrossRegion {
		n.metrics.Add("cross-region-bytes", int64(t.out.body.size()), t.out.op.Service)
	}
	req := n.buildRequest(t.out, l)
	if !n.pool.Submit(func() { n.send(t, l, req) }) {
		t.out.account.giveBack(l.share, l.share)
		t.chooser.finished(now, chosen.ID, token, balance.Result{Outcome: call.OutcomeNotRun, Reason: call.ReasonBusy})
		return call.ReasonBusy
	}
	t.attempts = append(t.attempts, l)
	t.excluded = t.excluded.With(chosen.ID)
	t.launched++
	t.pending++
	return call.ReasonNone
}

func (n *Node) callsAddress(id string) (string, bool) {
	if id == n.self.ID {
		return n.self.Calls, true
	}
	m, ok := (*n.members.Load())[id]
	return m.Calls, ok
}

func (n *Node) buildRequest(out *outbound, l *launched) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	copyRequestHeaders(&req.Header, out.header)
	req.Header.SetMethod(out.method)
	req.SetRequestURI("http://" + l.peer.address + "/" + out.op.Service + out.target)
	req.Header.Set(headerCall, n.meta(out, l).Encode())
	setBody(req, out.body)
	return req
}

func (n *Node) meta(out *outbound, l *launched) call.Meta {
	return call.Meta{
		RequestID: out.requestID, Attempt: l.attempt, Operation: out.op.Name, Priority: out.priority,
		RemainingMS: uint32(max(out.deadline.Sub(l.started).Milliseconds(), 1)), Allowance: uint8(l.share),
		Depth: out.depth, Crashes: uint8(out.crashes), NonIdempotent: out.op.NonIdempotent, Digest: out.digest,
		Region: n.region(), Caller: out.caller, Rule: out.op.ClassLine.String(),
	}
}

// send runs on a worker: it makes the request and reports what became of it.
func (n *Node) send(t *try, l *launched, req *fasthttp.Request) {
	resp := fasthttp.AcquireResponse()
	err := l.client.DoDeadline(req, resp, t.out.deadline.Add(answerMargin))
	fasthttp.ReleaseRequest(req)
	result := n.judge(t.out, l, resp, err)
	t.chooser.finished(n.clock.Now(), l.id, l.token, result.end)
	if !t.race.finish(t, result) {
		discard(result.reply)
	}
}

// judge turns the end of an HTTP exchange into a reply and into what the chooser learns.
func (n *Node) judge(out *outbound, l *launched, resp *fasthttp.Response, err error) attemptResult {
	end := balance.Result{Latency: n.clock.Now().Sub(l.started)}
	if err != nil {
		fasthttp.ReleaseResponse(resp)
		end.DialFailed = errors.Is(err, errDial)
		return attemptResult{l, refused{lostRefusal(err)}, end}
	}
	meta, err := call.DecodeAnswerMeta(resp.Header.Peek(headerAnswer))
	if err != nil {
		n.metrics.Add("malformed-answers", 1)
		discard(answered{resp: resp})
		return attemptResult{l, refused{refusal(call.ReasonBackendFailed, call.OutcomeUnknown, "")}, end}
	}
	end.Answered, end.Outcome, end.Reason, end.Load, end.Level = true, meta.Outcome, meta.Reason, meta.Load, meta.OwnLevel
	if meta.Reason == call.ReasonNone {
		return attemptResult{l, answered{resp, meta}, end}
	}
	discard(answered{resp: resp})
	r := refusal(meta.Reason, meta.Outcome, meta.Rule)
	return attemptResult{l, refusedWith{refused{r}, meta}, end}
}

// lostRefusal is the refusal for an attempt without an answer.
func lostRefusal(err error) call.Refusal {
	switch {
	case errors.Is(err, errDial):
		return refusal(call.ReasonNoBackendServer, call.OutcomeNotRun, "")
	case errors.Is(err, fasthttp.ErrTimeout):
		return refusal(call.ReasonDeadline, call.OutcomeUnknown, "")
	default:
		return refusal(call.ReasonBackendFailed, call.OutcomeUnknown, "")
	}
}

// refusedWith is a refusal that came from a serving node, with what it reported.
type refusedWith struct {
	refused
	meta call.AnswerMeta
}

// discard frees the response of an answer that nobody takes.
func discard(r reply) {
	if a, ok := r.(answered); ok && a.resp != nil {
		_ = a.resp.CloseBodyStream()
		fasthttp.ReleaseResponse(a.resp)
	}
}
