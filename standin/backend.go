package standin

import (
	"encoding/json"
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/kernel"
)

const (
	headerContext   = "Lovagelane-Context"
	headerDeadline  = "Lovagelane-Deadline-Ms"
	headerRequestID = "Lovagelane-Request-Id"
	headerPoison    = "Poison"
	headerSend      = "Send"

	// coldStartFactor multiplies the service time during the cold start.
	coldStartFactor = 5
	// loadSampleInterval is the interval between the load samples that lagging reports are taken from.
	loadSampleInterval = 200 * time.Millisecond
	// crashExitStatus is the exit status of a backend server after a poisoned request.
	crashExitStatus = 3
)

// BackendOptions configures a backend server.
type BackendOptions struct {
	Service string
	// Slots is the maximum number of calls that run in parallel. Further calls wait in a queue; load reports show only
	// the sum of running and waiting calls.
	Slots int
	// QueueLimit is the maximum number of waiting calls; further calls are answered with 503. 0 means no limit.
	QueueLimit int
	// Connections is the maximum number of open connections; further connections are reset. 0 means no limit.
	Connections int
	ServiceTime time.Duration
	// Fixed makes every call take ServiceTime. By default, service times are exponentially distributed with that mean.
	Fixed bool
	// StragglerShare is the fraction of the calls that take StragglerFactor times longer.
	StragglerShare, StragglerFactor float64
	// ColdStart is the time after the start in which the server reports itself unhealthy and calls take longer.
	ColdStart time.Duration
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// Node is the address of the backend listener of the backend server's node.
	Node  string
	Calls []PlannedCall
	// Parallel sends the planned calls concurrently instead of sequentially.
	Parallel bool
	// Retries is the maximum number of retries of a failed planned call, sent without backoff.
	Retries int
	Seed    uint64
	// Journal is a file to which each start of a call is appended as a JSON line; empty means none.
	Journal string
	// Echo makes the server return the request body instead of an Answer.
	Echo bool
	// Crash terminates the process; nil means os.Exit.
	Crash func(status int)
}

// BackendFaults is the request body of POST /standin/faults on a backend server. A fault whose field is absent keeps its
// setting.
type BackendFaults struct {
	// SlowFactor multiplies the service time. One below 1 makes the server faster.
	SlowFactor *float64 `json:"slow-factor,omitempty"`
	// Knee is the share of the slots beyond which the service time grows with the square of the running calls, so that more of
	// them do less work. 0 removes it.
	Knee *float64 `json:"knee,omitempty"`
	// StallMS blocks all requests for that time, health checks and load reports included.
	StallMS *int64 `json:"stall-ms,omitempty"`
	// Drain refuses new calls with 503 and lets the calls in flight finish.
	Drain *bool `json:"drain,omitempty"`
	// Unhealthy makes health checks fail without any other effect.
	Unhealthy *bool `json:"unhealthy,omitempty"`
	// ReportInFlight overrides the calls in flight in load reports with a false value; a negative value removes the
	// override.
	ReportInFlight *int `json:"report-in-flight,omitempty"`
}

// LoadReport is the response body of GET /load.
type LoadReport struct {
	InFlight int `json:"in-flight"`
	Slots    int `json:"slots"`
}

// Answer is the response body of a successful call.
type Answer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Request string `json:"request"`
	// Straggler is set if the call was randomly selected to take longer.
	Straggler bool `json:"straggler,omitempty"`
}

type loadSample struct {
	at       time.Time
	inFlight int
}

// BackendServer is an HTTP server that runs a bounded number of calls in parallel.
type BackendServer struct {
	opt    BackendOptions
	clock  kernel.Clock
	rand   *kernel.Rand
	slots  chan struct{}
	start  time.Time
	client *fasthttp.HostClient

	inFlight atomic.Int64
	waiting  atomic.Int64

	starts startLog

	mu             sync.Mutex
	activeCalls    map[string][]*activeCall
	samples        []loadSample
	slowFactor     float64
	knee           float64
	stallUntil     time.Time
	drain          bool
	unhealthy      bool
	reportInFlight int
}

