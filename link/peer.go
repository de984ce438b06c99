package link

import (
	"context"
	"encoding/binary"
	"errors"
	"sync"
	"time"
)

const (
	// dialTimeout bounds a connection attempt. Two round trips between regions take 120 ms.
	dialTimeout = 500 * time.Millisecond
	// helloTimeout bounds the wait for the peer's hello frame.
	helloTimeout = 700 * time.Millisecond
	// idlePingDelay is how long nothing may be read from a persistent connection, or one with pending calls, before a ping.
	idlePingDelay = 500 * time.Millisecond
	// pongTimeout is how long nothing may be read after a ping before the connection is closed as unresponsive.
	pongTimeout = time.Second
	// statusInterval is the period of pings on a persistent connection, so that busy connections exchange statuses too.
	statusInterval = time.Second
	// idleTimeout is how long a connection that is not persistent may be without calls before it is closed.
	idleTimeout = 30 * time.Second
	// maxUnacknowledged bounds the bytes of answers that were received and not acknowledged.
	maxUnacknowledged = 256 << 10
	// minRedialBackoff and maxRedialBackoff bound the backoff between connection attempts.
	minRedialBackoff = 100 * time.Millisecond
	maxRedialBackoff = 2 * time.Second
	// maxKeptNotices bounds the notices that are kept while a connection is opened.
	maxKeptNotices = 64
	// unreachableTimeout is how long connection attempts must fail before sent calls are reported as stalled.
	unreachableTimeout = time.Second
)

// Result is the outcome of a call: Answer or Lost.
type Result interface{ result() }

// Answer is the receiver's answer to a call.
type Answer struct{ Payload []byte }

// Lost reports a call that ended without an answer.
type Lost struct {
	// Sent is set when the call may have reached the receiver.
	Sent bool
}

func (Answer) result() {}
func (Lost) result()   {}

// Pending is a call in flight.
type Pending struct {
	// Done receives the result of the call.
	Done chan Result
	// Stalled is closed when the receiver can't be reached and the call may be running there. A result may still arrive.
	Stalled chan struct{}
	// stalled is set once Stalled is closed.
	stalled bool
	peer    *Peer
	number  uint64
	payload []byte
	sent    bool
	// withdrawn is set by Withdraw.
	withdrawn bool
}

// Peer sends calls to the node at one address.
type Peer struct {
	t       *Transport
	address string

	mu         sync.Mutex
	conn       *conn
	dialing    bool
	persistent bool
	// incarnation is the receiver's incarnation at the last handshake; sent calls belong to it.
	incarnation uint64
	lastNumber  uint64
	pending     map[uint64]*Pending
	failures    int
	// firstFailure and lastFailure are when the first and the last of the consecutive failed connection attempts ended.
	firstFailure time.Duration
	lastFailure  time.Duration
	redialAt     time.Duration
	lastUsed     time.Duration
	// lastPing is when the last ping was sent, and awaitingPong is set while nothing has been read since.
	lastPing     time.Duration
	awaitingPong bool
	// acked is the number in the last ack that was sent.
	acked uint64
	// notices are sent when the connection that is being opened is open.
	notices [][]byte
	// answered holds the numbers of the calls answered since then, and answeredBytes is the size of their answers.
	answered      []uint64
	answeredBytes int
}

// Call sends a call and returns at once. The result arrives on Done unless the call is cancelled.
func (p *Peer) Call(payload []byte) *Pending {
	c := &Pending{Done: make(chan Result, 1), Stalled: make(chan struct{}), peer: p, payload: payload}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNumber++
	c.number = p.lastNumber
	p.pending[c.number] = c
	p.lastUsed = p.t.uptime()
	if p.conn != nil {
		p.sendLocked(c)
	} else {
		p.dialLocked()
	}
	return c
}

// Cancel abandons the call and sends a cancellation if the call was sent; no result arrives on Done.
func (c *Pending) Cancel() {
	p := c.peer
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.pending[c.number]; !ok {
		return
	}
	delete(p.pending, c.number)
	if p.conn != nil && c.sent {
		p.conn.send(frame{kind: kindCancel, number: c.number})
	}
}

// Withdraw asks the receiver to answer the call at once if it has not started there. A call that was not sent ends as Lost. The
// result arrives on Done in any case.
func (c *Pending) Withdraw() {
	p := c.peer
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.pending[c.number]; !ok || c.withdrawn {
		return
	}
	c.withdrawn = true
	switch {
	case !c.sent:
		p.completeLocked(c.number, Lost{})
	case p.conn != nil:
		p.conn.send(frame{kind: kindWithdraw, number: c.number})
	}
}

