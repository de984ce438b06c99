package intake

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/kernel"
	"lovagelane/memory"
)

const (
	// initialReadBuffer is the size of a connection's read buffer, which grows to MaxHeaderBytes when a header does not fit.
	initialReadBuffer = 2 << 10
	// maxJoinedBody is the largest body that is copied behind its header, so that both are sent in one write.
	maxJoinedBody = 16 << 10
	// maxWrite bounds the bytes of one write of a body.
	maxWrite = 64 << 10
	// lingerTime is how long a connection stays open for reading after its last answer. Closing it while bytes of the caller are
	// unread would reset it, and the caller could lose the answer.
	lingerTime = 500 * time.Millisecond
	// exchangeBytes is what a request and its answer take beside their bytes, and copies how often the bytes of a small request are held.
	exchangeBytes = 4 << 10
	copies        = 3
	// roomTimeout is how long a request waits for room before it is refused.
	roomTimeout = 3 * time.Second
	// shutdownPollInterval is the period at which Shutdown checks for connections that became idle.
	shutdownPollInterval = 10 * time.Millisecond
)

var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// conn is the connection of a caller.
type conn struct {
	s *Server
	c net.Conn
	r *bufio.Reader
	// ctx ends when the caller has left.
	ctx    context.Context
	cancel context.CancelFunc
	// slots limits the unanswered requests.
	slots chan struct{}
	// held counts the small messages that are held for the connection.
	held *memory.Holding
	// reading and writing are since when a request is being received, and at most 64 KB of an answer written, and idle since when
	// neither a request is received nor one unanswered. They are values of Server.mark, or 0.
	reading, writing, idle atomic.Int64
	// blocked is since when the first unanswered request has been unanswered while later ones are, as Server.mark, or 0.
	blocked atomic.Int64
	// receiving is the memory reserved for the body that is being read.
	receiving atomic.Int64
	// served is set once a request was read.
	served atomic.Bool
	// readerHeld is what is held for a grown read buffer.
	readerHeld int64

	mu sync.Mutex
	// last is the request that was read last.
	last *Exchange
	// unanswered counts the requests that were read and not answered.
	unanswered int
	// busy is set while a request is being read.
	busy bool
	// closing is set once no further request is read or answered.
	closing bool
}

func newConn(s *Server, c net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	k := &conn{s: s, c: c, r: bufio.NewReaderSize(c, min(initialReadBuffer, s.MaxHeaderBytes)), ctx: ctx, cancel: cancel,
		slots: make(chan struct{}, s.MaxPipelined), held: s.Budget.OpenHolding(host(c.RemoteAddr()), s.MaxConnectionBytes)}
	k.idle.Store(s.mark())
	return k
}

func (k *conn) isClosing() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.closing
}

// closeIfIdle closes the connection unless it has unanswered requests, and reports whether it had none.
func (k *conn) closeIfIdle() bool {
	k.mu.Lock()
	idle := k.unanswered == 0 && !k.busy
	if idle {
		k.closing = true
	}
	k.mu.Unlock()
	if idle {
		_ = k.c.Close()
	}
	return idle
}

// serve reads and answers requests until the connection ends.
func (k *conn) serve() {
	k.readRequests()
	k.awaitAnswers()
	k.linger()
	_ = k.c.Close()
}

// readRequests reads requests and starts their handlers until one of them is the last of the connection.
func (k *conn) readRequests() {
	for {
		k.slots <- struct{}{}
		if !k.awaitRequest() || !k.awaitRoom() {
			return
		}
		x := &Exchange{Request: fasthttp.AcquireRequest(), Response: fasthttp.AcquireResponse(), Gone: k.ctx.Done(), conn: k,
			sent: make(chan struct{})}
		x.Response.Header.SetNoDefaultContentType(true)
		err := k.read(x)
		k.reading.Store(0)
		k.receiving.Store(0)
		k.served.Store(true)
		k.shrinkReader()
		if err != nil {
			x.body.Release()
		}
		if isBroken(err) {
			k.leave()
			return
		}
		if !k.admit(x) {
			x.body.Release()
			return
		}
		if err != nil {
			x.lastOnConnection = true
			k.s.Unreadable(x.Response, err)
			k.answer(x)
			return
		}
		last := x.Request.Header.ConnectionClose()
		x.lastOnConnection = last
		k.s.Group.Go("request", func(context.Context) error {
			k.s.Handler(x)
			x.Request.ResetBody()
			x.body.Release()
			k.countAnswer(x)
			k.answer(x)
			return nil
		})
		if last {
			k.awaitClose()
			return
		}
	}
}

