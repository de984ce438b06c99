package link

import (
	"context"
	"net"
	"sync"
	"time"

	"lovagelane/event"
	"lovagelane/kernel"
)

const (
	// maintenanceInterval is the period of the checks of connections and sessions.
	maintenanceInterval = 250 * time.Millisecond
	// maxSessions bounds the sessions of senders.
	maxSessions = 8192
	// acceptRetryDelay is the delay after a failed accept, for example when file descriptors run out.
	acceptRetryDelay = 50 * time.Millisecond
)

// Handler handles the messages of other nodes. Its methods must not block. Status is called while a Peer is locked, so it must
// not call the Transport.
type Handler interface {
	// Hello returns the payload of this node's hello frame.
	Hello() []byte
	// HandleHello handles the payload of a hello frame; reply sends a notice on the same connection.
	HandleHello(hello []byte, reply func(notice []byte))
	// Call handles a call. The handler must answer it with c.Answer.
	Call(c *IncomingCall)
	// Status returns the payload of pings and pongs.
	Status() []byte
	// HandleStatus handles the status of another node; reply sends a notice on the same connection.
	HandleStatus(status []byte, reply func(notice []byte))
	// HandleNotice handles a notice; reply sends another one on the same connection.
	HandleNotice(notice []byte, reply func(notice []byte))
}

// Transport opens and accepts the connections of a node. Set its exported fields before Start.
type Transport struct {
	Clock   kernel.Clock
	Log     *event.Log
	Handler Handler
	// MaxAccepted limits the accepted connections, of which half may be before their hello frame; zero means no limit. Further ones
	// are closed.
	MaxAccepted int
	// Incarnation distinguishes this process of the node from earlier ones.
	Incarnation uint64
	// OnRefused, if set, is called when a node refuses connections: its process has ended.
	OnRefused func(address string)

	group   *kernel.Group
	started time.Time

	mu       sync.Mutex
	peers    map[string]*Peer
	sessions map[uint64]*session
	accepted map[*conn]struct{}
	// greeting counts the accepted connections before their hello frame.
	greeting int
}

// Start accepts connections from the listener and maintains connections until the group stops.
func (t *Transport) Start(g *kernel.Group, ln net.Listener) {
	t.group, t.started = g, t.Clock.Now()
	t.peers, t.sessions, t.accepted = map[string]*Peer{}, map[uint64]*session{}, map[*conn]struct{}{}
	g.Go("link-accept", func(ctx context.Context) error { return t.accept(ctx, ln) })
	g.Go("link-upkeep", t.maintain)
	g.Go("link-close", func(ctx context.Context) error {
		<-ctx.Done()
		t.closeAll()
		return ln.Close()
	})
}

func (t *Transport) accept(ctx context.Context, ln net.Listener) error {
	for {
		c, err := ln.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			t.Log.Warn("link-accept-failed", "error", err)
			retry := time.NewTimer(acceptRetryDelay)
			select {
			case <-ctx.Done():
				retry.Stop()
				return nil
			case <-retry.C:
			}
			continue
		}
		k := newConn(c)
		if !t.admit(k) {
			t.Log.Warn("link-too-many-connections", "peer", c.RemoteAddr().String(), "limit", t.MaxAccepted)
			k.close()
			continue
		}
		t.group.Go("link-serve", func(context.Context) error {
			t.serve(k)
			return nil
		})
	}
}

// admit adds a connection to the accepted ones unless there are too many.
func (t *Transport) admit(k *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.MaxAccepted > 0 && (len(t.accepted) >= t.MaxAccepted || 2*t.greeting >= t.MaxAccepted) {
		return false
	}
	t.accepted[k] = struct{}{}
	t.greeting++
	return true
}

// endGreeting records that a connection has sent its hello frame or failed.
func (t *Transport) endGreeting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.greeting--
}

// uptime returns the time since Start. Times are kept as durations so that they fit into atomic integers.
func (t *Transport) uptime() time.Duration { return t.Clock.Now().Sub(t.started) }

// Peer returns the Peer for an address and creates it if needed.
func (t *Transport) Peer(address string) *Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[address]
	if !ok {
		p = &Peer{t: t, address: address, pending: map[uint64]*Pending{}}
		t.peers[address] = p
	}
	return p
}

func (t *Transport) allPeers() []*Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*Peer, 0, len(t.peers))
	for _, p := range t.peers {
		list = append(list, p)
	}
	return list
}

func (t *Transport) allSessions() []*session {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*session, 0, len(t.sessions))
	for _, s := range t.sessions {
		list = append(list, s)
	}
	return list
}

// SetPersistentPeers makes the connections to exactly these addresses persistent: they stay open while no calls are in flight.
func (t *Transport) SetPersistentPeers(addresses []string) {
	wanted := kernel.SetOf(addresses...)
	for address := range wanted {
		t.Peer(address)
	}
	for _, p := range t.allPeers() {
		p.setPersistent(wanted.Has(p.address))
	}
}

// UnreachableFor returns for how long every attempt to connect to a node has failed, or 0 if none has failed since the last
// connection. If earlier attempts have failed, it makes another one, since they may have been long ago.
func (t *Transport) UnreachableFor(address string) time.Duration {
	p := t.Peer(address)
	if p.unreachableFor() == 0 {
		return 0
	}
	p.tryDial()
	return p.unreachableFor()
}

// IsUnreachable reports whether the last attempt to connect to a node has failed. It makes no attempt.
func (t *Transport) IsUnreachable(address string) bool { return t.Peer(address).unreachableFor() > 0 }

// Notify sends a notice to a node, and opens a connection if there is none. It reports false if the notice is lost already; it is
// also lost if the connection breaks or can't be opened.
func (t *Transport) Notify(address string, notice []byte) bool {
	return t.Peer(address).notifyOnceConnected(notice)
}

func (t *Transport) maintain(ctx context.Context) error {
	timer := time.NewTicker(maintenanceInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		for _, p := range t.allPeers() {
			p.maintain()
		}
		for _, s := range t.allSessions() {
			if s.cancelOrphans(t.uptime()) {
				t.removeSession(s)
			}
		}
	}
}

// removeSession removes a session unless its sender has reconnected.
func (t *Transport) removeSession(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections == 0 {
		delete(t.sessions, s.incarnation)
	}
}

// Broadcast sends a notice on every open connection and returns on how many it was sent.
func (t *Transport) Broadcast(notice []byte) int {
	count := 0
	for _, p := range t.allPeers() {
		if p.notify(notice) {
			count++
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.accepted {
		if k.send(frame{kind: kindNotice, payload: notice}) {
			count++
		}
	}
	return count
}

// attach adds a new connection to the sender's session, which it creates if needed, or returns nil at maxSessions.
func (t *Transport) attach(incarnation uint64) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sessions[incarnation]
	if !ok {
		if len(t.sessions) >= maxSessions {
			return nil
		}
		s = &session{incarnation: incarnation, calls: map[uint64]*IncomingCall{}}
		t.sessions[incarnation] = s
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections++
	return s
}

func (t *Transport) closeAll() {
	for _, p := range t.allPeers() {
		p.close()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.accepted {
		k.close()
	}
}
