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

// Options configures a Control.
type Options struct {
	Self   membership.Member
	Listen string
	Seeds  []string
	// Store is the base URL of the store, or empty for a node that runs without it.
	Store   string
	Keyring *keys.Keyring
	Clock   kernel.Clock
	Rand    *kernel.Rand
	Log     *event.Log
	Metrics *event.Metrics
	// OnMembers is called after the membership view changed, with all members except this node.
	OnMembers func([]membership.Member)
	// OnConfig is called when a configuration takes effect; versions only increase.
	OnConfig func(*inventory.Config)
	// OnCrash is called for each new crash report from another node, possibly from several goroutines at once.
	OnCrash func(quarantine.Report)
}

// maxMalformedRows limits the malformed rows that are remembered, so that each is logged once.
const maxMalformedRows = 256

// Control runs the control plane of a node: its peer connections, its membership view and its store synchronization.
type Control struct {
	options      Options
	tuning       tuning
	log          *event.Log
	metrics      *event.Metrics
	store        tablestore.Store
	closeStore   func()
	group        *kernel.Group
	udp          net.PacketConn
	transport    *quic.Transport
	listener     *quic.Listener
	pacer        *pacer
	inboundConns atomic.Int64
	pollNow      chan struct{}
	changed      chan struct{}
	renewNow     chan struct{}

	// mu guards the fields below. It is never held during I/O or a callback.
	mu sync.Mutex
	// malformedRows holds, by key, one more than the version of the last malformed row of the members table that was logged.
	malformedRows      *kernel.LRU[string, uint64]
	view               *membership.View
	rings              membership.Rings
	ringsRosterVersion uint64
	// ringsConfigVersion is the version of the configuration that gave the members' regions when the rings were built.
	ringsConfigVersion uint64
	// cachedOthers is the result of otherMembers when the view's change count was cachedChanges.
	cachedOthers  []membership.Member
	cachedChanges uint64
	peers         map[*peer]struct{}
	watchers      map[string]*watcher
	// pendingFlood maps each member whose announcement, suspicion or death is to be flooded to the peer that sent it, or to nil
	// when it comes from this node or the store.
	pendingFlood   map[string]*peer
	pendingCrashes map[*peer][]quarantine.Report
	seenCrashes    boundedSet[quarantine.Report]
	// recentCrashes holds the latest crash reports for peers that connect later, because a flood misses a node whose
	// connections are being replaced at that moment.
	recentCrashes []recentCrash
	// synced is set once a peer has answered a digest, so that the view includes the members that this peer knows.
	synced    bool
	refutedAt time.Time
	// ownSeeds holds the seed addresses at which this node itself answered.
	ownSeeds          map[string]bool
	adopter           rollout.Adopter
	loaded            loadedConfig
	inForce           loadedConfig
	inForceAt         time.Time
	pullVersion       uint64
	pullDeadline      time.Time
	unreadableVersion uint64
	// polledVersion is the version that the store named last.
	polledVersion uint64
	storeStatus   StoreStatus
}

// Start opens the control listener, joins through the seeds and the store, and runs until Stop or until ctx ends.
func Start(ctx context.Context, o Options) (*Control, error) {
	t := defaultTuning()
	t.tls = nodeOnlyKeyring{o.Keyring}
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
		options:        o,
		tuning:         t,
		malformedRows:  kernel.NewLRU[string, uint64](maxMalformedRows),
		log:            o.Log,
		metrics:        o.Metrics,
		pacer:          &pacer{interval: t.dialInterval, rand: o.Rand},
		pollNow:        make(chan struct{}, 1),
		changed:        make(chan struct{}, 1),
		renewNow:       make(chan struct{}, 1),
		peers:          map[*peer]struct{}{},
		watchers:       map[string]*watcher{},
		pendingFlood:   map[string]*peer{},
		pendingCrashes: map[*peer][]quarantine.Report{},
		seenCrashes:    boundedSet[quarantine.Report]{capacity: maxSeenCrashes},
		ownSeeds:       map[string]bool{},
	}
	if err := c.openStore(); err != nil {
		return nil, err
	}
	if err := c.listen(); err != nil {
		return nil, err
	}
	if err := c.initView(); err != nil {
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
	client, err := tablestore.NewClient(c.options.Store, c.tuning.storeTimeout)
	if err != nil {
		return err
	}
	c.store, c.closeStore = client, client.Close
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
	c.listener, err = c.transport.Listen(c.tuning.tls.ServerConfig(protocol), c.quicConfig())
	if err != nil {
		return errors.Join(err, c.closeTransport())
	}
	return nil
}

