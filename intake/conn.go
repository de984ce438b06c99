package intake

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
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
	// shutdownPollInterval is the period at which Shutdown checks for connections that became idle.
	shutdownPollInterval = 10 * time.Millisecond
)

var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// conn is the connection of a caller.
type conn struct {
	s    *Server
	c    net.Conn
	r    *bufio.Reader
	gone chan struct{}
	// goneOnce closes gone.
	goneOnce sync.Once
	// slots limits the unanswered requests.
	slots chan struct{}

	mu sync.Mutex
	// last is the request that was read last.
	last *Exchange
	// unanswered counts the requests that were read and not answered.
	unanswered int
	// reading is set while a request is being read.
	reading bool
	// closing is set once no further request is read or answered.
	closing bool
}

func newConn(s *Server, c net.Conn) *conn {
	return &conn{s: s, c: c, r: bufio.NewReaderSize(c, min(initialReadBuffer, s.MaxHeaderBytes)), gone: make(chan struct{}),
		slots: make(chan struct{}, s.MaxPipelined)}
}

func (k *conn) isClosing() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.closing
}

// closeIfIdle closes the connection unless it has unanswered requests, and reports whether it had none.
func (k *conn) closeIfIdle() bool {
	k.mu.Lock()
	idle := k.unanswered == 0 && !k.reading
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
		if !k.awaitRequest() {
			return
		}
		x := &Exchange{Request: fasthttp.AcquireRequest(), Response: fasthttp.AcquireResponse(), Gone: k.gone, conn: k,
			sent: make(chan struct{})}
		x.Response.Header.SetNoDefaultContentType(true)
		err := k.read(x)
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
			if x.body != nil {
				x.Request.ResetBody()
				x.body.Release()
			}
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
	k.reading = !k.closing
	return k.reading
}

// leave records that the connection has ended and cancels its unanswered requests.
func (k *conn) leave() {
	k.mu.Lock()
	k.closing = true
	k.mu.Unlock()
	k.cancelRequests()
	_ = k.c.Close()
}

func (k *conn) cancelRequests() { k.goneOnce.Do(func() { close(k.gone) }) }

// read reads one request.
func (k *conn) read(x *Exchange) error {
	if err := k.c.SetReadDeadline(time.Now().Add(k.s.ReadTimeout)); err != nil {
		return err
	}
	return kernel.Protect(func() error {
		err := x.Request.Header.Read(k.r)
		var small *fasthttp.ErrSmallBuffer
		if errors.As(err, &small) && k.r.Size() < k.s.MaxHeaderBytes {
			k.growReader()
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
		}
		return nil
	})
}

// reserveBody reserves memory for the body of a request, and then allows the whole time to read it.
func (k *conn) reserveBody(x *Exchange) error {
	size := int64(x.Request.Header.ContentLength())
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
	return k.c.SetReadDeadline(time.Now().Add(k.s.ReadTimeout))
}

// growReader replaces the read buffer by one of MaxHeaderBytes and keeps the buffered bytes.
func (k *conn) growReader() {
	buffered, _ := k.r.Peek(k.r.Buffered()) // Peeking at buffered bytes can't fail.
	k.r = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), k.c), k.s.MaxHeaderBytes)
}

// writeContinue asks for the body of a request whose caller waits for that, once all earlier requests are answered.
func (k *conn) writeContinue() error {
	k.mu.Lock()
	last := k.last
	k.mu.Unlock()
	if last != nil {
		<-last.sent
	}
	_, err := k.c.Write(continueLine)
	return err
}

// admit appends a request to the unanswered ones, unless the connection is closing.
func (k *conn) admit(x *Exchange) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reading = false
	if k.closing {
		return false
	}
	if k.last != nil {
		x.previousSent = k.last.sent
	}
	k.last = x
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
	if x.lastOnConnection || x.Response.ConnectionClose() || k.s.draining.Load() && isLast && !k.reading {
		x.lastOnConnection = true
		k.closing = true
	}
	k.mu.Unlock()
	if x.lastOnConnection && !isLast {
		k.cancelRequests() // The answers to the later ones would come behind the end of the connection.
	}
	if !dropped {
		k.write(x)
	}
	x.answer.Release()
	fasthttp.ReleaseRequest(x.Request)
	fasthttp.ReleaseResponse(x.Response)
	k.mu.Lock()
	k.unanswered--
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
	if len(body) <= maxJoinedBody {
		_, err = k.c.Write(append(head, body...))
	} else {
		err = k.writeLarge(head, body)
	}
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
		part := body[written:min(written+maxWrite, len(body))]
		buffers := net.Buffers{head, part}
		if _, err := buffers.WriteTo(k.c); err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() && k.s.Slow != nil {
				k.s.Slow(len(body) - written)
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
