package mesh

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"lovagelane/allowance"
	"lovagelane/balance"
	"lovagelane/directory"
	"lovagelane/dispatch"
	"lovagelane/event"
	"lovagelane/intake"
	"lovagelane/kernel"
	"lovagelane/link"
	"lovagelane/memory"
	"lovagelane/quarantine"
	"lovagelane/retry"
	"lovagelane/routing"
	"lovagelane/settings"
	"lovagelane/slots"
)

const (
	// tickInterval is the period of the loop that expires queued calls and closes idle connections.
	tickInterval = 50 * time.Millisecond
	// idleTrimTicks is the number of ticks between two passes that close expired connections to the own backend server.
	idleTrimTicks = 20
	// sweepTicks is the number of ticks between two passes that close connections of callers without progress.
	sweepTicks = int(intake.SweepInterval / tickInterval)
	// maxBodyBytes limits the body of a request or an answer. Bodies are buffered in memory so that a call can be sent to
	// another node.
	maxBodyBytes = 8 << 20
	// maxHeaderBytes limits the request line and headers of a request, and the headers of an answer.
	maxHeaderBytes = 20 << 10
	// maxLocalBodyBytes limits the body of an announcement.
	maxLocalBodyBytes = 64 << 10
	// maxLocalConnections limits the connections of each of the announcement, readiness and admin listeners.
	maxLocalConnections = 64
	// defaultPipelined is the number of unanswered requests of one connection if the settings state none.
	defaultPipelined = 16
	// requestReadTimeout is how long a caller may take to send a request.
	requestReadTimeout = 30 * time.Second
	// callerIdleTimeout is how long a caller's connection may be idle. It exceeds the idle timeout of callers, so that the
	// node does not close a connection just as a request arrives on it.
	callerIdleTimeout = 60 * time.Second
	// maxWorkers is the number of workers that run calls at the own backend server, and maxQueuedRuns the number of calls that
	// wait for a worker. Any further call runs on its own goroutine.
	maxWorkers    = 4096
	maxQueuedRuns = 4096
	// removalChecks is the number of checks for unreachable nodes within Options.RemoveUnreachableAfter.
	removalChecks = 10
	// abortTimeout limits how long Abort waits for goroutines to stop.
	abortTimeout = time.Second
	// defaultRemoveAfter exceeds the time that a restart, a move of an instance or a passing network partition takes.
	defaultRemoveAfter = 10 * time.Minute
	// maxRequestLinesPerSecond limits the log lines of each event that concerns a single request.
	maxRequestLinesPerSecond = 50
	// maxMalformedRows limits the malformed rows that are remembered, so that each is logged once.
	maxMalformedRows = 256
	// neighboursPerRing is the number of nodes on each ring of the directory to which a node keeps a connection.
	neighboursPerRing = 2
)

// Err is the error class of this package.
var Err = errs.Class("mesh")

// Options configures a node. All fields except Settings are optional.
type Options struct {
	Settings settings.Mesh
	Clock    kernel.Clock
	Log      *event.Log
	// Seed is the seed of the node's random choices; zero selects a random seed.
	Seed uint64
	// RemoveUnreachableAfter is how long a node of the own region must be unreachable before its row is removed. The default
	// is 10 minutes.
	RemoveUnreachableAfter time.Duration
}

