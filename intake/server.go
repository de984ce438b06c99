package intake

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/kernel"
	"lovagelane/memory"
)

// Server serves connections of callers. Set its fields before Serve; all are required except those that say otherwise.
type Server struct {
	// Handler answers one request. It runs on a goroutine of its own.
	Handler func(x *Exchange)
	// Unreadable writes the answer to bytes that can't be read as a request.
	Unreadable func(resp *fasthttp.Response, err error)
	// ReserveBody, if set, reserves memory for a body of more than memory.FreeBytes before it is read, and may wait for it meanwhile.
	// For a body in chunks, size is the largest one. If it reports false, the request is answered by Unreadable with ErrNoMemory and
	// its connection is closed.
	ReserveBody func(h *fasthttp.RequestHeader, size int64) (*memory.Reservation, bool)
	// Group runs the goroutines of connections and requests.
	Group *kernel.Group
	// Budget, if set, counts the small messages that are held for connections.
	Budget *memory.Budget
	// MaxConnections limits the open connections. A connection beyond it takes the place of one that is idle, or sends its request, for
	// more than a second. If there is none, it is answered with status 503 and closed.
	MaxConnections int
	// MaxConnectionBytes is what may be held for a connection before its next request is read only once the earlier ones are answered.
	MaxConnectionBytes int64
	// MaxPipelined limits the unanswered requests of a connection. Further ones are not read until an answer is sent.
	MaxPipelined int
	// MaxHeaderBytes and MaxBodyBytes limit the headers and the body of a request.
	MaxHeaderBytes, MaxBodyBytes int
	// ReadTimeout limits the time from the first byte of a request to its last one, and IdleTimeout the time without any byte
	// while no request is unanswered.
	ReadTimeout, IdleTimeout time.Duration
	// WriteTimeout limits the time in which a caller takes 64 KB of an answer; zero means no limit. For smaller answers, Sweep
	// keeps it.
	WriteTimeout time.Duration
	// Closed, if set, is called with the address of a caller whose connection is closed against its will, and with the bytes held for
	// the connection.
	Closed func(peer string, reason CloseReason, held int64)

	// sweeps counts the calls of Sweep. It is the clock of connections: it costs little, and it stands still while the process does,
	// so that no caller is at fault for that time.
	sweeps     atomic.Int64
	draining   atomic.Bool
	unanswered atomic.Int64
	mu         sync.Mutex
	closed     bool
	ln         net.Listener
	conns      map[*conn]struct{}
}

// CloseReason is why the connection of a caller was closed or refused.
type CloseReason string

const (
	// SlowReader is the reason for a caller that takes 64 KB of an answer not within WriteTimeout.
	SlowReader CloseReason = "slow-reader"
	// NoProgress is the reason for a caller without progress while room for messages is short.
	NoProgress CloseReason = "no-progress"
	// Displaced is the reason for a connection whose place a new one takes, and TooMany that for a new one without a place.
	Displaced CloseReason = "displaced"
	TooMany   CloseReason = "too-many"
)

// Exchange is one request and its answer.
type Exchange struct {
	Request  *fasthttp.Request
	Response *fasthttp.Response
	// Gone is closed when the caller has closed the connection.
	Gone <-chan struct{}
	// ReadTime is the time from the end of the head to the end of the body.
	ReadTime time.Duration

	conn *conn
	// previousSent is closed when the answer to the previous request of the connection was sent, or nil for the first one.
	previousSent <-chan struct{}
	// sent is closed when the answer to this request was sent or dropped.
	sent chan struct{}
	// lastOnConnection is set when the request or its answer closes the connection.
	lastOnConnection bool
	// body is the memory reserved for the body, and answer that for the answer.
	body, answer *memory.Reservation
	// heldRequest and heldAnswer are the bytes of the Holding of the connection that are for the request and for the answer.
	heldRequest, heldAnswer int64
}

// ErrNoMemory reports that a request was not read because there is no memory for its body.
var ErrNoMemory = errors.New("no memory for the body of the request")

// HoldAnswer passes the memory reserved for the answer to the Exchange, which releases it when the answer was written or dropped.
func (x *Exchange) HoldAnswer(r *memory.Reservation) { x.answer = r }

