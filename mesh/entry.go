package mesh

import (
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/call"
	"lovagelane/kernel"
	"lovagelane/routing"
)

const (
	// longestWait stands for the deadline of a request that states none, on a route without a timeout.
	longestWait = 30 * time.Second
	// answerMargin is how long after the deadline the answer of a backend server is still waited for: the backend server
	// works until the deadline, and its answer may cross regions.
	answerMargin = 50 * time.Millisecond
	// waitShare is the part of the objective that a request of the least importance may wait for a slot.
	waitShare = 0.25
	// runReserve is the number of typical run times that more important requests keep for their run.
	runReserve = 2
	// noConfigRetry is when a request may come back that met a node without a configuration.
	noConfigRetry = time.Second
	// maxIDText bounds the id of a request, in bytes.
	maxIDText = 256
)

// request is a request that entered at this node.
type request struct {
	id       string
	route    *routing.Route
	service  string
	arrived  time.Time
	deadline time.Time
	digest   uint64
	head     []byte
	body     []byte
	gone     <-chan struct{}
	// within is how long the request may wait for a slot in all, and waited how long it has.
	within, waited time.Duration
	// shortest is the shortest wait that a node without room told.
	shortest time.Duration
	// excluded are the nodes that are not asked again, and offered is how long the request could have waited at a node.
	excluded kernel.Set[string]
	offered  map[string]time.Duration
	// mayHaveRun is set once the answer of a backend server was lost.
	mayHaveRun bool
	// capped is set once a backend server took no more requests of the route.
	capped bool
	// sent counts the backend servers that the request was sent to.
	sent int
	// hops counts the nodes that were asked.
	hops int
}

// result is how a request ends: served, refusedResult or failedResult.
type result interface{ result() }

// served is an answer of a backend server.
type served struct{ answer answerMessage }

// refusedResult means that the request has not run and never will.
type refusedResult struct {
	why string
	// retryAfter is when the request may come back.
	retryAfter time.Duration
}

// failedResult means that the request may have run.
type failedResult struct {
	why     string
	timeout bool
}

func (served) result()        {}
func (refusedResult) result() {}
func (failedResult) result()  {}

// handleCaller serves the requests of callers and of the own backend server.
func (n *Node) handleCaller(ctx *fasthttp.RequestCtx) {
	n.requests.Add(1)
	defer n.requests.Add(-1)
	if n.stopping.Load() {
		ctx.SetConnectionClose()
	}
	r, res := n.read(ctx)
	if end := n.ends.Load(); res == nil && end != nil && r.deadline.After(*end) {
		res = refusedResult{why: "stopping", retryAfter: noConfigRetry}
	}
	if res == nil {
		gone, stop := n.watch.Add(ctx.Conn())
		r.gone = gone
		res = n.carry(r)
		stop()
	}
	n.write(ctx, r, res)
}

// read matches a request with the configuration, or returns how it ends.
func (n *Node) read(ctx *fasthttp.RequestCtx) (*request, result) {
	now := n.clock.Now()
	h := &ctx.Request.Header
	claims := n.deployment.ReadRequest(h)
	r := &request{id: claims.ID, arrived: now}
	cfg := n.config.Load()
	if cfg == nil {
		return r, refusedResult{why: "no-configuration", retryAfter: noConfigRetry}
	}
	if len(r.id) > maxIDText {
		return r, unroutable{status: fasthttp.StatusBadRequest, why: "long-id"}
	}
	path, _, _ := strings.Cut(string(h.RequestURI()), "?")
	route, ok := cfg.Match(string(h.Host()), path)
	if !ok {
		return r, unroutable{status: fasthttp.StatusNotFound, why: "no-route"}
	}
	r.route = route
	r.body = ctx.Request.Body()
	if limit := cfg.Limits().BodyBytes; limit > 0 && int64(len(r.body)) > limit {
		return r, unroutable{status: fasthttp.StatusRequestEntityTooLarge, why: "body-too-large"}
	}
	remaining := longestWait
	if claims.Remaining > 0 {
		remaining = claims.Remaining
	}
	if route.Timeout > 0 {
		remaining = min(remaining, route.Timeout)
	}
	r.deadline = now.Add(remaining)
	r.digest = call.Digest(string(h.Method()), string(h.Host())+string(h.RequestURI()), r.body)
	r.head = requestHead(h, len(r.body))
	n.plan(now, r, remaining)
	return r, nil
}