// isBroken reports whether reading a request failed because the connection has ended.
func isBroken(err error) bool {
	var timeout net.Error
	if errors.As(err, &timeout) {
		return !timeout.Timeout()
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// awaitRoom waits until all earlier requests are answered, unless the connection may be read ahead. It reports false when the
// connection has ended.
func (k *conn) awaitRoom() bool {
	k.mu.Lock()
	last, ahead := k.last, k.unanswered > 0
	k.mu.Unlock()
	if ahead && !k.held.MayReadAhead() {
		<-last.sent
	}
	if k.isClosing() {
		return false
	}
	k.reading.Store(k.s.mark())
	return true
}

// take takes room for what is read next. Without room for what is read ahead, it waits until all earlier requests are answered, and
// reports ErrNoMemory if there is none in time then. It allows the whole time to read what is left after a wait.
func (k *conn) take(size int64) error {
	k.mu.Lock()
	last := k.last
	k.mu.Unlock()
	ahead := last != nil && !isClosed(last.sent)
	if ahead && k.held.TryTakeAhead(size) || !ahead && k.held.TryTake(size) {
		return nil
	}
	reading := k.reading.Swap(0) // The caller is not at fault for this wait.
	if ahead {
		<-last.sent
	}
	if !k.takeWithin(roomTimeout, size) {
		return ErrNoMemory
	}
	if reading > 0 {
		k.reading.Store(k.s.mark())
	}
	return k.c.SetReadDeadline(time.Now().Add(k.s.ReadTimeout))
}

// takeWithin takes room, and waits for it until the caller leaves. It reports false if there is none in time.
func (k *conn) takeWithin(wait time.Duration, size int64) bool {
	if k.held.TryTake(size) {
		return true
	}
	ctx, cancel := context.WithTimeout(k.ctx, wait)
	defer cancel()
	return k.held.Take(ctx, size)
}

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// countAnswer counts what is held for the answer to a request instead of what was held for the request.
func (k *conn) countAnswer(x *Exchange) {
	held := exchangeBytes + headBytes(x)
	if x.answer == nil {
		held += int64(len(x.Response.Body()))
	}
	k.held.Add(held - x.heldRequest - x.heldAnswer)
	x.heldRequest, x.heldAnswer = 0, held
}

// awaitRequest waits for the first byte of a request and reports false when the connection has ended.
func (k *conn) awaitRequest() bool {
	for {
		if err := k.c.SetReadDeadline(time.Now().Add(k.s.IdleTimeout)); err != nil {
			k.leave()
			return false
		}
		if k.isClosing() {
			return false
		}
		_, err := k.r.Peek(1)
		if err == nil {
			return k.beginReading()
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && !k.closeIfIdle() {
			continue
		}
		k.leave()
		return false
	}
}

func (k *conn) beginReading() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.busy = !k.closing
	k.idle.Store(0)
	return k.busy
}

// end closes the connection against the will of the caller, for which held bytes are held.
func (k *conn) end(reason CloseReason, held int64) {
	if !k.isClosing() {
		k.s.reportClosed(k.c.RemoteAddr(), reason, held)
	}
	k.leave()
}

// headBytes returns the size of the head of a request.
func headBytes(x *Exchange) int64 {
	return int64(len(x.Request.Header.RequestURI()) + len(x.Request.Header.RawHeaders()))
}

// leave records that the connection has ended and cancels its unanswered requests.
func (k *conn) leave() {
	k.mu.Lock()
	k.closing = true
	k.mu.Unlock()
	k.cancel()
	_ = k.c.Close()
}

// read reads one request.
func (k *conn) read(x *Exchange) error {
	if err := k.c.SetReadDeadline(time.Now().Add(k.s.ReadTimeout)); err != nil {
		return err
	}
	return kernel.Protect(func() error {
		err := x.Request.Header.Read(k.r)
		var small *fasthttp.ErrSmallBuffer
		if errors.As(err, &small) && k.r.Size() < k.s.MaxHeaderBytes {
			if err := k.growReader(); err != nil {
				return err
			}
			err = x.Request.Header.Read(k.r)
		}
		if err != nil {
			return err
		}
		headRead := time.Now()
		defer func() { x.ReadTime = time.Since(headRead) }()
		if err := k.reserveBody(x); err != nil {
			return err
		}
		if x.Request.MayContinue() {
			if err := k.writeContinue(); err != nil {
				return err
			}
		}
		if err := x.Request.ContinueReadBody(k.r, k.s.MaxBodyBytes, false); err != nil {
			return err
		}
		if size := len(x.Request.Body()); size > memory.FreeBytes {
			// The body must not go back to the pool of buffers: a call that was given up may still be sending it.
			x.Request.SetBodyRaw(x.Request.SwapBody(nil))
			x.body.Shrink(int64(size))
		} else if x.body != nil {
			k.held.Add(copies * int64(size)) // It came in chunks and turned out to be small.
			x.heldRequest += copies * int64(size)
			x.body.Release()
		}
		return nil
	})
}

// reserveBody reserves memory for the body of a request, and then allows the whole time to read it.
func (k *conn) reserveBody(x *Exchange) error {
	size := int64(x.Request.Header.ContentLength())
	small := exchangeBytes + copies*headBytes(x)
	if size <= memory.FreeBytes {
		small += copies * max(size, 0)
	}
	if err := k.take(small); err != nil {
		return err
	}
	x.heldRequest = small
	if size == -1 {
		size = int64(k.s.MaxBodyBytes)
	}
	if k.s.ReserveBody == nil || size <= memory.FreeBytes || size > int64(k.s.MaxBodyBytes) {
		return nil
	}
	r, ok := k.s.ReserveBody(&x.Request.Header, size)
	if !ok {
		return ErrNoMemory
	}
	x.body = r
	k.receiving.Store(size)
	k.reading.Store(k.s.mark())
	return k.c.SetReadDeadline(time.Now().Add(k.s.ReadTimeout))
}

// growReader replaces the read buffer by one of MaxHeaderBytes and keeps the buffered bytes.
func (k *conn) growReader() error {
	if err := k.take(int64(k.s.MaxHeaderBytes)); err != nil {
		return err
	}
	k.readerHeld = int64(k.s.MaxHeaderBytes)
	buffered, _ := k.r.Peek(k.r.Buffered()) // Peeking at buffered bytes can't fail.
	k.r = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), k.c), k.s.MaxHeaderBytes)
	return nil
}