// TakeAnswer takes room for a small answer of about size bytes, and waits for it until the caller leaves. It reports false if there
// is none. While room is short, it waits for the answers to the earlier requests of the connection first, since this one would be
// held for as long as they take. A handler calls it before it runs a request.
func (x *Exchange) TakeAnswer(wait time.Duration, size int64) bool {
	if size == 0 {
		return true
	}
	ahead := x.previousSent != nil && !isClosed(x.previousSent)
	if ahead && x.conn.held.TryTakeAhead(size) {
		x.heldAnswer += size
		return true
	}
	if ahead {
		began := time.Now()
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-x.previousSent:
		case <-x.Gone:
		case <-timer.C:
			return false
		}
		wait -= time.Since(began)
	}
	if !x.conn.takeWithin(wait, size) {
		return false
	}
	x.heldAnswer += size
	return true
}

// AwaitTurn waits until all earlier requests of the connection are answered. It reports false if the connection was closed
// before, by the caller or by the answer to an earlier request; the caller then takes this request as not read, so that it
// must not run. A handler calls it before it runs a request that must run at most once.
func (x *Exchange) AwaitTurn() bool {
	if x.previousSent != nil {
		<-x.previousSent
	}
	return !x.conn.isClosing()
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	s.conns = map[*conn]struct{}{}
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return ln.Close()
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			s.mu.Lock()
			closed := s.closed
			s.mu.Unlock()
			if closed {
				return nil
			}
			return err
		}
		s.accept(c)
	}
}

func (s *Server) accept(c net.Conn) {
	s.mu.Lock()
	full := len(s.conns) >= s.MaxConnections
	s.mu.Unlock()
	if full && !s.displace() {
		s.reportClosed(c.RemoteAddr(), TooMany, 0)
		refuseConnection(c)
		_ = c.Close()
		return
	}
	k := newConn(s, c)
	s.mu.Lock()
	closed := s.closed
	if !closed {
		s.conns[k] = struct{}{}
	}
	s.mu.Unlock()
	if closed {
		k.held.Close()
		_ = c.Close()
		return
	}
	s.Group.Go("caller", func(context.Context) error {
		k.serve()
		s.remove(k)
		return nil
	})
}

// remove removes a connection from the open ones, and what is held for it from the account.
func (s *Server) remove(k *conn) {
	k.held.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, k)
}

func (s *Server) reportClosed(peer net.Addr, reason CloseReason, held int64) {
	if s.Closed != nil {
		s.Closed(peer.String(), reason, held)
	}
}

// tooManyConnections is the answer on a connection beyond MaxConnections.
const tooManyConnections = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

func refuseConnection(c net.Conn) {
	if err := c.SetWriteDeadline(time.Now().Add(lingerTime)); err == nil {
		_, _ = c.Write([]byte(tooManyConnections)) // The caller sees the connection close in any case.
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Unanswered returns the number of requests that were read and whose answer was neither written nor dropped.
func (s *Server) Unanswered() int { return int(s.unanswered.Load()) }

// Drain makes each connection close with the answer to the last request that was read from it.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown closes the listener and idle connections, and waits until the other connections have ended or ctx is done. It then
// closes the rest.
func (s *Server) Shutdown(ctx context.Context) {
	s.Drain()
	s.mu.Lock()
	s.closed = true
	ln := s.ln
	s.mu.Unlock()
	if ln != nil {
		_ = ln.Close() // It may have been closed before.
	}
	poll := time.NewTicker(shutdownPollInterval)
	defer poll.Stop()
	for s.closeIdle() > 0 {
		select {
		case <-ctx.Done():
			s.closeAll()
			return
		case <-poll.C:
		}
	}
}

// closeIdle closes the connections without unanswered requests and returns the number of the others.
func (s *Server) closeIdle() int {
	busy := 0
	for _, k := range s.open() {
		if !k.closeIfIdle() {
			busy++
		}
	}
	return busy
}

func (s *Server) closeAll() {
	for _, k := range s.open() {
		k.leave()
	}
}

func (s *Server) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for k := range s.conns {
		list = append(list, k)
	}
	return list
}
