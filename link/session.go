package link

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// orphanInterval is how long calls of a sender without a connection go on before they are cancelled.
	orphanInterval = 3 * time.Second
	// sessionLife is how long a sender without a connection is remembered, so that its calls are not run again. It is
	// longer than any sender tries to reach a node with calls under way.
	sessionLife = 60 * time.Second
	// maxCalls bounds the calls of one sender that are kept.
	maxCalls = 16384
)

// Served is a call of another node; Answer must be called once.
type Served struct {
	// Payload is what the sender sent; it is dropped with the answer.
	Payload []byte

	session *session
	number  uint64
	// The other fields are guarded by session.mu. The answer goes out on the connection that the call came on last: of two
	// connections of a sender the one that was accepted later need not be the one that lives.
	conn      *conn
	cancelled bool
	onCancel  func()
	done      bool
	answer    []byte
}

// session is what is known of one start of a sender.
type session struct {
	incarnation uint64

	mu sync.Mutex
	// open is the number of connections.
	open int
	// settled is the number below which the sender needs no answers; calls below it never run.
	settled uint64
	calls   map[uint64]*Served
	// gone is when the last connection was lost.
	gone time.Duration
}

// serve reads the frames of one accepted connection.
func (t *Transport) serve(c net.Conn) {
	k := newConn(c)
	t.mu.Lock()
	t.accepted[k] = struct{}{}
	t.mu.Unlock()
	defer func() {
		k.close()
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.accepted, k)
	}()
	if err := watchSilence(c); err != nil {
		t.Log.Warn("link-option-failed", "error", err)
		return
	}
	incarnation, err := t.greet(k)
	if err != nil {
		return
	}
	s := t.session(incarnation)
	if s == nil {
		t.Log.Warn("link-too-many-senders", "limit", maxSessions)
		return
	}
	t.group.Go("link-write", func(context.Context) error {
		k.writeLoop()
		return nil
	})
	for {
		f, err := readFrame(k.r)
		if err != nil {
			break
		}
		t.take(s, k, f)
	}
	s.detach(t.age())
}

func (t *Transport) take(s *session, k *conn, f frame) {
	switch f.kind {
	case kindCall:
		if c := s.admit(k, f); c != nil {
			t.Handler.Call(c)
		}
	case kindCancel:
		s.cancel(f.number)
	case kindSettled:
		s.settle(f.number)
	case kindPing:
		k.send(frame{kind: kindPong, payload: t.Handler.Status()})
		t.Handler.Heard(f.payload, k.reply)
	case kindNotice:
		t.Handler.Notice(f.payload, k.reply)
	}
}

func (s *session) detach(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	s.gone = now
}

// admit returns a call that is new. A repeated one is attached to the running call or gets the kept answer.
func (s *session) admit(k *conn, f frame) *Served {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.calls[f.number]; ok {
		c.conn = k
		if c.done {
			k.send(frame{kind: kindAnswer, number: f.number, payload: c.answer})
		}
		return nil
	}
	if f.number < s.settled || len(s.calls) >= maxCalls {
		// Below the mark the sender has its answer, or has given up and was told that the call may have run.
		k.send(frame{kind: kindUnknown, number: f.number})
		return nil
	}
	c := &Served{Payload: f.payload, session: s, number: f.number, conn: k}
	s.calls[f.number] = c
	return c
}

func (s *session) cancel(number uint64) {
	s.mu.Lock()
	c, ok := s.calls[number]
	if !ok {
		// The cancellation overtook its call, which may still come on an older connection: it must not run.
		if number >= s.settled && len(s.calls) < maxCalls {
			s.calls[number] = &Served{session: s, number: number, cancelled: true, done: true}
		}
		s.mu.Unlock()
		return
	}
	f := c.cancelLocked()
	s.mu.Unlock()
	f()
}

// cancelLocked returns what is to be called once the lock is released.
func (c *Served) cancelLocked() func() {
	f := c.onCancel
	if c.cancelled || c.done || f == nil {
		f = func() {}
	}
	c.cancelled = true
	return f
}

// OnCancel has f called once when the answer is not needed any more, at once when that is so already.
func (c *Served) OnCancel(f func()) {
	c.session.mu.Lock()
	c.onCancel = f
	cancelled := c.cancelled && !c.done
	c.session.mu.Unlock()
	if cancelled {
		f()
	}
}

// settle drops the answers below a number. A call below it that still runs is cancelled, since nobody waits for it.
func (s *session) settle(number uint64) {
	s.mu.Lock()
	s.settled = max(s.settled, number)
	var cancels []func()
	for n, c := range s.calls {
		switch {
		case n >= s.settled:
		case c.done:
			delete(s.calls, n)
		default:
			cancels = append(cancels, c.cancelLocked())
		}
	}
	s.mu.Unlock()
	for _, f := range cancels {
		f()
	}
}

// Answer sends the answer and keeps it until the sender needs it no more.
func (c *Served) Answer(payload []byte) {
	s := c.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.done {
		return
	}
	c.done = true
	c.Payload = nil
	if c.number < s.settled {
		delete(s.calls, c.number)
		return
	}
	if !c.cancelled {
		c.answer = payload
		c.conn.send(frame{kind: kindAnswer, number: c.number, payload: payload})
	}
}

// check cancels the calls of a sender that is gone, and reports whether it can be forgotten.
func (s *session) check(now time.Duration) bool {
	s.mu.Lock()
	if s.open > 0 {
		s.mu.Unlock()
		return false
	}
	age := now - s.gone
	var cancels []func()
	if age > orphanInterval {
		for _, c := range s.calls {
			cancels = append(cancels, c.cancelLocked())
		}
	}
	s.mu.Unlock()
	for _, f := range cancels {
		f()
	}
	return age > sessionLife
}