// shrinkReader replaces a grown read buffer by a small one if it is empty and room is short.
func (k *conn) shrinkReader() {
	if k.readerHeld == 0 || k.r.Buffered() > 0 || k.held.MayReadAhead() {
		return
	}
	k.r = bufio.NewReaderSize(k.c, initialReadBuffer)
	k.held.Add(-k.readerHeld)
	k.readerHeld = 0
}

// writeContinue asks for the body of a request whose caller waits for that, once all earlier requests are answered.
func (k *conn) writeContinue() error {
	k.mu.Lock()
	last := k.last
	k.mu.Unlock()
	if last != nil {
		<-last.sent
	}
	k.reading.Store(k.s.mark())
	_, err := k.c.Write(continueLine)
	return err
}

// admit appends a request to the unanswered ones, unless the connection is closing.
func (k *conn) admit(x *Exchange) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.busy = false
	if k.closing {
		return false
	}
	if k.last != nil {
		x.previousSent = k.last.sent
	}
	k.last = x
	if k.unanswered == 1 {
		k.blocked.Store(k.s.mark())
	}
	k.unanswered++
	k.s.unanswered.Add(1)
	return true
}

// answer sends the answer to a request after those to the earlier ones. It drops the answer if the connection is closing.
func (k *conn) answer(x *Exchange) {
	if x.previousSent != nil {
		<-x.previousSent
	}
	k.mu.Lock()
	dropped, isLast := k.closing, k.last == x
	if x.lastOnConnection || x.Response.ConnectionClose() || k.s.draining.Load() && isLast && !k.busy {
		x.lastOnConnection = true
		k.closing = true
	}
	k.mu.Unlock()
	if x.lastOnConnection && !isLast {
		k.cancel() // The answers to the later ones would come behind the end of the connection.
	}
	if !dropped {
		k.write(x)
	}
	fasthttp.ReleaseRequest(x.Request)
	fasthttp.ReleaseResponse(x.Response)
	x.answer.Release() // Not before the answer itself is free, for which another one may be read at once.
	k.held.Add(-x.heldAnswer)
	k.mu.Lock()
	k.unanswered--
	switch {
	case k.unanswered > 1:
		k.blocked.Store(k.s.mark())
	case k.unanswered == 1:
		k.blocked.Store(0)
	case !k.busy:
		k.idle.Store(k.s.mark())
	}
	k.s.unanswered.Add(-1)
	k.mu.Unlock()
	close(x.sent)
	<-k.slots
}

