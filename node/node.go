package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"lovagelane/balance"
	"lovagelane/burn"
	"lovagelane/call"
	"lovagelane/control"
	"lovagelane/disconnect"
	"lovagelane/event"
	"lovagelane/inventory"
	"lovagelane/kernel"
	"lovagelane/keys"
	"lovagelane/membership"
	"lovagelane/quarantine"
	"lovagelane/settings"
	"lovagelane/ticket"
)

const (
	// maxBufferedBody is the size up to which a body is buffered in memory, so that the call can be retried.
	maxBufferedBody = 64 << 10
	// maxHeaderBytes bounds the size of the headers of a request.
	maxHeaderBytes = 16 << 10
	// peerIdleTimeout is how long a connection to another node may be idle before it is closed instead of reused.
	peerIdleTimeout = 15 * time.Second
	// serverIdleTimeout is longer than peerIdleTimeout, so that a listener never closes a connection that a node is about to
	// reuse.
	serverIdleTimeout = 60 * time.Second
	// requestReadTimeout is how long a caller may take to send a request.
	requestReadTimeout = 30 * time.Second
	// maxCallerConnections, maxNodeConnections and maxAdminConnections bound the connections per listener. Each connection
	// takes up to 80 KB for headers and body, so these bounds keep slow senders from exhausting the memory of the instance.
	maxCallerConnections = 768
	maxNodeConnections   = 2048
	maxAdminConnections  = 32
	// disconnectCheckTicks is the number of admission ticks between checks for disconnected callers.
	disconnectCheckTicks = 3
	// idleTickInterval is the admission tick interval while no call runs or waits.
	idleTickInterval = 50 * time.Millisecond
	// drainGracePeriod is how long calls are still accepted after a drain is announced, while the announcement spreads.
	drainGracePeriod = time.Second
	// healthInterval is the interval of the health check of the own backend server.
	healthInterval = 500 * time.Millisecond
	// maxWorkers bounds the attempts that run concurrently.
	maxWorkers = 8192
	// noLimiter is the name of the baseline without a concurrency limit.
	noLimiter = "none"
	// maxQueuedAttempts bounds the attempts that wait for a worker.
	maxQueuedAttempts = 1024
)

// Err is the error class of this package.
var Err = errs.Class("node")

// Control is the part of the control plane that a node uses. It is implemented by control.Control.
type Control interface {
	Address() string
	Members() []membership.Member
	SetState(s membership.State)
	FloodCrashes(reports []quarantine.Report)
	PollStore()
	Stop() error
}

// Options configures a node. Every field but Settings may be zero.
type Options struct {
	Settings settings.Node
	Clock    kernel.Clock
	Log      *event.Log
	// Seed seeds the node's random choices. If it is zero, the seed is random.
	Seed uint64
	// StartControl replaces control.Start in tests.
	StartControl func(ctx context.Context, o control.Options) (Control, error)
}

// Node is a running node, the proxy beside one backend server.
type Node struct {
	settings settings.Node
	self     membership.Member
	started  time.Time
	clock    kernel.Clock
	rand     *kernel.Rand
	log      *event.Log
	metrics  *event.Metrics
	burn     *burn.Recorder
	keyring  *keys.Keyring
	group    *kernel.Group
	pool     *kernel.Pool
	control  Control
	// ticketKeys are the ticket keys at the start. The first one is also the secret of the priority values, so that callers
	// cannot choose their value.
	ticketKeys [][]byte

	config  atomic.Pointer[inventory.Config]
	members atomic.Pointer[map[string]membership.Member]
	// draining is set when a drain is announced, and refusing after its grace period, when new calls are refused.
	draining atomic.Bool
	refusing atomic.Bool
	// entryCount counts the requests in flight that entered the deployment at this node.
	entryCount     atomic.Int64
	attemptSeq     *ticket.Sequence
	flights        flights
	gate           *gate
	backend        *backend
	choosers       choosers
	peers          peers
	resends        resendTracker
	ticketOwner    ticketOwner
	attempts       attemptTable
	quarantine     quarantineTable
	entryAdmission entryAdmission
	callerWatch    disconnect.Watcher

	servers   []*fasthttp.Server
	addresses Addresses
	drained   chan struct{}
	drainOnce sync.Once
}