// NewBackendServer returns a backend server; Serve starts it.
func NewBackendServer(opt BackendOptions, clock kernel.Clock) *BackendServer {
	if opt.Slots < 1 {
		opt.Slots = 1
	}
	if opt.Crash == nil {
		opt.Crash = os.Exit
	}
	return &BackendServer{
		opt:            opt,
		clock:          clock,
		rand:           kernel.NewRand(opt.Seed),
		slots:          make(chan struct{}, opt.Slots),
		start:          clock.Now(),
		client:         newClient(opt.Node),
		activeCalls:    map[string][]*activeCall{},
		slowFactor:     1,
		reportInFlight: -1,
		starts:         startLog{journal: opt.Journal},
	}
}

// Serve handles requests on ln until the group stops.
func (b *BackendServer) Serve(g *kernel.Group, ln net.Listener) {
	if b.opt.Connections > 0 {
		ln = &limitedListener{Listener: ln, limit: int64(b.opt.Connections)}
	}
	serve(g, "backend-server", newServer(b.handle), ln)
	g.Go("load-samples", b.sampleLoad)
}

func (b *BackendServer) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path != "/standin/faults" && path != "/standin/ran" {
		b.waitWhileStalled()
	}
	switch path {
	case "/health":
		b.answerHealth(ctx)
	case "/load":
		answerJSON(ctx, fasthttp.StatusOK, b.loadReport())
	case "/lovagelane/cancel":
		b.cancel(string(ctx.Request.Header.Peek(headerContext)))
	case "/standin/faults":
		var f BackendFaults
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		b.SetFaults(f)
	case "/standin/ran":
		answerJSON(ctx, fasthttp.StatusOK, b.StartCounts())
	default:
		b.handleCall(ctx, path)
	}
}

// SetFaults sets the faults whose fields are present in f.
func (b *BackendServer) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f.SlowFactor != nil {
		b.slowFactor = *f.SlowFactor
	}
	if f.Knee != nil {
		b.knee = *f.Knee
	}
	if f.StallMS != nil {
		b.stallUntil = b.clock.Now().Add(time.Duration(*f.StallMS) * time.Millisecond)
	}
	if f.Drain != nil {
		b.drain = *f.Drain
	}
	if f.Unhealthy != nil {
		b.unhealthy = *f.Unhealthy
	}
	if f.ReportInFlight != nil {
		b.reportInFlight = *f.ReportInFlight
	}
}

// StartCounts returns the counts of the calls started so far.
func (b *BackendServer) StartCounts() StartCounts { return b.starts.snapshot() }

// InFlight returns the number of running and waiting calls.
func (b *BackendServer) InFlight() int { return int(b.inFlight.Load()) }

func (b *BackendServer) inColdStart() bool { return b.clock.Now().Sub(b.start) < b.opt.ColdStart }

func (b *BackendServer) answerHealth(ctx *fasthttp.RequestCtx) {
	b.mu.Lock()
	unhealthy := b.drain || b.unhealthy
	b.mu.Unlock()
	if unhealthy || b.inColdStart() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (b *BackendServer) draining() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drain
}

func (b *BackendServer) waitWhileStalled() {
	for {
		b.mu.Lock()
		d := b.stallUntil.Sub(b.clock.Now())
		b.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(d)
	}
}

// drawServiceTime draws a random service time and reports whether the call is a straggler.
func (b *BackendServer) drawServiceTime() (d time.Duration, straggler bool) {
	factor := 1.0
	if !b.opt.Fixed {
		factor = -math.Log(1 - b.rand.Float64())
	}
	if b.opt.StragglerShare > 0 && b.rand.Float64() < b.opt.StragglerShare {
		straggler = true
		factor *= b.opt.StragglerFactor
	}
	if b.inColdStart() {
		factor *= coldStartFactor
	}
	b.mu.Lock()
	factor *= b.slowFactor
	if best := b.knee * float64(b.opt.Slots); best > 0 {
		excess := max(1, float64(len(b.slots))/best)
		factor *= excess * excess
	}
	b.mu.Unlock()
	return time.Duration(factor * float64(b.opt.ServiceTime)), straggler
}

