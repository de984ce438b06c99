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

	// coldFactor is how much longer work takes during the cold start.
	coldFactor = 5
	// loadSampleInterval is how often the load for lagging reports is sampled.
	loadSampleInterval = 200 * time.Millisecond
	// crashStatus is the exit status of a backend server that a poisoned request crashed.
	crashStatus = 3
)

// BackendOptions describe one backend server.
type BackendOptions struct {
	Service string
	// Slots is how many calls are worked on at once; further ones wait in a queue that no report shows.
	Slots int
	// QueueLimit is how many calls may wait before further ones are answered 503; 0 means no limit.
	QueueLimit int
	// Connections is the size of the connection table: further connections are reset; 0 means no limit.
	Connections int
	ServiceTime time.Duration
	// Fixed makes every call take ServiceTime instead of an exponential time with that mean.
	Fixed bool
	// A share of StragglerShare of the calls takes StragglerFactor times longer.
	StragglerShare, StragglerFactor float64
	// ColdStart is how long after the start the health is bad and work takes longer.
	ColdStart time.Duration
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// Node is the address of the backend listener of the node beside the backend server.
	Node  string
	Calls []PlannedCall
	// Parallel sends the planned calls at once instead of one after the other.
	Parallel bool
	// Retries is how often the backend server itself resends a planned call that failed, at once.
	Retries int
	Seed    uint64
	// Journal is a file to which each start of work is appended as a JSON line; empty means none.
	Journal string
	// Echo answers with the request body instead of an Answer.
	Echo bool
	// Crash ends the process; nil means os.Exit.
	Crash func(status int)
}

// BackendFaults switches faults on or off; absent fields stay as they are.
type BackendFaults struct {
	// SlowFactor multiplies the service time.
	SlowFactor *float64 `json:"slow-factor,omitempty"`
	// StallMS stops all progress for that time, health and load included.
	StallMS *int64 `json:"stall-ms,omitempty"`
	// Drain refuses new calls with 503 and lets the ones in flight end.
	Drain *bool `json:"drain,omitempty"`
	// Unhealthy makes the health bad and changes nothing else.
	Unhealthy *bool `json:"unhealthy,omitempty"`
	// ReportInFlight is a misleading number for the load report; a negative one ends it.
	ReportInFlight *int `json:"report-in-flight,omitempty"`
}

// LoadReport is the answer to GET /load.
type LoadReport struct {
	InFlight int `json:"in-flight"`
	Slots    int `json:"slots"`
}

// Answer is the body of a good answer.
type Answer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Request string `json:"request"`
	// Straggler tells that the work was drawn to take longer.
	Straggler bool `json:"straggler,omitempty"`
}

type loadSample struct {
	at       time.Time
	inFlight int
}

// BackendServer is an HTTP server with a hard limit on parallel work.
type BackendServer struct {
	opt    BackendOptions
	clock  kernel.Clock
	rand   *kernel.Rand
	slots  chan struct{}
	start  time.Time
	client *fasthttp.HostClient

	inFlight atomic.Int64
	waiting  atomic.Int64

	ran ranLog

	mu             sync.Mutex
	work           map[string][]*work
	samples        []loadSample
	slowFactor     float64
	stallUntil     time.Time
	drain          bool
	unhealthy      bool
	reportInFlight int
}

// NewBackendServer returns a backend server that has not started to listen.
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
		work:           map[string][]*work{},
		slowFactor:     1,
		reportInFlight: -1,
		ran:            ranLog{journal: opt.Journal},
	}
}

// Serve answers requests on ln until the group stops.
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
		b.waitForStall()
	}
	switch path {
	case "/health":
		b.health(ctx)
	case "/load":
		answerJSON(ctx, fasthttp.StatusOK, b.load())
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
		answerJSON(ctx, fasthttp.StatusOK, b.Ran())
	default:
		b.call(ctx, path)
	}
}