// Addresses holds the addresses of a node's listeners.
type Addresses struct {
	Callers string `json:"callers"`
	Backend string `json:"backend"`
	Calls   string `json:"calls"`
	Control string `json:"control"`
	Admin   string `json:"admin"`
}

// Start opens the node's listeners, joins the other nodes and serves until Stop is called.
func Start(ctx context.Context, o Options) (*Node, error) {
	n, err := newNode(ctx, o)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	if err := n.listen(o); err != nil {
		_ = n.group.Stop()
		return nil, Err.Wrap(err)
	}
	n.group.Go("first-health", func(ctx context.Context) error { n.checkHealth(ctx); return nil })
	n.group.Go("admission", n.tickLoop)
	n.group.Every("health", healthInterval, 0.2, n.rand, n.checkHealth)
	n.group.Every("states", burnEventInterval, 0.2, n.rand, n.recordProtectiveStates)
	n.group.Every("upkeep", 10*time.Second, 0.2, n.rand, n.maintain)
	n.log.Info("node-started", "member", n.self.ID, "service", n.self.Service, "availability-zone", n.self.AvailabilityZone,
		"callers", n.addresses.Callers, "calls", n.addresses.Calls, "control", n.addresses.Control, "admin", n.addresses.Admin)
	return n, nil
}

// tickLoop runs the admission tick, which has the shortest interval. The check for disconnected callers shares its timer,
// since most of the cost of an idle node is waking up. While no call runs or waits, the tick is less frequent. A call that
// arrives then still starts at once, and only its first window begins up to idleTickInterval late.
func (n *Node) tickLoop(ctx context.Context) error {
	timer := time.NewTimer(admissionTickInterval)
	defer timer.Stop()
	for ticks := 1; ; ticks++ {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		n.gate.tick(n.clock.Now())
		if ticks%disconnectCheckTicks == 0 {
			n.callerWatch.Check()
		}
		timer.Reset(n.nextTickInterval())
	}
}

func (n *Node) nextTickInterval() time.Duration {
	if n.gate.idle() && n.callerWatch.Count() == 0 {
		return idleTickInterval
	}
	return admissionTickInterval
}

func newNode(ctx context.Context, o Options) (*Node, error) {
	n := &Node{settings: o.Settings, clock: o.Clock, log: o.Log, metrics: event.NewMetrics(), drained: make(chan struct{})}
	if n.clock == nil {
		n.clock = kernel.SystemClock{}
	}
	n.started = n.clock.Now()
	n.attemptSeq = ticket.NewSequence(n.started)
	id, seed := newID()
	if o.Seed != 0 {
		seed = o.Seed
	}
	n.rand = kernel.NewRand(seed)
	n.self = membership.Member{ID: id, Service: o.Settings.Service, AvailabilityZone: o.Settings.AvailabilityZone,
		State: membership.StateStarting}
	keyring, err := keys.Load(keys.Paths{Certificate: o.Settings.Certificate, Key: o.Settings.Key, Authority: o.Settings.Authority})
	if err != nil {
		return nil, err
	}
	if role, err := keyring.Role(); err != nil || role != keys.RoleNode {
		return nil, Err.New("%s is for the role %q, which other nodes refuse: use node.pem and its key", o.Settings.Certificate, role)
	}
	n.keyring = keyring
	if n.ticketKeys, err = keys.LoadTicketKeys(o.Settings.TicketKey); err != nil {
		return nil, err
	}
	if n.gate, err = newGate(o.Settings.Limiter); err != nil {
		return nil, err
	}
	n.backend = newBackend(o.Settings.BackendServer)
	n.choosers.policy = o.Settings.Policy
	if err := n.resends.setPolicy(o.Settings.Retries); err != nil {
		return nil, err
	}
	n.members.Store(&map[string]membership.Member{})
	n.group = kernel.NewGroup(ctx)
	n.pool = kernel.NewPool(maxWorkers, maxQueuedAttempts)
	return n, nil
}