// plan chooses the service and how long the request may wait for a slot.
func (n *Node) plan(now time.Time, r *request, remaining time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r.service = n.splits.Next(r.route, n.rand)
	n.windows.Requested(now, r.service)
	r.within = waitOf(r.route, remaining, n.chooser.Typical(r.route.Name), n.config.Load().LeastRank())
}

// waitOf returns how long a request may wait for a slot. One of the least importance is told early that there is no room,
// while its caller has time to come back; others wait as long as they can still be answered, since they start first.
func waitOf(route *routing.Route, remaining, typical time.Duration, least int) time.Duration {
	objective := route.Objective
	if objective == 0 {
		objective = remaining
	}
	early := min(time.Duration(waitShare*float64(objective)), remaining/2)
	if route.Rank >= least {
		return early
	}
	return max(early, remaining-runReserve*typical)
}

// unroutable means that the configuration does not allow the request.
type unroutable struct {
	status int
	why    string
}

func (unroutable) result() {}

// write answers a caller and logs why when the request was not served.
func (n *Node) write(ctx *fasthttp.RequestCtx, r *request, res result) {
	switch res := res.(type) {
	case served:
		n.writeServed(ctx, r, res.answer)
	case refusedResult:
		after := max(res.retryAfter, minRetryAfter)
		ctx.Error(res.why, fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
		n.note("request-refused", r, fasthttp.StatusServiceUnavailable, res.why, "retry-after", after)
	case failedResult:
		status := fasthttp.StatusBadGateway
		if res.timeout {
			status = fasthttp.StatusGatewayTimeout
		}
		ctx.Error(res.why, status)
		n.note("request-failed", r, status, res.why)
	case unroutable:
		ctx.Error(res.why, res.status)
		n.note("request-not-routed", r, res.status, res.why, "host", string(ctx.Host()), "path", string(ctx.Path()))
	}
}

func (n *Node) writeServed(ctx *fasthttp.RequestCtx, r *request, a answerMessage) {
	h, err := parseAnswerHead(a.Head)
	if err != nil {
		n.write(ctx, r, failedResult{why: "answer-unreadable"})
		return
	}
	closing := ctx.Response.ConnectionClose()
	h.CopyTo(&ctx.Response.Header)
	ctx.Response.Header.ResetConnectionClose()
	if closing {
		ctx.Response.Header.SetConnectionClose()
	}
	ctx.Response.SetBodyRaw(a.Body)
	n.metrics.Add("served", 1, r.route.Name, strconv.Itoa(a.Status))
	n.metrics.Observe("request", n.clock.Now().Sub(r.arrived), r.route.Name)
	if a.Status >= fasthttp.StatusInternalServerError {
		n.note("request-failed-at-backend-server", r, a.Status, a.Why)
	}
}

// note counts and logs the end of a request.
func (n *Node) note(name string, r *request, status int, why string, pairs ...any) {
	route := ""
	line := []any{"status", status, "why", why}
	if r != nil {
		line = append(line, "request", r.id, "asked", r.hops, "sent", r.sent, "took", n.clock.Now().Sub(r.arrived),
			"waited", r.waited)
		if r.route != nil {
			route = r.route.Name
			line = append(line, "route", route, "service", r.service, "left", r.deadline.Sub(n.clock.Now()))
		}
	}
	n.metrics.Add(name, 1, why, route)
	n.log.Info(name, append(line, pairs...)...)
}

// refuseUnreadable answers what cannot be read as a request.
func (n *Node) refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var timeout net.Error
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	n.metrics.Add("unreadable-requests", 1, strconv.Itoa(status))
	ctx.Error(err.Error(), status)
}
