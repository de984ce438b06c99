package mesh

import (
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/account"
	"lovagelane/allowance"
	"lovagelane/call"
	"lovagelane/intake"
	"lovagelane/kernel"
	"lovagelane/memory"
	"lovagelane/routing"
)

const (
	// defaultTimeout is the timeout of a request that states no deadline, on a route without a timeout.
	defaultTimeout = 30 * time.Second
	// maxRequestTime limits the time that a caller may give a request.
	maxRequestTime = time.Hour
	// answerMargin is how long a node waits for an answer after the deadline: the backend server may work until the
	// deadline, and its answer may cross regions.
	answerMargin = 50 * time.Millisecond
	// queueWaitShare is the part of its latency objective that a request of the lowest priority may be queued.
	queueWaitShare = 0.25
	// runTimeReserve is the number of typical run times that requests of higher priority reserve for running.
	runTimeReserve = 2
	// notReadyRetryAfter is the Retry-After of a node that has no configuration or is stopping.
	notReadyRetryAfter = time.Second
	// maxIDBytes limits the length of a request id.
	maxIDBytes = 256
)

// request is a request that entered the mesh at this node.
type request struct {
	id    string
	route *routing.Route
	// account is the client account of the caller, and rank the importance of the request.
	account    account.Account
	rank       int
	service    string
	arrived    time.Time
	deadline   time.Time
	digest     uint64
	head       []byte
	body       []byte
	callerGone <-chan struct{}
	// maxWait is how long the request may wait for a slot in total, and waited how long it has waited.
	maxWait, waited time.Duration
	// shortestWait is the shortest expected queue wait that a busy node reported, at least minRetryAfter.
	shortestWait time.Duration
	// excluded holds the nodes that are not tried again, and offeredWait, by node, how long the last call sent there could be
	// queued.
	excluded    kernel.Set[string]
	offeredWait map[string]time.Duration
	// vain holds the nodes of other regions at which the request would most likely fail.
	vain kernel.Set[string]
	// takeAnswer takes room for a small answer, as intake.Exchange.TakeAnswer does.
	takeAnswer func(wait time.Duration, size int64) bool
	// delivery is the memory reserved for the answer.
	delivery *memory.Reservation
	// repeated is the probability that a repeated run has made the request, which may be a call of the own backend server.
	repeated float64
	// token is what the request took of the quota of its account.
	token allowance.Token
	// mayHaveRun is set once a backend server's answer was lost.
	mayHaveRun bool
	// capped is set once a node refused the request because of the cap of its route.
	capped bool
	// overShare is set if the last busy node had no slot for the request because its account has used up its share there.
	overShare bool
	// sent counts the backend servers that the request was sent to.
	sent int
	// nodesTried counts the calls sent to nodes.
	nodesTried int
}

// result is the result of a request: servedResult, refusedResult, overQuotaResult, failedResult or unroutableResult.
type result interface{ result() }

// servedResult is an answer of a backend server.
type servedResult struct{ answer answerMessage }

// refusedResult means that the request has not run and will not run.
type refusedResult struct {
	reason string
	// retryAfter is the delay after which the caller may retry.
	retryAfter time.Duration
}

// failedResult means that the request failed and may have run.
type failedResult struct {
	reason  string
	timeout bool
}

func (servedResult) result()  {}
func (refusedResult) result() {}
func (failedResult) result()  {}

// handleCaller handles requests of callers and outgoing requests of the own backend server.
func (n *Node) handleCaller(x *intake.Exchange) {
	r, res := n.matchRequest(x.Request, x.ReadTime)
	if cutoff := n.requestCutoff.Load(); res == nil && cutoff != nil && r.deadline.After(*cutoff) {
		res = refusedResult{reason: "stopping", retryAfter: notReadyRetryAfter}
	}
	if res == nil && !r.route.Idempotent && !x.AwaitTurn() {
		return
	}
	if len(r.body) > memory.FreeBytes {
		x.Request.ResetBody() // The request holds the body, and may replace it.
	}
	if res == nil {
		r.callerGone, r.takeAnswer = x.Gone, x.TakeAnswer
		if res = n.takeQuota(r); res == nil {
			res = n.forward(r)
			n.recordCallEnd(r, res)
			n.returnQuota(r, res)
			n.holdDelivery(x, r, res)
		}
	}
	n.writeResult(x, r, res)
}