// Node is a running sidecar node beside one backend server.
type Node struct {
	settings   settings.Mesh
	clock      kernel.Clock
	log        *event.Log
	metrics    *event.Metrics
	accounts   event.Ranking
	rand       *kernel.Rand
	deployment Deployment
	store      Store
	group      *kernel.Group
	pool       *kernel.Pool
	memory     *memory.Budget
	transport  *link.Transport
	backend    *backend
	callers    *intake.Server
	servers    []*fasthttp.Server
	listeners  []net.Listener
	localConns localConns
	config     atomic.Pointer[routing.Config]
	stopping   atomic.Bool
	// stop is set once Stop was called, and stopStarted is closed then.
	stop        atomic.Pointer[stopSchedule]
	stopStarted chan struct{}
	// requestCutoff is set in the last phase of Stop: requests with a later deadline are refused.
	requestCutoff atomic.Pointer[time.Time]
	// callCutoff is set in the first phase of Stop: calls of other nodes are accepted only with an earlier deadline.
	callCutoff atomic.Pointer[time.Time]
	quotas     quotas
	// configWatch and directoryWatch follow the tables of the operators' configuration and of the nodes.
	configWatch, directoryWatch tableWatch

	mu sync.Mutex
	// eraSeen is when this node learned of the store's current era.
	eraSeen time.Time
	// configText is the encoded configuration in force, as read from the store. It is sent to other nodes.
	configText   []byte
	directory    directory.Directory
	tracker      directory.Tracker
	queue        slots.Queue
	caps         slots.Caps
	jobs         map[uint64]*job
	lastJobID    uint64
	chooser      dispatch.Chooser
	splits       routing.TrafficSplitter
	retryBudgets retry.WindowBudgets
	quarantine   quarantine.Table
	// crashPulls holds, by their sum, the crash records of other nodes that differed from those of this node.
	crashPulls *kernel.LRU[uint64, crashPull]
	chains     *chains
	recovery   recovery
	// configLag and directoryLag record how long this node has been behind another one.
	configLag, directoryLag lag
	// answerSizes holds, by route, the size of its recent large answers.
	answerSizes *kernel.LRU[string, int64]
	// malformedRows holds, by key, one more than the version of the last malformed row of the table of nodes that was logged.
	malformedRows *kernel.LRU[string, uint64]
	// departureAcks has a channel for each departure of the own backend server that was sent to other nodes; the channel is
	// closed when one of them confirms that it keeps the departure.
	departureAcks map[directory.Incarnation]chan struct{}
	// slots and service are the last values that the own backend server announced.
	slots    int
	service  string
	capacity learnedCapacity
}

// Start opens the node's listeners and serves requests until Stop or Abort.
func Start(ctx context.Context, o Options) (*Node, error) {
	n, err := newNode(ctx, o)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	if err := n.listen(); err != nil {
		n.Abort()
		return nil, Err.Wrap(err)
	}
	n.log.SetRate(maxRequestLinesPerSecond, "request-refused", "request-failed", "request-failed-at-backend-server",
		"request-not-routed", "call-not-answered", "repeat-denied", "caller-too-slow", "caller-closed")
	n.group.Go("ticks", n.runTicks)
	n.group.Go("sync-config", n.syncConfig)
	n.group.Go("sync-directory", n.syncDirectory)
	n.group.Go("recovery", n.awaitRecovery)
	if o.RemoveUnreachableAfter == 0 {
		o.RemoveUnreachableAfter = defaultRemoveAfter
	}
	n.group.Every("forget", o.RemoveUnreachableAfter/removalChecks, 0.5, n.rand,
		func(ctx context.Context) { n.removeUnreachable(ctx, o.RemoveUnreachableAfter) })
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
		store: deployment.Store(), jobs: map[uint64]*job{}, departureAcks: map[directory.Incarnation]chan struct{}{},
		malformedRows: kernel.NewLRU[string, uint64](maxMalformedRows),
		crashPulls:    kernel.NewLRU[uint64, crashPull](maxCrashPulls), stopStarted: make(chan struct{})}
	if n.clock == nil {
		n.clock = kernel.SystemClock{}
	}
	random := randomUint64()
	seed := o.Seed
	if seed == 0 {
		seed = random
	}
	n.rand = kernel.NewRand(seed)
	n.service = o.Settings.Service
	n.retryBudgets = retry.WindowBudgets{Ratio: o.Settings.RepeatRatio, Fixed: float64(o.Settings.RepeatsAllowed),
		Length: o.Settings.RepeatWindow}
	if o.Settings.WholeChains {
		n.chains = &chains{}
	}
	n.chooser.CompareInRegion = o.Settings.CompareFailures
	n.memory = memory.New(memoryLimit(o.Settings.MemoryMB))
	n.answerSizes = kernel.NewLRU[string, int64](maxAnswerSizes)
	limits := limitsOf(o.Settings, kernelDescriptors())
	n.backend = newBackend(n, o.Settings.BackendServer)
	n.group = kernel.NewGroup(ctx)
	n.pool = kernel.NewPool(maxWorkers, maxQueuedRuns)
	n.callers = &intake.Server{Handler: n.handleCaller, Unreadable: n.handleUnreadable, ReserveBody: n.reserveBody, Group: n.group,
		Budget: n.memory, MaxConnections: limits.callers, MaxConnectionBytes: limits.connectionBytes,
		MaxPipelined:   cmp.Or(o.Settings.PipelinedRequests, defaultPipelined),
		MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes, ReadTimeout: requestReadTimeout, IdleTimeout: callerIdleTimeout,
		WriteTimeout: callerWriteTimeout, Closed: n.handleClosedCaller}
	n.transport = &link.Transport{Clock: n.clock, Log: n.log, Handler: n, Incarnation: random, MaxAccepted: limits.nodes,
		OnRefused: n.takeBackQuotas}
	n.recovery.started = n.clock.Now()
	n.quotas.member = allowance.Member{Address: o.Settings.CallsAddress, Incarnation: random, Started: n.reading()}
	return n, nil
}

