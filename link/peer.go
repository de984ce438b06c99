package link

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// dialTimeout bounds a connection attempt. Two round trips between regions take 120 ms.
	dialTimeout = 500 * time.Millisecond
	// helloTimeout bounds the wait for the other end's greeting.
	helloTimeout = 700 * time.Millisecond
	// quietInterval is how long a connection with calls under way, or one that is kept, may be quiet before a ping is sent.
	quietInterval = 500 * time.Millisecond
	// silentInterval is how long nothing may be heard after a ping before the connection counts as silent.
	silentInterval = time.Second
	// statusInterval is the period of pings on a kept connection, so that statuses are exchanged while calls flow too.
	statusInterval = time.Second
	// idleInterval is how long a connection that is not kept may be without calls before it is closed.
	idleInterval = 30 * time.Second
	// firstRedial and longestRedial bound the pause between connection attempts to a kept address.
	firstRedial   = 100 * time.Millisecond
	longestRedial = 2 * time.Second
	// lostAfter is how long connection attempts must fail before calls that were sent are given up.
	lostAfter = time.Second
)

// Result is the end of a call: Answer or Lost.
type Result interface{ result() }

// Answer is the other node's answer.
type Answer struct{ Payload []byte }

// Lost means that there is no answer.
type Lost struct {
	// Sent is set when the call may have reached the other node.
	Sent bool
}

func (Answer) result() {}
func (Lost) result()   {}

// Pending is a call under way.
type Pending struct {
	// Done receives the end of the call.
	Done    chan Result
	peer    *Peer
	number  uint64
	payload []byte
	sent    bool
}

// Peer is the sending side towards one address.
type Peer struct {
	t       *Transport
	address string

	mu      sync.Mutex
	conn    *conn
	dialing bool
	kept    bool
	// incarnation is the receiver's start that sent calls belong to.
	incarnation uint64
	next        uint64
	pending     map[uint64]*Pending
	failures    int
	// failedAt and lastFailure are when the first and the last of the failed connection attempts in a row ended.
	failedAt    time.Duration
	lastFailure time.Duration
	redialAt    time.Duration
	used        time.Duration
	// pinged is when the last ping was sent, and waiting says that nothing was read since.
	pinged  time.Duration
	waiting bool
	// settled is the last number that the receiver was told.
	settled uint64
}

// Call sends a call. The result arrives on Done unless the call is cancelled.
func (p *Peer) Call(payload []byte) *Pending {
	c := &Pending{Done: make(chan Result, 1), peer: p, payload: payload}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	c.number = p.next
	p.pending[c.number] = c
	p.used = p.t.age()
	if p.conn != nil {
		p.sendLocked(c)
	} else {
		p.dialLocked()
	}
	return c
}

// Cancel tells the other node that the answer is not needed any more; no result follows.
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

func (p *Peer) sendLocked(c *Pending) {
	c.sent = true
	p.conn.send(frame{kind: kindCall, number: c.number, payload: c.payload})
}

func (p *Peer) settleLocked(number uint64, r Result) {
	if c, ok := p.pending[number]; ok {
		delete(p.pending, number)
		c.Done <- r
	}
}

// keep says whether the connection is held open without calls.
func (p *Peer) keep(kept bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kept = kept
	if kept && p.conn == nil && p.t.age() >= p.redialAt {
		p.dialLocked()
	}
}

// unreachable returns the time between the first and the last of the connection attempts that have failed in a row.
func (p *Peer) unreachable() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures == 0 || p.conn != nil {
		return 0
	}
	// An attempt that has just failed for the first time counts too.
	return max(p.lastFailure-p.failedAt, 1)
}

// reach waits for a connection attempt unless a connection is open or another attempt is under way.
func (p *Peer) reach() {
	p.mu.Lock()
	vain := p.conn != nil || p.dialing || p.t.group.Context().Err() != nil
	p.dialing = p.dialing || !vain
	p.mu.Unlock()
	if !vain {
		p.dial()
	}
}

func (p *Peer) notify(notice []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn != nil && p.conn.send(frame{kind: kindNotice, payload: notice})
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
		p.failed(err)
		return
	}
	p.opened(k, incarnation)
}

// failed settles the calls that cannot be sent. Calls that were sent before stay under way for a while, since the path may
// come back, unless nothing listens at the address any more.
func (p *Peer) failed(err error) {
	refused := errors.Is(err, ErrRefused)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing = false
	if p.failures == 0 {
		p.failedAt = p.t.age()
	}
	p.failures++
	p.lastFailure = p.t.age()
	p.redialAt = p.t.age() + min(longestRedial, firstRedial<<min(p.failures, 10))
	lost := refused || p.t.age()-p.failedAt >= lostAfter
	for number, c := range p.pending {
		switch {
		case !c.sent:
			p.settleLocked(number, Lost{})
		case lost:
			p.settleLocked(number, Lost{Sent: true})
		}
	}
}