// matchRequest validates a request and matches it to a route. It returns a result if the request cannot be forwarded. The time in
// which its body was read counts against its deadline.
func (n *Node) matchRequest(req *fasthttp.Request, readTime time.Duration) (*request, result) {
	now := n.clock.Now()
	h := &req.Header
	meta := n.deployment.ReadRequest(h)
	r := &request{id: meta.ID, arrived: now}
	cfg := n.config.Load()
	if cfg == nil {
		return r, refusedResult{reason: "no-configuration", retryAfter: notReadyRetryAfter}
	}
	if len(r.id) > maxIDBytes {
		return r, unroutableResult{status: fasthttp.StatusBadRequest, reason: "long-id"}
	}
	route, remaining, ok := findRoute(cfg, h, meta.Remaining)
	if !ok {
		return r, unroutableResult{status: fasthttp.StatusNotFound, reason: "no-route"}
	}
	caller, ok := cfg.Identify(route, meta.Key)
	if !ok {
		r.route = route
		return r, unroutableResult{status: fasthttp.StatusUnauthorized, reason: "unknown-key"}
	}
	r.setRoute(cfg, route, caller)
	r.body = req.Body()
	if limit := cfg.Limits().BodyBytes; limit > 0 && int64(len(r.body)) > limit {
		return r, unroutableResult{status: fasthttp.StatusRequestEntityTooLarge, reason: "body-too-large"}
	}
	remaining = max(remaining-readTime, 0)
	r.deadline = now.Add(remaining)
	r.digest = call.Digest(string(h.Method()), string(h.Host())+string(h.RequestURI()), r.body)
	r.head = requestHead(h, len(r.body), func(h *fasthttp.RequestHeader) {
		if cfg.Accounts().Len() > 0 {
			n.deployment.RemoveIdentity(h)
		}
	})
	n.planRequest(now, r, remaining)
	return r, nil
}

// setRoute sets the route and the account of a request, and with them its rank.
func (r *request) setRoute(cfg *routing.Config, route *routing.Route, caller account.Account) {
	r.route, r.account, r.rank = route, caller, cfg.Rank(route, caller)
}

// findRoute returns the route of a request and the time that it has, of which its caller states the given one, or 0 for none.
func findRoute(cfg *routing.Config, h *fasthttp.RequestHeader, stated time.Duration) (*routing.Route, time.Duration, bool) {
	path, _, _ := strings.Cut(string(h.RequestURI()), "?")
	route, ok := cfg.Match(string(h.Host()), path)
	if !ok {
		return nil, 0, false
	}
	remaining := defaultTimeout
	if stated > 0 {
		remaining = min(stated, maxRequestTime)
	}
	if route.Timeout > 0 {
		remaining = min(remaining, route.Timeout)
	}
	return route, remaining, true
}

// planRequest selects the service by the weights of the route and sets how long the request may wait for a slot.
func (n *Node) planRequest(now time.Time, r *request, remaining time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r.service = n.splits.Next(r.route, n.rand)
	if r.account.Name != "" || r.service == n.service {
		n.retryBudgets.CountRequest(now, r.service)
	} else {
		r.repeated = n.retryBudgets.CountCall(now, r.service)
	}
	r.maxWait = maxQueueWait(r.route, r.rank, remaining, n.chooser.TypicalRunTime(r.route.Name), n.config.Load().LeastImportantRank())
}

// maxQueueWait returns how long a request may wait for a slot. A request of the lowest priority is refused early, while its
// caller still has time to retry. Others wait as long as they can still be answered in time, since they start first.
func maxQueueWait(route *routing.Route, rank int, remaining, typical time.Duration, leastRank int) time.Duration {
	objective := route.Objective
	if objective == 0 {
		objective = remaining
	}
	earlyWait := min(time.Duration(queueWaitShare*float64(objective)), remaining/2)
	if rank >= leastRank {
		return earlyWait
	}
	return max(earlyWait, remaining-runTimeReserve*typical)
}

// unroutableResult means that the request matches no route, has no valid API key or violates a limit.
type unroutableResult struct {
	status int
	reason string
}

func (unroutableResult) result() {}

