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
	"lovagelane/event"
	"lovagelane/hangup"
	"lovagelane/inventory"
	"lovagelane/kernel"
	"lovagelane/keys"
	"lovagelane/membership"
	"lovagelane/quarantine"
	"lovagelane/settings"
	"lovagelane/ticket"
)

const (
	// bufferedBody is the size up to which a body is held in memory, so that the call can be retried.
	bufferedBody = 64 << 10
	// maxHeaders bounds the headers of a request, in bytes.
	maxHeaders = 16 << 10
	// idleConnection is how long a connection to another node may be idle before it is closed instead of reused.
	idleConnection = 15 * time.Second
	// serverIdle is longer than idleConnection so that a listener never closes a connection that a node is about to reuse.
	serverIdle = 60 * time.Second
	// slowBody is how long a caller may take to send a request.
	slowBody = 30 * time.Second
	// callerConnections, nodeConnections and adminConnections bound the connections of the listeners. Each one holds up
	// to 80 KB of headers and body, so these keep slow senders from filling the memory of the instance.
	callerConnections = 768
	nodeConnections   = 2048
	adminConnections  = 32
	// disconnectTicks is the number of admission ticks after which the connections of waiting callers are checked.
	disconnectTicks = 3
	// idleTick is the period of the admission tick while no call runs or waits.
	idleTick = 50 * time.Millisecond
	// drainGrace is how long calls are still taken after the drain was announced, so that the announcement can spread.
	drainGrace = time.Second
	// healthInterval is the period of the health check of the own backend server.
	healthInterval = 500 * time.Millisecond
	// workers bounds the attempts that run at once.
	workers = 8192
	// noLimiter names the baseline without a concurrency limit.
	noLimiter = "none"
	// queuedTasks bounds the attempts that wait for a worker.
	queuedTasks = 1024
)

// Err is the class of errors for a node that cannot start.
var Err = errs.Class("node")

// Control is what a node needs of the control part; control.Control implements it.
type Control interface {
	Address() string
	Members() []membership.Member
	SetState(s membership.State)
	SpreadCrash(reports []quarantine.Report)
	PollStore()
	Stop() error
}

// Options are what a node is built from; the zero value of every field but Settings works.
type Options struct {
	Settings settings.Node
	Clock    kernel.Clock
	Log      *event.Log
	// Seed makes the node's random choices repeatable; zero takes a random seed.
	Seed uint64
	// StartControl replaces control.Start in tests.
	StartControl func(ctx context.Context, o control.Options) (Control, error)
}

// Node is a running node.
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
	// ticketKeys are the keys at the start; the first one also keeps callers from choosing their value.
	ticketKeys [][]byte

	config     atomic.Pointer[inventory.Config]
	members    atomic.Pointer[map[string]membership.Member]
	draining   atomic.Bool
	refusing   atomic.Bool
	outside    atomic.Int64
	attemptSeq *ticket.Sequence
	flights    flights
	gate       *gate
	backend    *backend
	choosers   choosers
	peers      peers
	requests   requests
	owned      owned
	attempts   attempts
	poison     poison
	pressures  pressures
	watch      hangup.Watch

	servers   []*fasthttp.Server
	addresses Addresses
	drained   chan struct{}
	drainOnce sync.Once
}

// Addresses are the addresses that a node listens on.
type Addresses struct {
	Callers string `json:"callers"`
	Backend string `json:"backend"`
	Calls   string `json:"calls"`
	Control string `json:"control"`
	Admin   string `json:"admin"`
}

// Start opens the node's listeners, joins the other nodes and serves until Stop.
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
	n.group.Every("states", eventInterval, 0.2, n.rand, n.noteStates)
	n.group.Every("upkeep", 10*time.Second, 0.2, n.rand, n.upkeep)
	n.log.Info("node-started", "member", n.self.ID, "service", n.self.Service, "availability-zone", n.self.AvailabilityZone,
		"callers", n.addresses.Callers, "calls", n.addresses.Calls, "control", n.addresses.Control, "admin", n.addresses.Admin)
	return n, nil
}

// tickLoop does the work of the shortest timer. The check for disconnected callers shares it, since most of the cost of an
// idle node is waking up. While nothing runs or waits it wakes up less often; a call that arrives then is started at once,
// and only its first window begins up to idleTick late.
func (n *Node) tickLoop(ctx context.Context) error {
	timer := time.NewTimer(admissionTick)
	defer timer.Stop()
	for ticks := 1; ; ticks++ {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		n.gate.tick(n.clock.Now())
		if ticks%disconnectTicks == 0 {
			n.watch.Check()
		}
		timer.Reset(n.nextTick())
	}
}

func (n *Node) nextTick() time.Duration {
	if n.gate.idle() && n.watch.Count() == 0 {
		return idleTick
	}
	return admissionTick
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
	if err := n.requests.use(o.Settings.Retries); err != nil {
		return nil, err
	}
	n.members.Store(&map[string]membership.Member{})
	n.group = kernel.NewGroup(ctx)
	n.pool = kernel.NewPool(workers, queuedTasks)
	return n, nil
}

// newID returns a random member id and a random seed.
func newID() (string, uint64) {
	var b [16]byte
	_, _ = rand.Read(b[:]) // crypto/rand never returns an error.
	seed := uint64(0)
	for _, x := range b[:8] {
		seed = seed<<8 | uint64(x)
	}
	return hex.EncodeToString(b[:]), seed
}