func (p *Peer) sendLocked(c *Pending) {
	c.sent = true
	p.conn.send(frame{kind: kindCall, number: c.number, payload: c.payload})
	if c.withdrawn {
		p.conn.send(frame{kind: kindWithdraw, number: c.number})
	}
}

func (p *Peer) completeLocked(number uint64, r Result) {
	if c, ok := p.pending[number]; ok {
		delete(p.pending, number)
		c.Done <- r
	}
}

// setPersistent sets whether the connection is kept open while no calls are in flight.
func (p *Peer) setPersistent(persistent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.persistent = persistent
	if persistent && p.conn == nil && p.t.uptime() >= p.redialAt {
		p.dialLocked()
	}
}

// unreachableFor returns the time between the first and the last of the consecutive failed connection attempts.
func (p *Peer) unreachableFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures == 0 || p.conn != nil {
		return 0
	}
	// A single failed attempt must not yield 0, which means that the node is not known to be unreachable.
	return max(p.lastFailure-p.firstFailure, 1)
}

// tryDial dials and waits for the outcome, unless a connection is open or another attempt is in progress.
func (p *Peer) tryDial() {
	p.mu.Lock()
	skip := p.conn != nil || p.dialing || p.t.group.Context().Err() != nil
	p.dialing = p.dialing || !skip
	p.mu.Unlock()
	if !skip {
		p.dial()
	}
}

func (p *Peer) notify(notice []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn != nil && p.conn.send(frame{kind: kindNotice, payload: notice})
}

// notifyOnceConnected sends a notice, or keeps it until an attempt to connect ends.
func (p *Peer) notifyOnceConnected(notice []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = p.t.uptime()
	if p.conn != nil {
		return p.conn.send(frame{kind: kindNotice, payload: notice})
	}
	if len(p.notices) >= maxKeptNotices || !p.dialing && p.t.uptime() < p.redialAt {
		return false
	}
	p.notices = append(p.notices, notice)
	p.dialLocked()
	return true
}

func (p *Peer) dialLocked() {
	if p.dialing || p.t.group.Context().Err() != nil {
		return
	}
	p.dialing = true
	p.t.group.Go("link-dial", func(context.Context) error {
		p.dial()
		return nil
	})
}

func (p *Peer) dial() {
	k, incarnation, err := p.t.open(p.address)
	if err != nil {
		p.dialFailed(err)
		if p.t.OnRefused != nil && errors.Is(err, ErrRefused) {
			p.t.OnRefused(p.address)
		}
		return
	}
	p.connected(k, incarnation)
}

// dialFailed reports unsent calls as lost, and sent ones too if the connection was refused, since the receiver's process has
// then ended. Otherwise the receiver may be frozen or cut off, so that sent calls stay pending and are reported as stalled after
// unreachableTimeout.
func (p *Peer) dialFailed(err error) {
	refused := errors.Is(err, ErrRefused)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing = false
	p.notices = nil
	if p.failures == 0 {
		p.firstFailure = p.t.uptime()
	}
	p.failures++
	p.lastFailure = p.t.uptime()
	p.redialAt = p.t.uptime() + min(maxRedialBackoff, minRedialBackoff<<min(p.failures, 10))
	unreachable := p.t.uptime()-p.firstFailure >= unreachableTimeout
	for number, c := range p.pending {
		switch {
		case !c.sent:
			p.completeLocked(number, Lost{})
		case refused:
			p.completeLocked(number, Lost{Sent: true})
		case unreachable && !c.stalled:
			c.stalled = true
			close(c.Stalled)
		}
	}
}

// connected resends the unanswered calls. Calls that were sent to an earlier incarnation of the receiver are lost, since they
// may have run there.
func (p *Peer) connected(k *conn, incarnation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing, p.conn, p.failures, p.awaitingPong = false, k, 0, false
	p.lastUsed = p.t.uptime()
	if p.incarnation != incarnation {
		for number, c := range p.pending {
			if c.sent {
				p.completeLocked(number, Lost{Sent: true})
			}
		}
		p.incarnation = incarnation
	}
	p.sendAckLocked()
	for _, c := range p.pending {
		p.sendLocked(c)
	}
	for _, notice := range p.notices {
		k.send(frame{kind: kindNotice, payload: notice})
	}
	p.notices = nil
	p.t.group.Go("link-write", func(context.Context) error {
		k.writeLoop()
		return nil
	})
	p.t.group.Go("link-read", func(context.Context) error {
		p.read(k)
		return nil
	})
}