// SetFaults switches faults on or off.
func (b *BackendServer) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f.SlowFactor != nil {
		b.slowFactor = *f.SlowFactor
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

// Ran returns what the backend server has run so far.
func (b *BackendServer) Ran() Ran { return b.ran.read() }

// InFlight returns the number of calls that run or wait.
func (b *BackendServer) InFlight() int { return int(b.inFlight.Load()) }

func (b *BackendServer) cold() bool { return b.clock.Now().Sub(b.start) < b.opt.ColdStart }

func (b *BackendServer) health(ctx *fasthttp.RequestCtx) {
	b.mu.Lock()
	bad := b.drain || b.unhealthy
	b.mu.Unlock()
	if bad || b.cold() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (b *BackendServer) draining() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.drain
}

func (b *BackendServer) waitForStall() {
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

// serviceTime draws the time that the next call takes and whether it is a straggler.
func (b *BackendServer) serviceTime() (d time.Duration, straggler bool) {
	f := 1.0
	if !b.opt.Fixed {
		f = -math.Log(1 - b.rand.Float64())
	}
	if b.opt.StragglerShare > 0 && b.rand.Float64() < b.opt.StragglerShare {
		straggler = true
		f *= b.opt.StragglerFactor
	}
	if b.cold() {
		f *= coldFactor
	}
	b.mu.Lock()
	f *= b.slowFactor
	b.mu.Unlock()
	return time.Duration(f * float64(b.opt.ServiceTime)), straggler
}

func (b *BackendServer) call(ctx *fasthttp.RequestCtx, path string) {
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

	w := newWork(ctx, b.clock.Now())
	b.register(w)
	defer b.unregister(w)
	defer w.stop()

	b.waiting.Add(1)
	got := w.acquire(b.slots)
	b.waiting.Add(-1)
	if !got {
		ctx.Error("gave up before the start: "+w.reason(), fasthttp.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()

	if err := b.ran.add(identify(ctx), string(ctx.Method()), path, string(ctx.Request.Header.Peek(headerSend))); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	if poisoned(ctx, path) {
		b.opt.Crash(crashStatus)
	}
	d, straggler := b.serviceTime()
	if !w.sleep(d) {
		ctx.Error("gave up while running: "+w.reason(), fasthttp.StatusGatewayTimeout)
		return
	}
	b.waitForStall()
	failed := b.sendPlanned(ctx, path, w)
	if failed != nil {
		answerJSON(ctx, fasthttp.StatusBadGateway, failed)
		return
	}
	if b.opt.Echo {
		ctx.SetBody(ctx.PostBody())
		return
	}
	answerJSON(ctx, fasthttp.StatusOK, Answer{Service: b.opt.Service, Path: path, Request: identify(ctx).Request,
		Straggler: straggler})
}

func poisoned(ctx *fasthttp.RequestCtx, path string) bool {
	return strings.HasPrefix(path, "/poison") || len(ctx.Request.Header.Peek(headerPoison)) > 0
}

func (b *BackendServer) register(w *work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work[w.context] = append(b.work[w.context], w)
}

func (b *BackendServer) unregister(w *work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rest []*work
	for _, o := range b.work[w.context] {
		if o != w {
			rest = append(rest, o)
		}
	}
	if len(rest) == 0 {
		delete(b.work, w.context)
		return
	}
	b.work[w.context] = rest
}

func (b *BackendServer) cancel(context string) {
	if context == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.work[context] {
		w.cancel()
	}
}

// work is one call that waits or runs.
type work struct {
	context  string
	deadline time.Time
	// timer fires at the deadline; its channel is nil without one.
	timer     *time.Timer
	expired   <-chan time.Time
	cancelled chan struct{}
	once      sync.Once
	late      bool
}

func newWork(ctx *fasthttp.RequestCtx, now time.Time) *work {
	w := &work{context: string(ctx.Request.Header.Peek(headerContext)), cancelled: make(chan struct{})}
	if ms, err := strconv.ParseInt(string(ctx.Request.Header.Peek(headerDeadline)), 10, 64); err == nil {
		d := time.Duration(ms) * time.Millisecond
		w.deadline = now.Add(d)
		w.timer = time.NewTimer(d)
		w.expired = w.timer.C
	}
	return w
}

func (w *work) cancel() { w.once.Do(func() { close(w.cancelled) }) }

func (w *work) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *work) reason() string {
	if w.late {
		return "deadline passed"
	}
	return "cancelled"
}

// acquire takes a slot and reports false when the work was cancelled or its deadline passed first.
func (w *work) acquire(slots chan struct{}) bool {
	select {
	case <-w.cancelled:
		return false
	case <-w.expired:
		w.late = true
		return false
	case slots <- struct{}{}:
		return true
	}
}

// sleep waits for d and reports false when the work was cancelled or its deadline passed first.
func (w *work) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-w.cancelled:
		return false
	case <-w.expired:
		w.late = true
		return false
	case <-t.C:
		return true
	}
}
