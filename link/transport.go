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
	// upkeepInterval is the period at which connections and calls are looked over.
	upkeepInterval = 250 * time.Millisecond
	// maxSessions bounds the senders that are known.
	maxSessions = 8192
	// acceptPause is the pause after a failure to accept, as when descriptors run out.
	acceptPause = 50 * time.Millisecond
)

// Handler takes what other nodes send. Its methods must not block.
type Handler interface {
	// Greeting returns what is said of this node when a connection opens.
	Greeting() []byte
	// Greeted takes the other node's greeting; reply sends a notice back on the same connection.
	Greeted(greeting []byte, reply func(notice []byte))
	// Call takes a call. The handler settles it through c.
	Call(c *Served)
	// Status returns what pings and pongs carry.
	Status() []byte
	// Heard takes the status of another node; reply sends a notice back on the same connection.
	Heard(status []byte, reply func(notice []byte))
	// Notice takes a notice; reply sends another one back on the same connection.
	Notice(notice []byte, reply func(notice []byte))
}

// Transport opens and accepts the connections of a node. Set its exported fields before Start.
type Transport struct {
	Clock   kernel.Clock
	Log     *event.Log
	Handler Handler
	// Incarnation tells this start of the node from earlier ones.
	Incarnation uint64

	group   *kernel.Group
	started time.Time

	mu       sync.Mutex
	peers    map[string]*Peer
	sessions map[uint64]*session
	accepted map[*conn]struct{}
}

// Start serves a listener and keeps connections until the group stops.
func (t *Transport) Start(g *kernel.Group, ln net.Listener) {
	t.group, t.started = g, t.Clock.Now()
	t.peers, t.sessions, t.accepted = map[string]*Peer{}, map[uint64]*session{}, map[*conn]struct{}{}
	g.Go("link-accept", func(ctx context.Context) error { return t.accept(ctx, ln) })
	g.Go("link-upkeep", t.upkeep)
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
			pause := time.NewTimer(acceptPause)
			select {
			case <-ctx.Done():
				pause.Stop()
				return nil
			case <-pause.C:
			}
			continue
		}
		t.group.Go("link-serve", func(context.Context) error {
			t.serve(c)
			return nil
		})
	}
}

// age returns the time since the start, for comparing moments without locks.
func (t *Transport) age() time.Duration { return t.Clock.Now().Sub(t.started) }

// Peer returns the sending side towards an address.
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

// Connect keeps connections to these addresses open, also while no call is sent.
func (t *Transport) Connect(addresses []string) {
	wanted := kernel.SetOf(addresses...)
	for address := range wanted {
		t.Peer(address)
	}
	for _, p := range t.allPeers() {
		p.keep(wanted.Has(p.address))
	}
}

// Unreachable returns for how long every attempt to connect to a node has failed; 0 when none was made since the last
// connection. It makes another attempt if earlier ones have failed, since they may have been long ago.
func (t *Transport) Unreachable(address string) time.Duration {
	p := t.Peer(address)
	if p.unreachable() == 0 {
		return 0
	}
	p.reach()
	return p.unreachable()
}

// Notify sends a notice to a node if a connection is open, and reports whether it was sent.
func (t *Transport) Notify(address string, notice []byte) bool {
	return t.Peer(address).notify(notice)
}

func (t *Transport) upkeep(ctx context.Context) error {
	timer := time.NewTicker(upkeepInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		for _, p := range t.allPeers() {
			p.check()
		}
		for _, s := range t.allSessions() {
			if s.check(t.age()) {
				t.forget(s)
			}
		}
	}
}

// forget drops a sender unless it has connected again meanwhile.
func (t *Transport) forget(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == 0 {
		delete(t.sessions, s.incarnation)
	}
}

// Broadcast sends a notice on every open connection and returns on how many.
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

// session returns what is known of the sender at the other end of a new connection, or nil when there are too many senders.
func (t *Transport) session(incarnation uint64) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sessions[incarnation]
	if !ok {
		if len(t.sessions) >= maxSessions {
			return nil
		}
		s = &session{incarnation: incarnation, calls: map[uint64]*Served{}}
		t.sessions[incarnation] = s
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
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