// writeResult writes the response to the caller, and logs and counts every failure.
func (n *Node) writeResult(x *intake.Exchange, r *request, res result) {
	switch res := res.(type) {
	case servedResult:
		n.writeAnswer(x, r, res.answer)
	case refusedResult:
		retryAfter := max(res.retryAfter, minRetryAfter)
		writeError(x.Response, fasthttp.StatusServiceUnavailable, res.reason)
		x.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterValue(retryAfter))
		n.logOutcome("request-refused", r, fasthttp.StatusServiceUnavailable, res.reason, "retry-after", retryAfter)
		n.countAccount(r, "refused/"+res.reason, r.waited)
	case overQuotaResult:
		n.writeOverQuota(x.Response, r, res)
	case failedResult:
		status := fasthttp.StatusBadGateway
		if res.timeout {
			status = fasthttp.StatusGatewayTimeout
		}
		writeError(x.Response, status, res.reason)
		n.logOutcome("request-failed", r, status, res.reason)
		n.countAccount(r, "failed/"+res.reason, r.waited)
	case unroutableResult:
		writeError(x.Response, res.status, res.reason)
		if res.status == fasthttp.StatusUnauthorized {
			x.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
		}
		n.logOutcome("request-not-routed", r, res.status, res.reason, "host", string(x.Request.Header.Host()),
			"path", string(x.Request.Header.RequestURI()))
	}
}

// retryAfterValue returns the value of a Retry-After header.
func retryAfterValue(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) }

// writeError writes an answer of the node itself.
func writeError(resp *fasthttp.Response, status int, text string) {
	resp.Reset()
	resp.SetStatusCode(status)
	resp.Header.SetContentType("text/plain; charset=utf-8")
	resp.SetBodyString(text)
}

func (n *Node) writeAnswer(x *intake.Exchange, r *request, a answerMessage) {
	h, err := parseAnswerHead(a.Head)
	if err != nil {
		n.writeResult(x, r, failedResult{reason: "answer-unreadable"})
		return
	}
	h.CopyTo(&x.Response.Header)
	x.Response.Header.ResetConnectionClose()
	x.Response.SetBodyRaw(a.Body)
	n.metrics.Add("served", 1, r.route.Name, strconv.Itoa(a.Status))
	n.metrics.Observe("request", n.clock.Now().Sub(r.arrived), r.route.Name)
	n.countAccount(r, "served", r.waited+time.Duration(a.WaitedMicros)*time.Microsecond)
	if a.Status >= fasthttp.StatusInternalServerError {
		n.logOutcome("request-failed-at-backend-server", r, a.Status, a.Reason)
	}
}

// countAccount counts the outcome of a request, and the time for which it waited for a slot, for its account.
func (n *Node) countAccount(r *request, outcome string, waited time.Duration) {
	if r.account.Name == "" {
		return
	}
	n.accounts.Add(r.account.Name, outcome, 1)
	n.accounts.Add(r.account.Name, "waited-ms", waited.Milliseconds())
}

// logOutcome logs and counts the outcome of a request.
func (n *Node) logOutcome(event string, r *request, status int, reason string, pairs ...any) {
	route := ""
	fields := []any{"status", status, "why", reason}
	if r != nil {
		fields = append(fields, "request", r.id, "asked", r.nodesTried, "sent", r.sent, "took", n.clock.Now().Sub(r.arrived),
			"waited", r.waited)
		if r.route != nil {
			route = r.route.Name
			fields = append(fields, "route", route, "service", r.service, "left", r.deadline.Sub(n.clock.Now()))
		}
		if r.account.Name != "" {
			fields = append(fields, "account", r.account.Name, "rank", r.rank)
		}
	}
	n.metrics.Add(event, 1, reason, route)
	n.log.Info(event, append(fields, pairs...)...)
}

// handleUnreadable answers input of callers that cannot be parsed as a request.
func (n *Node) handleUnreadable(resp *fasthttp.Response, err error) {
	status := fasthttp.StatusBadRequest
	var timeout net.Error
	var smallBuffer *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, intake.ErrNoMemory):
		writeError(resp, fasthttp.StatusServiceUnavailable, "no-memory")
		resp.Header.Set(fasthttp.HeaderRetryAfter, retryAfterValue(notReadyRetryAfter))
		return
	case errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &smallBuffer):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	n.metrics.Add("unreadable-requests", 1, strconv.Itoa(status))
	writeError(resp, status, err.Error())
}
