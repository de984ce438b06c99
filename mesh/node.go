package mesh

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"lovagelane/balance"
	"lovagelane/directory"
	"lovagelane/dispatch"
	"lovagelane/event"
	"lovagelane/hangup"
	"lovagelane/kernel"
	"lovagelane/link"
	"lovagelane/quarantine"
	"lovagelane/retry"
	"lovagelane/routing"
	"lovagelane/settings"
	"lovagelane/slots"
)

const (
	// tick is the period at which waiting calls and the connections of callers are looked over.
	tick = 50 * time.Millisecond
	// hangupTicks is the number of ticks after which the connections of waiting callers are checked.
	hangupTicks = 3
	// trimTicks is the number of ticks after which idle connections to the own backend server are closed.
	trimTicks = 20
	// maxBody bounds the body of a request or an answer that passes a node, in bytes. Bodies are held in memory, so that a
	// call can be sent to another node.
	maxBody = 8 << 20
	// maxHeaders bounds the request line and the headers of a request, or the headers of an answer, in bytes.
	maxHeaders = 20 << 10
	// callerConnections bounds the connections of callers.
	callerConnections = 2048
	// announceConnections bounds the connections for announcements and for questions after readiness.
	announceConnections = 64
	// slowRequest is how long a caller may take to send a request.
	slowRequest = 30 * time.Second
	// callerIdle is how long a caller's connection may be idle. It is longer than callers keep theirs, so that none is
	// closed as a request arrives on it.
	callerIdle = 60 * time.Second
	// workers bounds the calls that run at the own backend server at once, and queuedRuns those that wait for a worker.
	workers    = 4096
	queuedRuns = 4096
	// forgetChecks is how often within that time a node checks whom it can't reach.
	forgetChecks = 10
	// abortTimeout bounds the wait for listeners to close when a node is ended at once.
	abortTimeout = time.Second
	// forgetAfter is longer than a restart, a move of an instance or a cut between nodes that mends takes.
	forgetAfter = 10 * time.Minute
	// requestLines bounds the lines a second of each event about single requests.
	requestLines = 50
	// neighbours is the number of nodes on each ring that a connection is kept to.
	neighbours = 2
)

// Err is the class of errors for a node that cannot start.
var Err = errs.Class("mesh")

// Options are what a node is built from; the zero value of every field but Settings works.
type Options struct {
	Settings settings.Mesh
	Clock    kernel.Clock
	Log      *event.Log
	// Seed makes the node's random choices repeatable; zero takes a random seed.
	Seed uint64
	// ForgetAfter is how long a node of the own region must be out of reach before its row is removed; zero takes 10 minutes.
	ForgetAfter time.Duration
}

// Node is a running node.
type Node struct {
	settings   settings.Mesh
	clock      kernel.Clock
	log        *event.Log
	metrics    *event.Metrics
	rand       *kernel.Rand
	deployment Deployment
	store      Store
	group      *kernel.Group
	pool       *kernel.Pool
	transport  *link.Transport
	backend    *backend
	watch      hangup.Watch
	servers    []*fasthttp.Server
	listeners  []net.Listener
	config     atomic.Pointer[routing.Config]
	stopping   atomic.Bool
	// ends is set in the last part of a stop, in which only requests that end before it are taken.
	ends atomic.Pointer[time.Time]
	// callsEnd is set in the first part of a stop, in which only calls of other nodes that end before it are taken.
	callsEnd atomic.Pointer[time.Time]
	requests atomic.Int64

	mu sync.Mutex
	// configText is the configuration in force as the store holds it, for other nodes.
	configText []byte
	directory  directory.Directory
	tracker    directory.Tracker
	queue      slots.Queue
	caps       slots.Caps
	jobs       map[uint64]*job
	nextJob    uint64
	chooser    dispatch.Chooser
	splits     routing.Splits
	windows    retry.Windows
	poison     quarantine.Table
	recovery   recovery
	// behind is when another node was first heard to know more, by what it knows more of.
	behind struct{ config, directory time.Time }
	// holds are the leavings of the own backend server that wait for another node to keep them.
	holds map[directory.Incarnation]chan struct{}
	// slots and service are what the own backend server announced.
	slots   int
	service string
}