func randomUint64() uint64 {
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
	callers, err := n.listenAt("callers", n.settings.CallersListen)
	if err != nil {
		return err
	}
	n.group.Go("callers", func(context.Context) error { return n.callers.Serve(callers) })
	for _, l := range []struct {
		name, address string
		handler       fasthttp.RequestHandler
	}{
		{"announcements", n.settings.AnnounceListen, n.handleAnnouncement},
		{"ready", n.settings.ReadyListen, n.handleReady},
		{"admin", n.settings.AdminListen, n.handleAdmin},
	} {
		if l.address == "" {
			continue
		}
		ln, err := n.listenAt(l.name, l.address)
		if err != nil {
			return err
		}
		n.serve(l.name, ln, l.handler)
	}
	return nil
}

// listenAt opens a listener that survives failed accepts.
func (n *Node) listenAt(name, address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n.listeners = append(n.listeners, ln)
	return &kernel.RetryListener{Listener: ln, OnError: func(err error) {
		n.metrics.Add("accept-failures", 1, name)
		n.log.Warn("accept-failed", "listener", name, "error", err)
	}}, nil
}

// serve runs an HTTP server on a listener until the node stops.
func (n *Node) serve(name string, ln net.Listener, handler fasthttp.RequestHandler) {
	server := &fasthttp.Server{
		Handler: handler, Name: "lovagelane", Concurrency: maxLocalConnections, MaxRequestBodySize: maxLocalBodyBytes,
		ReadBufferSize: maxHeaderBytes, ReadTimeout: requestReadTimeout, IdleTimeout: callerIdleTimeout, NoDefaultDate: true,
		NoDefaultServerHeader: true, NoDefaultContentType: true, CloseOnShutdown: true, DisablePreParseMultipartForm: true,
		ReduceMemoryUsage: true, Logger: discardLogger{}, ConnState: n.localConns.observe,
	}
	n.servers = append(n.servers, server)
	n.group.Go(name, func(context.Context) error { return server.Serve(ln) })
}

// localConns tracks the open connections of the announcement, readiness and admin listeners, since the shutdown of their servers
// leaves those open that are not idle at that moment. The zero value is ready to use.
type localConns struct {
	mu    sync.Mutex
	conns kernel.Set[net.Conn]
}

// observe follows the state of a connection.
func (l *localConns) observe(c net.Conn, state fasthttp.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		if l.conns == nil {
			l.conns = kernel.Set[net.Conn]{}
		}
		l.conns[c] = struct{}{}
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(l.conns, c)
	}
}

func (l *localConns) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close() // Its server closes it too.
	}
}

// discardLogger discards errors of single connections, with which any client could flood the log.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// runTicks periodically expires queued calls and closes idle backend connections.
func (n *Node) runTicks(ctx context.Context) error {
	timer := time.NewTicker(tickInterval)
	defer timer.Stop()
	for count := 1; ; count++ {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		n.expireQueued()
		n.withdrawUnfinishable()
		n.tickCapacity()
		n.tickQuotas()
		if count%sweepTicks == 0 {
			n.callers.Sweep()
		}
		if count%idleTrimTicks == 0 {
			n.backend.closeExpired(n.clock.Now())
			n.reportMemory()
			n.reportStore()
		}
	}
}

