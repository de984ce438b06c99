package control

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"lovagelane/event"
	"lovagelane/inventory"
	"lovagelane/kernel"
	"lovagelane/keys"
	"lovagelane/membership"
	"lovagelane/quarantine"
	"lovagelane/rollout"
	"lovagelane/tablestore"
)

// Options are what a Control needs from its node.
type Options struct {
	Self    membership.Member
	Listen  string
	Seeds   []string
	Store   string
	Keyring *keys.Keyring
	Clock   kernel.Clock
	Rand    *kernel.Rand
	Log     *event.Log
	Metrics *event.Metrics
	// OnMembers is called after the view changed, with all members but the own one.
	OnMembers func([]membership.Member)
	// OnConfig is called when a configuration takes force; versions only grow.
	OnConfig func(*inventory.Config)
	// OnCrash is called for each new crash report of another node, by several goroutines at once.
	OnCrash func(quarantine.Report)
}

// Control is the running control part of a node.
type Control struct {
	options   Options
	tuning    tuning
	log       *event.Log
	metrics   *event.Metrics
	store     tablestore.Store
	closer    func()
	group     *kernel.Group
	udp       net.PacketConn
	transport *quic.Transport
	listener  *quic.Listener
	pacer     *pacer
	inbound   atomic.Int64
	pollNow   chan struct{}
	changed   chan struct{}
	renewNow  chan struct{}

	// mu guards what follows. No I/O and no callback happens while it is held.
	mu     sync.Mutex
	view   *membership.View
	rings  membership.Rings
	roster uint64
	// placedBy is the version of the configuration that the rings take the regions from.
	placedBy uint64
	// list is the answer of others as of the change listed.
	list     []membership.Member
	listed   uint64
	peers    map[*peer]struct{}
	watchers map[string]*watcher
	// pending holds the members whose announcement or doubt is to be flooded, with the peer that it came from.
	pending map[string]*peer
	crashes map[*peer][]quarantine.Report
	seen    seen[quarantine.Report]
	// recent holds the latest crash reports for peers that connect later, because a flood misses a node whose
	// connections are just being replaced.
	recent []recentCrash
	// synced means that a peer has answered a digest, so that the view is not this node's alone.
	synced     bool
	refutedAt  time.Time
	ownSeeds   map[string]bool
	adopter    rollout.Adopter
	held       held
	inForce    held
	inForceAt  time.Time
	pulling    uint64
	pullUntil  time.Time
	unreadable uint64
	storeState StoreStatus
}

// Start listens, joins by seeds and store, and keeps running until Stop or the end of ctx.
func Start(ctx context.Context, o Options) (*Control, error) {
	t := defaultTuning()
	t.tls = nodesOnly{o.Keyring}
	return start(ctx, o, t)
}

func start(ctx context.Context, o Options, t tuning) (*Control, error) {
	if o.Clock == nil {
		o.Clock = kernel.SystemClock{}
	}
	if o.Rand == nil {
		o.Rand = kernel.NewRand(uint64(time.Now().UnixNano()))
	}
	if o.Metrics == nil {
		o.Metrics = event.NewMetrics()
	}
	c := &Control{
		options:  o,
		tuning:   t,
		log:      o.Log,
		metrics:  o.Metrics,
		pacer:    &pacer{gap: t.dialGap, rand: o.Rand},
		pollNow:  make(chan struct{}, 1),
		changed:  make(chan struct{}, 1),
		renewNow: make(chan struct{}, 1),
		peers:    map[*peer]struct{}{},
		watchers: map[string]*watcher{},
		pending:  map[string]*peer{},
		crashes:  map[*peer][]quarantine.Report{},
		seen:     seen[quarantine.Report]{bound: seenCrashes},
		ownSeeds: map[string]bool{},
	}
	if err := c.openStore(); err != nil {
		return nil, err
	}
	if err := c.listen(); err != nil {
		return nil, err
	}
	if err := c.openView(); err != nil {
		return nil, errors.Join(err, c.closeTransport())
	}
	c.group = kernel.NewGroup(ctx)
	c.startLoops()
	return c, nil
}

func (c *Control) openStore() error {
	if c.options.Store == "" {
		c.store = c.tuning.store
		return nil
	}
	client, err := tablestore.NewClient(c.options.Store, c.tuning.storeWait)
	if err != nil {
		return err
	}
	c.store, c.closer = client, client.Close
	return nil
}

func (c *Control) listen() error {
	address, err := net.ResolveUDPAddr("udp", c.options.Listen)
	if err != nil {
		return fmt.Errorf("control address %q: %w: write it as 10.0.0.1:7300", c.options.Listen, err)
	}
	udp, err := net.ListenUDP("udp", address)
	if err != nil {
		return fmt.Errorf("control address %q: %w: choose a free UDP port of this instance", c.options.Listen, err)
	}
	c.udp = udp
	c.transport = &quic.Transport{Conn: udp}
	c.listener, err = c.transport.Listen(c.tuning.tls.Server(protocol), c.quicConfig())
	if err != nil {
		return errors.Join(err, c.closeTransport())
	}
	return nil
}