// Start opens the node's listeners and serves until Stop.
func Start(ctx context.Context, o Options) (*Node, error) {
	n, err := newNode(ctx, o)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	if err := n.listen(); err != nil {
		n.Abort()
		return nil, Err.Wrap(err)
	}
	n.log.Allow(requestLines, "request-refused", "request-failed", "request-failed-at-backend-server", "request-not-routed",
		"call-not-answered")
	n.group.Go("ticks", n.ticks)
	n.group.Go("sync-config", n.syncConfig)
	n.group.Go("sync-directory", n.syncDirectory)
	n.group.Go("recovery", n.recover)
	if o.ForgetAfter == 0 {
		o.ForgetAfter = forgetAfter
	}
	n.group.Every("forget", o.ForgetAfter/forgetChecks, 0.5, n.rand, func(ctx context.Context) { n.forget(ctx, o.ForgetAfter) })
	n.log.Info("node-started", "service", n.settings.Service, "availability-zone", n.settings.AvailabilityZone,
		"callers", n.settings.CallersListen, "calls", n.settings.CallsAddress, "deployment", n.settings.Deployment)
	return n, nil
}

func newNode(ctx context.Context, o Options) (*Node, error) {
	create, err := Deployments.Lookup(o.Settings.Deployment)
	if err != nil {
		return nil, err
	}
	deployment, err := create(o.Settings)
	if err != nil {
		return nil, err
	}
	n := &Node{settings: o.Settings, clock: o.Clock, log: o.Log, metrics: event.NewMetrics(), deployment: deployment,
		store: deployment.Store(), jobs: map[uint64]*job{}, holds: map[directory.Incarnation]chan struct{}{}}
	if n.clock == nil {
		n.clock = kernel.SystemClock{}
	}
	random := randomNumber()
	seed := o.Seed
	if seed == 0 {
		seed = random
	}
	n.rand = kernel.NewRand(seed)
	n.service = o.Settings.Service
	n.windows = retry.Windows{Ratio: o.Settings.RepeatRatio, Fixed: float64(o.Settings.RepeatsAllowed), Length: o.Settings.RepeatWindow}
	n.backend = newBackend(n, o.Settings.BackendServer)
	n.group = kernel.NewGroup(ctx)
	n.pool = kernel.NewPool(workers, queuedRuns)
	n.transport = &link.Transport{Clock: n.clock, Log: n.log, Handler: n, Incarnation: random}
	n.recovery.started = n.clock.Now()
	return n, nil
}

func randomNumber() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand never returns an error.
	return binary.BigEndian.Uint64(b[:])
}

func (n *Node) listen() error {
	calls, err := net.Listen("tcp", n.settings.CallsListen)
	if err != nil {
		return err
	}
	n.transport.Start(n.group, calls)
	for _, l := range []struct {
		name, address string
		handler       fasthttp.RequestHandler
		connections   int
	}{
		{"announcements", n.settings.AnnounceListen, n.handleAnnouncement, announceConnections},
		{"ready", n.settings.ReadyListen, n.handleReady, announceConnections},
		{"callers", n.settings.CallersListen, n.handleCaller, callerConnections},
		{"admin", n.settings.AdminListen, n.handleAdmin, announceConnections},
	} {
		if l.address == "" {
			continue
		}
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			return err
		}
		n.serve(l.name, ln, l.handler, l.connections)
	}
	return nil
}

// serve runs an HTTP server on a listener until the node stops.
func (n *Node) serve(name string, ln net.Listener, handler fasthttp.RequestHandler, connections int) {
	s := &fasthttp.Server{
		Handler: handler, Name: "lovagelane", Concurrency: connections, MaxRequestBodySize: maxBody, ReadBufferSize: maxHeaders,
		ReadTimeout: slowRequest, IdleTimeout: callerIdle, NoDefaultDate: true, NoDefaultServerHeader: true,
		NoDefaultContentType: true, CloseOnShutdown: true, DisablePreParseMultipartForm: true, ReduceMemoryUsage: true,
		Logger: quiet{}, ErrorHandler: n.refuseUnreadable,
	}
	n.servers, n.listeners = append(n.servers, s), append(n.listeners, ln)
	n.group.Go(name, func(context.Context) error { return s.Serve(ln) })
}

// quiet drops the errors of single connections, which a caller could produce at will; refuseUnreadable counts them.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