// newID returns a random member ID and a random seed.
func newID() (string, uint64) {
	var b [16]byte
	_, _ = rand.Read(b[:]) // crypto/rand never returns an error.
	seed := uint64(0)
	for _, x := range b[:8] {
		seed = seed<<8 | uint64(x)
	}
	return hex.EncodeToString(b[:]), seed
}

// listen opens the listeners, then starts control, which announces their addresses.
func (n *Node) listen(o Options) (err error) {
	var opened []net.Listener
	open := func(address string) (ln net.Listener) {
		if err == nil {
			ln, err = net.Listen("tcp", address)
			opened = append(opened, ln)
		}
		return ln
	}
	callers, back := open(o.Settings.CallersListen), open(o.Settings.BackendListen)
	calls, admin := open(o.Settings.CallsListen), open(o.Settings.AdminListen)
	if err != nil {
		for _, ln := range opened[:len(opened)-1] {
			_ = ln.Close() // The error of the listener that failed is returned.
		}
		return err
	}
	n.self.Calls, n.self.Callers = calls.Addr().String(), callers.Addr().String()
	n.addresses = Addresses{Callers: n.self.Callers, Backend: back.Addr().String(), Calls: n.self.Calls, Admin: admin.Addr().String()}
	n.ticketOwner.init(n.ticketKeys, n.self.ID, n.self.Calls, n.started)
	n.attempts.init(n.self.ID)
	n.burn = burn.NewRecorder(burn.Node{ID: n.self.ID, Address: n.self.Calls, AvailabilityZone: n.self.AvailabilityZone}, n.clock)
	if err := n.startControl(o); err != nil {
		return err
	}
	n.serve("callers", callers, n.handleCaller, maxCallerConnections)
	n.serve("backend", back, n.handleBackend, maxCallerConnections)
	n.serve("calls", n.withTLS(calls), n.handleCalls, maxNodeConnections)
	n.serve("admin", admin, n.handleAdmin, maxAdminConnections)
	return nil
}

func (n *Node) startControl(o Options) error {
	start := o.StartControl
	if start == nil {
		start = func(ctx context.Context, o control.Options) (Control, error) { return control.Start(ctx, o) }
	}
	c, err := start(n.group.Context(), control.Options{
		Self: n.self, Listen: o.Settings.ControlListen, Seeds: o.Settings.Seeds, Store: o.Settings.Store,
		Keyring: n.keyring, Clock: n.clock, Rand: n.rand, Log: n.log, Metrics: n.metrics,
		OnMembers: n.setMembers, OnConfig: n.setConfig,
		OnCrash: func(r quarantine.Report) { n.quarantine.merge(n.clock.Now(), r) },
	})
	if err != nil {
		return err
	}
	n.control = c
	n.addresses.Control = c.Address()
	return nil
}

// serve runs an HTTP server on a listener until the node stops.
func (n *Node) serve(name string, ln net.Listener, handler fasthttp.RequestHandler, connections int) {
	s := &fasthttp.Server{
		Handler: handler, Name: "lovagelane", StreamRequestBody: true, Concurrency: connections, MaxRequestBodySize: maxBufferedBody,
		ReadBufferSize: maxHeaderBytes, ReadTimeout: requestReadTimeout, IdleTimeout: serverIdleTimeout, NoDefaultDate: true,
		NoDefaultContentType: true, CloseOnShutdown: true, DisablePreParseMultipartForm: true, Logger: discardLogger{},
		ErrorHandler: n.refuseUnreadable,
	}
	n.servers = append(n.servers, s)
	retrying := &kernel.RetryListener{Listener: ln, OnError: func(err error) {
		n.metrics.Add("accept-failures", 1, name)
		n.log.Warn("accept-failed", "listener", name, "error", err)
	}}
	n.group.Go(name, func(context.Context) error { return s.Serve(retrying) })
}

// discardLogger discards the per-connection errors of fasthttp, which any caller could cause in any number.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Addresses returns the addresses of the node's listeners.
func (n *Node) Addresses() Addresses { return n.addresses }