func (c *Control) openView() error {
	self := c.options.Self
	self.Control = cmp.Or(self.Control, c.Address())
	self.Started = cmp.Or(self.Started, c.now().UnixMilli())
	self.Counter = max(self.Counter, 1)
	self.State = cmp.Or(self.State, membership.StateStarting)
	if self.ID == "" {
		var id [16]byte
		_, _ = rand.Read(id[:])
		self.ID = hex.EncodeToString(id[:])
	}
	if at, err := netip.ParseAddrPort(self.Control); err != nil || at.Addr().IsUnspecified() {
		return fmt.Errorf("other nodes cannot reach control address %q: write this instance's own one, as in 10.0.0.1:7300",
			self.Control)
	}
	if !self.Valid() {
		return errors.New("the own announcement has a field that is too long: shorten the names and addresses in the settings")
	}
	c.view = membership.NewView(c.now(), self)
	c.view.SetTimeouts(c.tuning.suspicion, c.tuning.tombstone)
	return nil
}

func (c *Control) startLoops() {
	r := c.options.Rand
	c.group.Go("control-accept", c.acceptLoop)
	c.group.Go("control-seeds", c.seedLoop)
	c.group.Go("control-callbacks", c.callbackLoop)
	c.group.Every("control-tick", c.tuning.flood, 0, r, func(context.Context) { c.tick() })
	c.group.Every("control-digest", c.tuning.digest, jitter, r, func(context.Context) { c.sendDigests() })
	c.group.Every("control-gauges", c.tuning.heartbeat, 0, r, func(context.Context) { c.setGauges() })
	if c.store != nil {
		c.group.Go("control-announce", c.announceLoop)
		c.group.Go("control-list", c.listLoop)
		c.group.Go("control-poll", c.pollLoop)
	}
}

func (c *Control) now() time.Time { return c.options.Clock.Now() }

// Address returns the UDP address in use.
func (c *Control) Address() string { return c.udp.LocalAddr().String() }

// Done is closed when the control part ends, by Stop or because its listener failed.
func (c *Control) Done() <-chan struct{} { return c.group.Context().Done() }

// Members returns the members of the current view without the own one.
func (c *Control) Members() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.others())
}

// others returns the live members without the own one. The list is shared until the view changes, so callers that hand it
// out copy it; the caller holds the lock.
func (c *Control) others() []membership.Member {
	if c.listed != c.view.Changes() {
		self := c.view.Self().ID
		c.list = slices.DeleteFunc(c.view.Live(), func(m membership.Member) bool { return m.ID == self })
		c.listed = c.view.Changes()
	}
	return c.list
}

// SetState announces a new state of the own member.
func (c *Control) SetState(s membership.State) {
	c.mu.Lock()
	c.view.SetState(c.now(), s)
	c.pending[c.view.Self().ID] = nil
	c.mu.Unlock()
	signal(c.renewNow)
}

// SpreadCrash sends crash reports to all nodes.
func (c *Control) SpreadCrash(reports []quarantine.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reports {
		if c.seen.add(r) {
			c.queueCrash(nil, r)
		}
	}
	c.flushCrashes()
}

// PollStore looks for a new configuration now instead of at the next poll.
func (c *Control) PollStore() { signal(c.pollNow) }

// Stop announces StateLeft, closes the connections and waits.
func (c *Control) Stop() error {
	c.SetState(membership.StateLeft)
	c.tick()
	c.deleteRow()
	// Peers close the connection when they have read the announcement.
	for deadline := time.Now().Add(c.tuning.stopWait); c.peerCount() > 0 && time.Now().Before(deadline); {
		if !sleep(c.group.Context(), c.tuning.flood/10) {
			break
		}
	}
	return c.abort()
}

// abort closes everything without telling anybody.
func (c *Control) abort() error {
	if c.closer != nil {
		c.closer()
	}
	err := c.group.Stop()
	return errors.Join(err, c.closeTransport())
}

func (c *Control) closeTransport() error {
	var err error
	if c.listener != nil {
		err = c.listener.Close()
	}
	return errors.Join(err, c.transport.Close(), c.udp.Close())
}

func (c *Control) peerCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.peers)
}

// callbackLoop calls the node back from one goroutine, so that calls are in order and may take their time.
func (c *Control) callbackLoop(ctx context.Context) error {
	var changes, version uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.changed:
		}
		c.mu.Lock()
		members, inForce, now := []membership.Member(nil), c.inForce, c.view.Changes()
		if now != changes {
			members = slices.Clone(c.others())
		}
		c.mu.Unlock()
		if inForce.version > version {
			version = inForce.version
			if c.options.OnConfig != nil {
				c.options.OnConfig(inForce.config)
			}
		}
		if now != changes {
			changes = now
			if c.options.OnMembers != nil {
				c.options.OnMembers(members)
			}
		}
	}
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
