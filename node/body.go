package node

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/call"
	"lovagelane/kernel"
)

const (
	// maxDiscardedBytes is how much of a refused body is read and discarded.
	maxDiscardedBytes = 16 << 20
	// discardTimeout bounds the time spent reading a refused body.
	discardTimeout = 2 * time.Second
)

// body is a request body, either buffered or streamed.
type body interface{ size() int }

// buffered is a body in memory, which can be sent more than once.
type buffered []byte

// streamed is a body that is forwarded as it arrives, which can be sent only once.
type streamed struct {
	r      *progressReader
	length int
}

// progressReader is the stream of a body that records when it was last read.
type progressReader struct {
	r     io.Reader
	clock kernel.Clock
	// lastRead is when the last read returned, in Unix nanoseconds; 0 means never.
	lastRead atomic.Int64
}

// Read reads from the stream.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	p.lastRead.Store(p.clock.Now().UnixNano())
	return n, err
}

// quietFor reports whether the stream was read, and not within the last d.
func (p *progressReader) quietFor(d time.Duration) bool {
	last := p.lastRead.Load()
	return last != 0 && p.clock.Now().UnixNano()-last >= int64(d)
}

func (b buffered) size() int { return len(b) }
func (b streamed) size() int { return b.length }

// readBody reads a body of at most maxBufferedBody bytes into memory and returns a larger one as a stream.
func readBody(ctx *fasthttp.RequestCtx, limit int64, clock kernel.Clock) (body, call.Reason) {
	length := ctx.Request.Header.ContentLength()
	if limit > 0 && int64(length) > limit {
		return nil, call.ReasonBodyTooLarge
	}
	if length > maxBufferedBody {
		return streamed{r: &progressReader{r: ctx.RequestBodyStream(), clock: clock}, length: length}, call.ReasonNone
	}
	r := ctx.RequestBodyStream()
	if r == nil {
		return buffered(append([]byte(nil), ctx.Request.Body()...)), call.ReasonNone
	}
	// The size of a chunked body is not known in advance, so it must fit the buffer.
	b, err := io.ReadAll(io.LimitReader(r, maxBufferedBody+1))
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, call.ReasonBodyTooSlow
	case err != nil:
		return nil, call.ReasonBadRequest
	case len(b) > maxBufferedBody:
		return nil, call.ReasonBodyTooLarge
	}
	return buffered(b), call.ReasonNone
}

// discardBody reads the rest of a refused body, so that the caller receives the refusal instead of a connection reset.
func discardBody(ctx *fasthttp.RequestCtx) {
	r := ctx.RequestBodyStream()
	if r == nil {
		return
	}
	_ = ctx.Conn().SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, r, maxDiscardedBytes)
}

// setBody attaches a body to an outgoing request.
func setBody(req *fasthttp.Request, b body) {
	switch b := b.(type) {
	case buffered:
		req.SetBodyRaw(b)
	case streamed:
		req.SetBodyStream(b.r, b.length)
	}
}

// readResponseBody returns the whole body of a response of at most maxBufferedBody bytes. It reports false for a larger
// body, or one of unknown length, which stays a stream.
func readResponseBody(resp *fasthttp.Response) ([]byte, bool, error) {
	stream := resp.BodyStream()
	if stream == nil {
		return resp.Body(), true, nil
	}
	length := resp.Header.ContentLength()
	if length > maxBufferedBody || length < 0 {
		return nil, false, nil
	}
	b := make([]byte, length)
	if _, err := io.ReadFull(stream, b); err != nil {
		_ = resp.CloseBodyStream()
		return nil, false, err
	}
	return b, true, resp.CloseBodyStream()
}

// closingStream is a response body that calls onClose once when it is closed.
type closingStream struct {
	io.Reader
	onClose func()
}

// Close calls onClose.
func (s *closingStream) Close() error {
	if s.onClose != nil {
		s.onClose()
		s.onClose = nil
	}
	return nil
}