func (c *Control) initView() error {
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
		return errors.New("this node's announcement has a field that is too long: shorten the names and addresses in the settings")
	}
	c.view = membership.NewView(c.now(), self)
	c.view.SetTimeouts(c.tuning.suspicionTimeout, c.tuning.tombstoneRetention)
	return nil
}

func (c *Control) startLoops() {
	r := c.options.Rand
	c.group.Go("control-accept", c.acceptLoop)
	c.group.Go("control-seeds", c.seedLoop)
	c.group.Go("control-callbacks", c.callbackLoop)
	c.group.Every("control-tick", c.tuning.floodInterval, 0, r, func(context.Context) { c.tick() })
	c.group.Every("control-digest", c.tuning.digestInterval, jitterFraction, r, func(context.Context) { c.sendDigests() })
	c.group.Every("control-gauges", c.tuning.heartbeatInterval, 0, r, func(context.Context) { c.setGauges() })
	if c.store != nil {
		c.group.Go("control-announce", c.announceLoop)
		c.group.Go("control-list", c.listLoop)
		c.group.Go("control-poll", c.pollLoop)
	}
}

func (c *Control) now() time.Time { return c.options.Clock.Now() }

// Address returns the UDP address of the control listener.
func (c *Control) Address() string { return c.udp.LocalAddr().String() }

// Done returns a channel that is closed when the Control ends, by Stop or because its listener failed.
func (c *Control) Done() <-chan struct{} { return c.group.Context().Done() }

// Members returns the live members of the current view except this node.
func (c *Control) Members() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.otherMembers())
}

// otherMembers returns the live members except this node. The slice is cached until the view changes, so callers that pass it
// on must copy it. The caller must hold c.mu.
func (c *Control) otherMembers() []membership.Member {
	if c.cachedChanges != c.view.ChangeCount() {
		self := c.view.Self().ID
		c.cachedOthers = slices.DeleteFunc(c.view.Live(), func(m membership.Member) bool { return m.ID == self })
		c.cachedChanges = c.view.ChangeCount()
	}
	return c.cachedOthers
}

// SetState changes the state of this node and announces it to the peers and the store.
func (c *Control) SetState(s membership.State) {
	c.mu.Lock()
	c.view.SetState(c.now(), s)
	c.pendingFlood[c.view.Self().ID] = nil
	c.mu.Unlock()
	signal(c.renewNow)
}

// FloodCrashes floods crash reports to all nodes.
func (c *Control) FloodCrashes(reports []quarantine.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range reports {
		if c.seenCrashes.add(r) {
			c.queueCrash(nil, r)
		}
	}
	c.flushCrashes()
}

// PollStore polls the store for a new configuration now instead of at the next interval.
func (c *Control) PollStore() { signal(c.pollNow) }

// Stop announces StateLeft, deletes this node's row in the store, closes the connections and waits for the goroutines.
func (c *Control) Stop() error {
	c.SetState(membership.StateLeft)
	c.tick()
	c.deleteRow()
	// Peers close the connection after reading the announcement.
	for deadline := time.Now().Add(c.tuning.stopTimeout); c.peerCount() > 0 && time.Now().Before(deadline); {
		if !sleep(c.group.Context(), c.tuning.floodInterval/10) {
			break
		}
	}
	return c.abort()
}

// abort closes the store client, the connections and the listener without announcing that the node leaves.
func (c *Control) abort() error {
	if c.closeStore != nil {
		c.closeStore()
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

// callbackLoop invokes OnConfig and OnMembers from one goroutine, so that the calls are in order and may block.
func (c *Control) callbackLoop(ctx context.Context) error {
	var lastChanges, lastVersion uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.changed:
		}
		c.mu.Lock()
		members, inForce, changes := []membership.Member(nil), c.inForce, c.view.ChangeCount()
		if changes != lastChanges {
			members = slices.Clone(c.otherMembers())
		}
		c.mu.Unlock()
		if inForce.version > lastVersion {
			lastVersion = inForce.version
			if c.options.OnConfig != nil {
				c.options.OnConfig(inForce.config)
			}
		}
		if changes != lastChanges {
			lastChanges = changes
			if c.options.OnMembers != nil {
				c.options.OnMembers(members)
			}
		}
	}
}

// signal wakes the receiver of ch without blocking; signals sent before it receives are merged into one.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
