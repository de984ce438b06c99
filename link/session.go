package link

import (
	"context"
	"encoding/binary"
	"sync"
	"time"
)

const (
	// orphanTimeout is how long the calls of a disconnected sender keep running before they are cancelled, except those that
	// KeepRunning was called for.
	orphanTimeout = 3 * time.Second
	// sessionTTL is how long the session of a disconnected sender is stored, so that its calls are not run again. It is
	// longer than any sender tries to reconnect while it has pending calls.
	sessionTTL = 60 * time.Second
	// maxCallsPerSession bounds the stored calls of one sender.
	maxCallsPerSession = 16384
)

// IncomingCall is a call received from another node. The handler must call Answer once.
type IncomingCall struct {
	// Payload is the payload of the call; Answer sets it to nil.
	Payload []byte

	session *session
	number  uint64
	// The other fields are guarded by session.mu. The answer goes out on the connection on which the call arrived last: if a
	// sender has two connections, the one that was accepted later is not always the live one.
	conn *conn
	// keepRunning is set by KeepRunning.
	keepRunning bool
	cancelled   bool
	onCancel    func()
	withdrawn   bool
	onWithdraw  func()
	done        bool
	answer      []byte
}

// session holds the calls of one incarnation of a sender.
type session struct {
	incarnation uint64

	mu sync.Mutex
	// connections is the number of open connections of the sender.
	connections int
	// acked is the number below which the sender needs no answers; calls below it are never started.
	acked uint64
	calls map[uint64]*IncomingCall
	// disconnectedAt is when a connection was last lost.
	disconnectedAt time.Duration
}

// serve handles one accepted connection until it closes.
func (t *Transport) serve(k *conn) {
	defer func() {
		k.close()
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.accepted, k)
	}()
	incarnation, err := t.greet(k)
	if err != nil {
		return
	}
	s := t.attach(incarnation)
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
		t.handleFrame(s, k, f)
	}
	s.detach(t.uptime())
}

// greet exchanges hello frames on an accepted connection.
func (t *Transport) greet(k *conn) (incarnation uint64, err error) {
	defer t.endGreeting()
	if err := setUserTimeout(k.c); err != nil {
		t.Log.Warn("link-option-failed", "error", err)
		return 0, err
	}
	return t.handshake(k)
}

func (t *Transport) handleFrame(s *session, k *conn, f frame) {
	switch f.kind {
	case kindCall:
		if c := s.admit(k, f); c != nil {
			t.Handler.Call(c)
		}
	case kindCancel:
		s.cancel(f.number)
	case kindWithdraw:
		s.withdraw(f.number)
	case kindAck:
		s.acknowledge(f.number)
	case kindRelease:
		s.release(f.payload)
	case kindPing:
		k.send(frame{kind: kindPong, payload: t.Handler.Status()})
		t.Handler.HandleStatus(f.payload, k.reply)
	case kindNotice:
		t.Handler.HandleNotice(f.payload, k.reply)
	}
}

func (s *session) detach(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections--
	s.disconnectedAt = now
}

// admit returns a new call, or nil for a resent one, which is attached to the running call or gets the stored answer.
func (s *session) admit(k *conn, f frame) *IncomingCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.calls[f.number]; ok {
		c.conn = k
		if c.done {
			k.send(frame{kind: kindAnswer, number: f.number, payload: c.answer})
		}
		return nil
	}
	if f.number < s.acked || len(s.calls) >= maxCallsPerSession {
		// The sender has the answer of a call below acked, or has reported to its caller that the call may have run.
		k.send(frame{kind: kindOutcomeUnknown, number: f.number})
		return nil
	}
	c := &IncomingCall{Payload: f.payload, session: s, number: f.number, conn: k}
	s.calls[f.number] = c
	return c
}