// sendAckLocked acknowledges all calls below the oldest pending one, so that the receiver can drop them, and releases the answers to
// later ones.
func (p *Peer) sendAckLocked() {
	lowest := p.lastNumber + 1
	for number := range p.pending {
		lowest = min(lowest, number)
	}
	if lowest != p.acked {
		p.acked = lowest
		p.conn.send(frame{kind: kindAck, number: lowest})
	}
	var released []byte
	for _, number := range p.answered {
		if number >= lowest {
			released = binary.BigEndian.AppendUint64(released, number)
		}
	}
	p.answered, p.answeredBytes = p.answered[:0], 0
	if len(released) > 0 {
		p.conn.send(frame{kind: kindRelease, payload: released})
	}
}

func (p *Peer) read(k *conn) {
	for {
		f, err := readFrame(k.r)
		if err != nil {
			break
		}
		k.lastRead.Store(int64(p.t.uptime()))
		p.handleFrame(k, f)
	}
	p.connectionLost(k)
}

func (p *Peer) handleFrame(k *conn, f frame) {
	switch f.kind {
	case kindAnswer, kindOutcomeUnknown:
		p.mu.Lock()
		defer p.mu.Unlock()
		if f.kind == kindAnswer {
			p.completeLocked(f.number, Answer{f.payload})
			p.answered = append(p.answered, f.number)
			p.answeredBytes += len(f.payload)
			if p.answeredBytes >= maxUnacknowledged && p.conn != nil {
				p.sendAckLocked()
			}
		} else {
			p.completeLocked(f.number, Lost{Sent: true})
		}
	case kindPong:
		p.t.Handler.HandleStatus(f.payload, k.reply)
	case kindNotice:
		p.t.Handler.HandleNotice(f.payload, k.reply)
	}
}

// reply sends a notice on the connection. It is passed to the Handler along with a received message.
func (k *conn) reply(notice []byte) { k.send(frame{kind: kindNotice, payload: notice}) }

// connectionLost closes k and redials if calls are pending or the connection is persistent.
func (p *Peer) connectionLost(k *conn) {
	k.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != k {
		return
	}
	p.conn = nil
	p.redialAt = p.t.uptime()
	if len(p.pending) > 0 || p.persistent {
		p.dialLocked()
	}
}

// maintain pings a quiet connection, closes an unresponsive or idle one, redials when a connection is needed, and sends
// acks.
func (p *Peer) maintain() {
	now := p.t.uptime()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		if (p.persistent || len(p.pending) > 0) && now >= p.redialAt {
			p.dialLocked()
		}
		return
	}
	lastRead := time.Duration(p.conn.lastRead.Load())
	if lastRead > p.lastPing {
		p.awaitingPong = false
	}
	switch needed := p.persistent || len(p.pending) > 0; {
	case p.awaitingPong && needed && now-p.lastPing >= pongTimeout:
		p.t.Log.Warn("link-silent", "node", p.address, "quiet", now-lastRead, "calls", len(p.pending))
		p.conn.close() // The read loop fails and redials.
	case !p.awaitingPong && (needed && now-lastRead >= idlePingDelay || p.persistent && now-p.lastPing >= statusInterval):
		p.awaitingPong, p.lastPing = true, now
		p.conn.send(frame{kind: kindPing, payload: p.t.Handler.Status()})
	case !needed && now-p.lastUsed > idleTimeout:
		p.conn.close()
	}
	p.sendAckLocked()
}

func (p *Peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.close()
	}
}

// open dials an address and exchanges hello frames.
func (t *Transport) open(address string) (*conn, uint64, error) {
	c, err := Dial(address, dialTimeout)
	if err != nil {
		return nil, 0, err
	}
	k := newConn(c)
	incarnation, err := t.handshake(k)
	if err != nil {
		k.close()
		return nil, 0, err
	}
	return k, incarnation, nil
}

func (t *Transport) handshake(k *conn) (uint64, error) {
	if err := k.c.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return 0, err
	}
	hello := frame{kind: kindHello, number: t.Incarnation, payload: t.Handler.Hello()}
	if err := k.write(appendFrame(nil, hello)); err != nil {
		return 0, err
	}
	f, err := readFrame(k.r)
	if err != nil {
		return 0, err
	}
	if f.kind != kindHello {
		return 0, Err.New("first frame has kind %d instead of hello: the peer uses another protocol", f.kind)
	}
	if err := k.c.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	k.lastRead.Store(int64(t.uptime()))
	t.Handler.HandleHello(f.payload, k.reply)
	return f.number, nil
}