// handleReady serves the readiness endpoint.
func (n *Node) handleReady(ctx *fasthttp.RequestCtx) {
	switch {
	case string(ctx.Path()) != n.deployment.ReadyPath():
		ctx.Error("not found: ask "+n.deployment.ReadyPath(), fasthttp.StatusNotFound)
	case n.stopping.Load():
		ctx.Error("the node is stopping: use another one", fasthttp.StatusServiceUnavailable)
	case n.config.Load() == nil || !n.isRecovered():
		ctx.Error("the node has not learned yet what holds: ask again", fasthttp.StatusServiceUnavailable)
	default:
		ctx.SetStatusCode(fasthttp.StatusOK)
	}
}

// handleAdmin serves the metrics as text.
func (n *Node) handleAdmin(ctx *fasthttp.RequestCtx) {
	var b bytes.Buffer
	expvar.Do(func(kv expvar.KeyValue) {
		b.WriteString(kv.Key + " " + kv.Value.String() + "\n")
	})
	b.WriteString("lovagelane " + n.metrics.Var().String() + "\n")
	b.WriteString("lovagelane-accounts " + n.accounts.String() + "\n")
	ctx.SetContentType("text/plain")
	ctx.SetBody(b.Bytes())
}

// selfLocked returns the directory record of this node.
func (n *Node) selfLocked() directory.Node {
	backend, state := n.tracker.Current()
	return directory.Node{Address: n.settings.CallsAddress, Service: n.service, Region: n.settings.Region,
		AvailabilityZone: n.settings.AvailabilityZone, Slots: n.slots, State: state, Backend: backend}
}

// updateCandidatesLocked passes the serving nodes to the chooser and returns the addresses to keep connections to.
func (n *Node) updateCandidatesLocked() []string {
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
	if n.chains != nil {
		n.chains.nodes = map[string]int{}
		for _, c := range candidates {
			n.chains.nodes[c.Service]++
		}
	}
	return n.persistentPeersLocked()
}

func candidateOf(node directory.Node) dispatch.Candidate {
	return dispatch.Candidate{Address: node.Address, Service: node.Service, Slots: node.Slots,
		Place: balance.Place{Region: node.Region, AvailabilityZone: node.AvailabilityZone}}
}

// applyConfig puts a configuration in force unless the current one has the same or a higher version.
func (n *Node) applyConfig(value []byte, source string) {
	var cfg *routing.Config
	err := kernel.Protect(func() (err error) {
		cfg, err = n.deployment.ReadConfig(value)
		return err
	})
	if err != nil {
		n.log.Error("config-refused", "source", source, "error", err)
		return
	}
	n.mu.Lock()
	old := n.config.Load()
	if old != nil && old.Version() >= cfg.Version() {
		differs := !bytes.Equal(n.configText, value)
		n.mu.Unlock()
		n.log.Info("config-not-newer", "version", cfg.Version(), "in-force", old.Version(), "source", source, "differs", differs)
		return
	}
	n.config.Store(cfg)
	n.configText = value
	n.setQuotas(cfg)
	peers := n.backendStateChangedLocked()
	n.mu.Unlock()
	n.transport.SetPersistentPeers(peers)
	n.log.Info("config-in-force", "version", cfg.Version(), "routes", len(cfg.Routes()), "source", source)
	n.metrics.Set("config-version", int64(cfg.Version()))
	// Nodes that the store doesn't answer learn from this that there is a newer version, and pull it.
	n.transport.Broadcast(encode(gossipMessage{ConfigVersion: cfg.Version()}))
}

// Wait blocks until the node has failed or was stopped. A node of which a goroutine has failed is aborted: it would still take
// requests, without connections to other nodes and without news of the configuration.
func (n *Node) Wait() error {
	<-n.group.Context().Done()
	if err := context.Cause(n.group.Context()); !errors.Is(err, context.Canceled) && !n.stopping.Load() {
		n.log.Error("node-failed", "error", err)
		n.Abort()
		return Err.Wrap(err)
	}
	return n.group.Wait()
}

// NodeCount returns the number of nodes in the directory, including this one.
func (n *Node) NodeCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.directory.Nodes())
}

// Abort stops the node without draining, as if its process were killed.
func (n *Node) Abort() {
	n.stopping.Store(true)
	n.closeServers(0)
	n.store.Close()
	_ = n.group.StopWithin(abortTimeout) // A killed process reports no error either.
}