// listen opens the listeners, then starts control, which announces the addresses.
func (n *Node) listen(o Options) error {
	callers, err := net.Listen("tcp", o.Settings.CallersListen)
	if err != nil {
		return err
	}
	back, err := net.Listen("tcp", o.Settings.BackendListen)
	if err != nil {
		return err
	}
	calls, err := net.Listen("tcp", o.Settings.CallsListen)
	if err != nil {
		return err
	}
	admin, err := net.Listen("tcp", o.Settings.AdminListen)
	if err != nil {
		return err
	}
	n.self.Calls, n.self.Callers = calls.Addr().String(), callers.Addr().String()
	n.addresses = Addresses{Callers: n.self.Callers, Backend: back.Addr().String(), Calls: n.self.Calls, Admin: admin.Addr().String()}
	n.owned.init(n.ticketKeys, n.self.ID, n.self.Calls, n.started)
	n.attempts.init(n.self.ID)
	n.burn = burn.NewRecorder(burn.Node{ID: n.self.ID, Address: n.self.Calls, AvailabilityZone: n.self.AvailabilityZone}, n.clock)
	if err := n.startControl(o); err != nil {
		return err
	}
	n.serve("callers", callers, n.handleCaller, callerConnections)
	n.serve("backend", back, n.handleBackend, callerConnections)
	n.serve("calls", n.secure(calls), n.handleCalls, nodeConnections)
	n.serve("admin", admin, n.handleAdmin, adminConnections)
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
		OnCrash: func(r quarantine.Report) { n.poison.merge(n.clock.Now(), r) },
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
		Handler: handler, Name: "lovagelane", StreamRequestBody: true, Concurrency: connections, MaxRequestBodySize: bufferedBody,
		ReadBufferSize: maxHeaders, ReadTimeout: slowBody, IdleTimeout: serverIdle, NoDefaultDate: true,
		NoDefaultContentType: true, CloseOnShutdown: true, DisablePreParseMultipartForm: true, Logger: quietLogger{},
		ErrorHandler: n.refuseUnreadable,
	}
	n.servers = append(n.servers, s)
	n.group.Go(name, func(context.Context) error { return s.Serve(ln) })
}

// quietLogger drops the per-connection errors of fasthttp, which a caller could produce at will.
type quietLogger struct{}

func (quietLogger) Printf(string, ...any) {}

// Addresses returns the addresses that the node listens on.
func (n *Node) Addresses() Addresses { return n.addresses }

// setConfig puts a configuration in force.
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

// setMembers takes a new view of the other nodes.
func (n *Node) setMembers(list []membership.Member) {
	members := make(map[string]membership.Member, len(list)+1)
	for _, m := range list {
		members[m.ID] = m
	}
	n.members.Store(&members)
	n.choosers.update(n, members)
	n.peers.keep(members)
	n.metrics.Set("members", int64(len(members)))
}

// region returns the region of the own availability zone, or an empty string before a configuration is in force.
func (n *Node) region() string {
	if cfg := n.config.Load(); cfg != nil {
		region, _ := cfg.Region(n.self.AvailabilityZone)
		return region
	}
	return ""
}

func (n *Node) upkeep(context.Context) {
	if replaced, err := n.keyring.Reload(); err != nil {
		n.log.Warn("key-not-reloaded", "error", err)
	} else if replaced {
		n.log.Info("key-reloaded")
	}
	if current, err := keys.LoadTicketKeys(n.settings.TicketKey); err != nil {
		n.log.Warn("ticket-key-not-reloaded", "error", err)
	} else {
		n.owned.issuer.SetKeys(current)
	}
	n.peers.closeIdle()
}

// Drain announces that the backend server leaves, refuses new calls after a grace period, and returns once no call is in
// flight or ctx ends.
func (n *Node) Drain(ctx context.Context) error {
	n.drainOnce.Do(func() {
		n.draining.Store(true)
		n.choosers.update(n, *n.members.Load())
		n.control.SetState(membership.StateDraining)
		n.log.Info("drain-started", "in-flight", n.flights.count(), "outside", n.outside.Load())
		n.group.Go("drain", n.finishDrain)
	})
	select {
	case <-n.drained:
		return nil
	case <-ctx.Done():
		return Err.New("drain is not finished, %d calls are in flight: wait for them, or stop the node to cut them off",
			n.flights.count()+int(n.outside.Load()))
	}
}

func (n *Node) finishDrain(ctx context.Context) error {
	grace := time.NewTimer(drainGrace)
	defer grace.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-grace.C:
	}
	n.refusing.Store(true)
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for n.flights.count() > 0 || n.outside.Load() > 0 {
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

// Stop closes the listeners at once, announces the end and waits; call Drain first to cut off no call.
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

// Wait returns when the node has failed or was stopped.
func (n *Node) Wait() error { return n.group.Wait() }

// refusal builds a refusal with the remedy that belongs to its reason.
func refusal(reason call.Reason, outcome call.Outcome, rule string) call.Refusal {
	return call.Refusal{Reason: reason, Outcome: outcome, Rule: rule, Remedy: remedies[reason]}
}