// setConfig applies a configuration that is newer than the one in force.
func (n *Node) setConfig(cfg *inventory.Config) {
	if old := n.config.Load(); old != nil && old.Version() >= cfg.Version() {
		return
	}
	n.config.Store(cfg)
	group, ok := cfg.BackendServers(n.self.Service, n.self.AvailabilityZone)
	if !ok {
		n.log.Warn("not-in-inventory", "service", n.self.Service, "availability-zone", n.self.AvailabilityZone,
			"remedy", "add a backend-servers section for this service and availability zone")
	}
	n.burn.SetObjectives(burn.ObjectivesOf(cfg))
	n.gate.setSlots(group.Slots)
	n.backend.setConnections(group.Slots, group.Connections, n.settings.Limiter != noLimiter)
	region, _ := cfg.Region(n.self.AvailabilityZone)
	n.choosers.setHome(balance.Place{Region: region, AvailabilityZone: n.self.AvailabilityZone})
	if members := n.members.Load(); members != nil {
		n.choosers.update(n, *members)
	}
}

// setMembers applies a new membership view.
func (n *Node) setMembers(list []membership.Member) {
	members := make(map[string]membership.Member, len(list)+1)
	for _, m := range list {
		members[m.ID] = m
	}
	n.members.Store(&members)
	n.choosers.update(n, members)
	n.peers.retain(members)
	n.metrics.Set("members", int64(len(members)))
}

// region returns the region of the own availability zone, or an empty string while no configuration is in force.
func (n *Node) region() string {
	if cfg := n.config.Load(); cfg != nil {
		region, _ := cfg.Region(n.self.AvailabilityZone)
		return region
	}
	return ""
}

func (n *Node) maintain(context.Context) {
	if replaced, err := n.keyring.Reload(); err != nil {
		n.log.Warn("key-not-reloaded", "error", err)
	} else if replaced {
		n.log.Info("key-reloaded")
	}
	if current, err := keys.LoadTicketKeys(n.settings.TicketKey); err != nil {
		n.log.Warn("ticket-key-not-reloaded", "error", err)
	} else {
		n.ticketOwner.issuer.SetKeys(current)
	}
	n.peers.closeIdle()
}

// Drain announces that the backend server is draining, refuses new calls after a grace period, and returns once no call is
// in flight or ctx is done.
func (n *Node) Drain(ctx context.Context) error {
	n.drainOnce.Do(func() {
		n.draining.Store(true)
		n.choosers.update(n, *n.members.Load())
		n.control.SetState(membership.StateDraining)
		n.log.Info("drain-started", "in-flight", n.flights.count(), "outside", n.entryCount.Load())
		n.group.Go("drain", n.finishDrain)
	})
	select {
	case <-n.drained:
		return nil
	case <-ctx.Done():
		return Err.New("drain is not finished, %d calls are in flight: wait for them, or stop the node to cut them off",
			n.flights.count()+int(n.entryCount.Load()))
	}
}

func (n *Node) finishDrain(ctx context.Context) error {
	grace := time.NewTimer(drainGracePeriod)
	defer grace.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-grace.C:
	}
	n.refusing.Store(true)
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for n.flights.count() > 0 || n.entryCount.Load() > 0 {
		select {
		case <-ctx.Done():
			return nil
		case <-poll.C:
		}
	}
	n.log.Info("drain-finished")
	close(n.drained)
	return nil
}

// Stop closes the listeners at once, announces that the node leaves, and waits for its goroutines. Calls in flight are cut
// off unless Drain has returned before.
func (n *Node) Stop() error {
	err := n.control.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	for _, s := range n.servers {
		_ = s.ShutdownWithContext(ctx)
	}
	if stopErr := n.group.Stop(); err == nil {
		err = stopErr
	}
	n.pool.Stop()
	n.log.Info("node-stopped")
	return err
}

// Wait blocks until the node fails or is stopped, and returns its error.
func (n *Node) Wait() error { return n.group.Wait() }

// refusal returns a refusal with the remedy for its reason.
func refusal(reason call.Reason, outcome call.Outcome, rule string) call.Refusal {
	return call.Refusal{Reason: reason, Outcome: outcome, Rule: rule, Remedy: remedies[reason]}
}