func (s *session) cancel(number uint64) {
	s.mu.Lock()
	c, ok := s.calls[number]
	if !ok {
		// The cancellation arrived before its call, which may still arrive on an older connection and must not run.
		if number >= s.acked && len(s.calls) < maxCallsPerSession {
			s.calls[number] = &IncomingCall{session: s, number: number, cancelled: true, done: true}
		}
		s.mu.Unlock()
		return
	}
	f := c.cancelLocked()
	s.mu.Unlock()
	f()
}

// cancelLocked marks the call as cancelled and returns a callback to run after the lock is released.
func (c *IncomingCall) cancelLocked() func() {
	f := c.onCancel
	if c.cancelled || c.done || f == nil {
		f = func() {}
	}
	c.cancelled = true
	return f
}

// KeepRunning keeps the call from being cancelled because its sender is silent. It is meant for calls that can't be repeated:
// the sender may come back for the answer.
func (c *IncomingCall) KeepRunning() {
	c.session.mu.Lock()
	defer c.session.mu.Unlock()
	c.keepRunning = true
}

// OnCancel registers f to be called once when the call is cancelled, or calls it at once if that has already happened.
func (c *IncomingCall) OnCancel(f func()) {
	c.session.mu.Lock()
	c.onCancel = f
	cancelled := c.cancelled && !c.done
	c.session.mu.Unlock()
	if cancelled {
		f()
	}
}

// withdraw passes a withdrawal to the handler of the call. The sender resends a call before its withdrawal, so that a call that
// is not stored needs none.
func (s *session) withdraw(number uint64) {
	s.mu.Lock()
	c, ok := s.calls[number]
	if !ok || c.done || c.withdrawn {
		s.mu.Unlock()
		return
	}
	c.withdrawn = true
	f := c.onWithdraw
	s.mu.Unlock()
	if f != nil {
		f()
	}
}

// OnWithdraw registers f to be called once when the sender withdraws the call, or calls it at once if that has already happened.
// The handler then answers the call if it has not started; otherwise it goes on.
func (c *IncomingCall) OnWithdraw(f func()) {
	c.session.mu.Lock()
	c.onWithdraw = f
	withdrawn := c.withdrawn && !c.done
	c.session.mu.Unlock()
	if withdrawn {
		f()
	}
}

// acknowledge drops the stored answers below number. It cancels calls below it that still run, since the sender no longer
// needs their answers.
func (s *session) acknowledge(number uint64) {
	s.mu.Lock()
	s.acked = max(s.acked, number)
	var cancels []func()
	for n, c := range s.calls {
		switch {
		case n >= s.acked:
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

// release drops the stored answers of the calls with these numbers.
func (s *session) release(numbers []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ; len(numbers) >= 8; numbers = numbers[8:] {
		if c, ok := s.calls[binary.BigEndian.Uint64(numbers)]; ok && c.done {
			c.answer = nil
		}
	}
}

// Answer sends the answer and stores it until the sender acknowledges it.
func (c *IncomingCall) Answer(payload []byte) {
	s := c.session
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.done {
		return
	}
	c.done = true
	c.Payload = nil
	if c.number < s.acked {
		delete(s.calls, c.number)
		return
	}
	if !c.cancelled {
		c.answer = payload
		c.conn.send(frame{kind: kindAnswer, number: c.number, payload: payload})
	}
}

// cancelOrphans cancels the calls of a sender that has been disconnected for longer than orphanTimeout, and reports whether
// the session has expired.
func (s *session) cancelOrphans(now time.Duration) bool {
	s.mu.Lock()
	if s.connections > 0 {
		s.mu.Unlock()
		return false
	}
	disconnected := now - s.disconnectedAt
	var cancels []func()
	if disconnected > orphanTimeout {
		for _, c := range s.calls {
			if !c.keepRunning {
				cancels = append(cancels, c.cancelLocked())
			}
		}
	}
	s.mu.Unlock()
	for _, f := range cancels {
		f()
	}
	return disconnected > sessionTTL
}