// write sends one answer.
func (k *conn) write(x *Exchange) {
	resp := x.Response
	body := resp.Body()
	if resp.Header.ContentLength() == 0 || !x.Request.Header.IsHead() {
		resp.Header.SetContentLength(len(body))
	}
	switch {
	case x.lastOnConnection:
		resp.SetConnectionClose()
	case !x.Request.Header.IsHTTP11():
		resp.Header.Set(fasthttp.HeaderConnection, "keep-alive")
	}
	head := resp.Header.Header()
	if x.Request.Header.IsHead() {
		body = nil
	}
	var err error
	k.writing.Store(k.s.mark())
	if len(body) <= maxJoinedBody {
		_, err = k.c.Write(append(head, body...))
	} else {
		err = k.writeLarge(head, body)
	}
	k.writing.Store(0)
	switch {
	case err != nil:
		k.leave()
	case x.lastOnConnection:
		k.closeWrite()
	}
}

// writeLarge sends an answer in parts and allows WriteTimeout for each. The parts bound how long a caller that reads nothing, or
// very slowly, holds the memory of its answer.
func (k *conn) writeLarge(head, body []byte) error {
	defer func() { _ = k.c.SetWriteDeadline(time.Time{}) }()
	for written := 0; written < len(body); {
		if k.s.WriteTimeout > 0 {
			if err := k.c.SetWriteDeadline(time.Now().Add(k.s.WriteTimeout)); err != nil {
				return err
			}
		}
		k.writing.Store(k.s.mark())
		part := body[written:min(written+maxWrite, len(body))]
		buffers := net.Buffers{head, part}
		if _, err := buffers.WriteTo(k.c); err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				k.end(SlowReader, int64(len(body)-written))
			}
			return err
		}
		head = nil
		written += len(part)
	}
	return nil
}

// closeWrite sends the end of the stream behind the last answer.
func (k *conn) closeWrite() {
	if tcp, ok := k.c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // The connection is closed soon anyway.
	}
	_ = k.c.SetReadDeadline(time.Now().Add(lingerTime))
}

// awaitClose discards what the caller sends behind its last request. If the caller closes the connection before it is answered,
// the request is cancelled.
func (k *conn) awaitClose() {
	if err := k.c.SetReadDeadline(time.Time{}); err != nil || k.isClosing() {
		return
	}
	_, _ = io.Copy(io.Discard, k.r) // It ends with the connection, or with the deadline that closeWrite sets.
	if !k.isClosing() {
		k.leave()
	}
}

// linger discards what the caller still sends behind the last answer.
func (k *conn) linger() {
	if err := k.c.SetReadDeadline(time.Now().Add(lingerTime)); err == nil {
		_, _ = io.Copy(io.Discard, k.r)
	}
}

// awaitAnswers waits until all requests are answered.
func (k *conn) awaitAnswers() {
	k.mu.Lock()
	last := k.last
	k.mu.Unlock()
	if last != nil {
		<-last.sent
	}
}