// ticks settles calls that waited too long and notices callers that left.
func (n *Node) ticks(ctx context.Context) error {
	timer := time.NewTicker(tick)
	defer timer.Stop()
	for count := 1; ; count++ {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		n.expire()
		if count%hangupTicks == 0 {
			n.watch.Check()
		}
		if count%trimTicks == 0 {
			n.backend.trim(n.clock.Now())
		}
	}
}

// handleReady tells whether callers may send requests here.
func (n *Node) handleReady(ctx *fasthttp.RequestCtx) {
	switch {
	case string(ctx.Path()) != n.deployment.ReadyPath():
		ctx.Error("not found: ask "+n.deployment.ReadyPath(), fasthttp.StatusNotFound)
	case n.stopping.Load():
		ctx.Error("the node is stopping: use another one", fasthttp.StatusServiceUnavailable)
	case n.config.Load() == nil || !n.recovered():
		ctx.Error("the node has not learned yet what holds: ask again", fasthttp.StatusServiceUnavailable)
	default:
		ctx.SetStatusCode(fasthttp.StatusOK)
	}
}

// handleAdmin serves the metrics.
func (n *Node) handleAdmin(ctx *fasthttp.RequestCtx) {
	var b bytes.Buffer
	expvar.Do(func(kv expvar.KeyValue) {
		b.WriteString(kv.Key + " " + kv.Value.String() + "\n")
	})
	b.WriteString("lovagelane " + n.metrics.Var().String() + "\n")
	ctx.SetContentType("text/plain")
	ctx.SetBody(b.Bytes())
}

// selfLocked returns what this node states of itself.
func (n *Node) selfLocked() directory.Node {
	backend, state := n.tracker.Current()
	return directory.Node{Address: n.settings.CallsAddress, Service: n.service, Region: n.settings.Region,
		AvailabilityZone: n.settings.AvailabilityZone, Slots: n.slots, State: state, Backend: backend}
}

// directoryChangedLocked takes a new view of the other nodes and returns the addresses to keep connections to.
func (n *Node) directoryChangedLocked() []string {
	home := balance.Place{Region: n.settings.Region, AvailabilityZone: n.settings.AvailabilityZone}
	var candidates []dispatch.Candidate
	for _, node := range n.directory.Nodes() {
		if node.State == directory.Serving && node.Address != n.settings.CallsAddress {
			candidates = append(candidates, candidateOf(node))
		}
	}
	if self := n.selfLocked(); self.State == directory.Serving {
		candidates = append(candidates, candidateOf(self))
	}
	n.chooser.Update(home, candidates)
	return n.directory.Neighbours(n.settings.CallsAddress, n.settings.Region, neighbours)
}

func candidateOf(node directory.Node) dispatch.Candidate {
	return dispatch.Candidate{Address: node.Address, Service: node.Service, Slots: node.Slots,
		Place: balance.Place{Region: node.Region, AvailabilityZone: node.AvailabilityZone}}
}

// adopt puts a configuration in force unless a later one is.
func (n *Node) adopt(value []byte, source string) {
	cfg, err := n.deployment.ReadConfig(value)
	if err != nil {
		n.log.Error("config-refused", "source", source, "error", err)
		return
	}
	n.mu.Lock()
	old := n.config.Load()
	if old != nil && old.Version() >= cfg.Version() {
		n.mu.Unlock()
		return
	}
	n.config.Store(cfg)
	n.configText = value
	n.behind.config = time.Time{}
	kept := n.reviewBackendLocked()
	n.mu.Unlock()
	n.transport.Connect(kept)
	n.log.Info("config-in-force", "version", cfg.Version(), "routes", len(cfg.Routes()), "source", source)
	n.metrics.Set("config-version", int64(cfg.Version()))
}

// Wait returns when the node has failed or was stopped.
func (n *Node) Wait() error { return n.group.Wait() }

// Known returns the number of nodes that this one knows, itself included.
func (n *Node) Known() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.directory.Nodes())
}

// Abort ends the node at once, as when its process is killed.
func (n *Node) Abort() {
	n.stopping.Store(true)
	n.closeServers(0)
	n.store.Close()
	_ = n.group.StopWithin(abortTimeout) // A killed process tells nobody either.
}