func (b *BackendServer) handleCall(ctx *fasthttp.RequestCtx, path string) {
	if b.draining() {
		ctx.SetConnectionClose()
		ctx.Error("draining", fasthttp.StatusServiceUnavailable)
		return
	}
	if n := b.opt.QueueLimit; n > 0 && b.waiting.Load() >= int64(n) {
		ctx.Error("overloaded", fasthttp.StatusServiceUnavailable)
		return
	}
	b.inFlight.Add(1)
	defer b.inFlight.Add(-1)

	call := newActiveCall(ctx, b.clock.Now())
	b.register(call)
	defer b.unregister(call)
	defer call.stopTimer()

	b.waiting.Add(1)
	acquired := call.acquire(b.slots)
	b.waiting.Add(-1)
	if !acquired {
		ctx.Error("gave up before the start: "+call.reason(), fasthttp.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()

	if err := b.starts.record(identityOf(ctx), string(ctx.Method()), path, string(ctx.Request.Header.Peek(headerSend))); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	if isPoisoned(ctx, path) {
		b.opt.Crash(crashExitStatus)
	}
	d, straggler := b.drawServiceTime()
	if !call.sleep(d) {
		ctx.Error("gave up while running: "+call.reason(), fasthttp.StatusGatewayTimeout)
		return
	}
	b.waitWhileStalled()
	failed := b.makePlannedCalls(ctx, path, call)
	if failed != nil {
		answerJSON(ctx, fasthttp.StatusBadGateway, failed)
		return
	}
	if b.opt.Echo {
		ctx.SetBody(ctx.PostBody())
		return
	}
	answerJSON(ctx, fasthttp.StatusOK, Answer{Service: b.opt.Service, Path: path, Request: identityOf(ctx).Request,
		Straggler: straggler})
}

func isPoisoned(ctx *fasthttp.RequestCtx, path string) bool {
	return strings.HasPrefix(path, "/poison") || len(ctx.Request.Header.Peek(headerPoison)) > 0
}

func (b *BackendServer) register(call *activeCall) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.activeCalls[call.context] = append(b.activeCalls[call.context], call)
}

func (b *BackendServer) unregister(call *activeCall) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var remaining []*activeCall
	for _, other := range b.activeCalls[call.context] {
		if other != call {
			remaining = append(remaining, other)
		}
	}
	if len(remaining) == 0 {
		delete(b.activeCalls, call.context)
		return
	}
	b.activeCalls[call.context] = remaining
}

func (b *BackendServer) cancel(context string) {
	if context == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, call := range b.activeCalls[context] {
		call.cancel()
	}
}

// activeCall is a waiting or running call.
type activeCall struct {
	context  string
	deadline time.Time
	// timer fires at the deadline; without a deadline, timer and expired are nil.
	timer          *time.Timer
	expired        <-chan time.Time
	cancelled      chan struct{}
	cancelOnce     sync.Once
	deadlinePassed bool
}

func newActiveCall(ctx *fasthttp.RequestCtx, now time.Time) *activeCall {
	c := &activeCall{context: string(ctx.Request.Header.Peek(headerContext)), cancelled: make(chan struct{})}
	if c.context != "" {
		ctx.Response.Header.Set(headerContext, c.context)
	}
	if ms, err := strconv.ParseInt(string(ctx.Request.Header.Peek(headerDeadline)), 10, 64); err == nil {
		d := time.Duration(ms) * time.Millisecond
		c.deadline = now.Add(d)
		c.timer = time.NewTimer(d)
		c.expired = c.timer.C
	}
	return c
}

func (c *activeCall) cancel() { c.cancelOnce.Do(func() { close(c.cancelled) }) }

func (c *activeCall) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
	}
}

func (c *activeCall) reason() string {
	if c.deadlinePassed {
		return "deadline passed"
	}
	return "cancelled"
}

// acquire takes a slot. It returns false if the call is cancelled or its deadline passes first.
func (c *activeCall) acquire(slots chan struct{}) bool {
	select {
	case <-c.cancelled:
		return false
	case <-c.expired:
		c.deadlinePassed = true
		return false
	case slots <- struct{}{}:
		return true
	}
}

// sleep waits for d. It returns false if the call is cancelled or its deadline passes first.
func (c *activeCall) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.cancelled:
		return false
	case <-c.expired:
		c.deadlinePassed = true
		return false
	case <-t.C:
		return true
	}
}