// opened sends the calls that have no answer yet. Those that an earlier start of the receiver got may have run there.
func (p *Peer) opened(k *conn, incarnation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing, p.conn, p.failures, p.waiting = false, k, 0, false
	p.used = p.t.age()
	if p.incarnation != incarnation {
		for number, c := range p.pending {
			if c.sent {
				p.settleLocked(number, Lost{Sent: true})
			}
		}
		p.incarnation = incarnation
	}
	p.settledLocked()
	for _, c := range p.pending {
		p.sendLocked(c)
	}
	p.t.group.Go("link-write", func(context.Context) error {
		k.writeLoop()
		return nil
	})
	p.t.group.Go("link-read", func(context.Context) error {
		p.read(k)
		return nil
	})
}

// settledLocked tells the receiver which answers are not needed any more.
func (p *Peer) settledLocked() {
	least := p.next + 1
	for number := range p.pending {
		least = min(least, number)
	}
	if least != p.settled {
		p.settled = least
		p.conn.send(frame{kind: kindSettled, number: least})
	}
}

func (p *Peer) read(k *conn) {
	for {
		f, err := readFrame(k.r)
		if err != nil {
			break
		}
		k.heard.Store(int64(p.t.age()))
		p.take(k, f)
	}
	p.lost(k)
}

func (p *Peer) take(k *conn, f frame) {
	switch f.kind {
	case kindAnswer, kindUnknown:
		p.mu.Lock()
		defer p.mu.Unlock()
		if f.kind == kindAnswer {
			p.settleLocked(f.number, Answer{f.payload})
		} else {
			p.settleLocked(f.number, Lost{Sent: true})
		}
	case kindPong:
		p.t.Handler.Heard(f.payload, k.reply)
	case kindNotice:
		p.t.Handler.Notice(f.payload, k.reply)
	}
}

// reply sends a notice back on the connection that news came on.
func (k *conn) reply(notice []byte) { k.send(frame{kind: kindNotice, payload: notice}) }

// lost opens another connection when calls wait for their answers.
func (p *Peer) lost(k *conn) {
	k.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != k {
		return
	}
	p.conn = nil
	p.redialAt = p.t.age()
	if len(p.pending) > 0 || p.kept {
		p.dialLocked()
	}
}

// check pings a quiet connection, closes a silent or an idle one, and redials a kept address.
func (p *Peer) check() {
	now := p.t.age()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		if (p.kept || len(p.pending) > 0) && now >= p.redialAt {
			p.dialLocked()
		}
		return
	}
	heard := time.Duration(p.conn.heard.Load())
	if heard > p.pinged {
		p.waiting = false
	}
	switch needed := p.kept || len(p.pending) > 0; {
	case p.waiting && needed && now-p.pinged >= silentInterval:
		p.t.Log.Warn("link-silent", "node", p.address, "quiet", now-heard, "calls", len(p.pending))
		p.conn.close() // The reader sees the end and opens another connection.
	case !p.waiting && (needed && now-heard >= quietInterval || p.kept && now-p.pinged >= statusInterval):
		p.waiting, p.pinged = true, now
		p.conn.send(frame{kind: kindPing, payload: p.t.Handler.Status()})
	case !needed && now-p.used > idleInterval:
		p.conn.close()
	}
	p.settledLocked()
}

func (p *Peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.close()
	}
}

// open dials an address and exchanges greetings.
func (t *Transport) open(address string) (*conn, uint64, error) {
	c, err := Dial(address, dialTimeout)
	if err != nil {
		return nil, 0, err
	}
	k := newConn(c)
	incarnation, err := t.greet(k)
	if err != nil {
		k.close()
		return nil, 0, err
	}
	return k, incarnation, nil
}

func (t *Transport) greet(k *conn) (uint64, error) {
	if err := k.c.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return 0, err
	}
	hello := frame{kind: kindHello, number: t.Incarnation, payload: t.Handler.Greeting()}
	if err := k.write(appendFrame(nil, hello)); err != nil {
		return 0, err
	}
	f, err := readFrame(k.r)
	if err != nil {
		return 0, err
	}
	if f.kind != kindHello {
		return 0, Err.New("the other end opened with frame kind %d: it speaks another protocol", f.kind)
	}
	if err := k.c.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	k.heard.Store(int64(t.age()))
	t.Handler.Greeted(f.payload, k.reply)
	return f.number, nil
}
