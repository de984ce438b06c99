package node

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/call"
)

const (
	// discardedBody is how much of a refused body is read and thrown away, in bytes.
	discardedBody = 16 << 20
	// discardTimeout bounds the time spent on a refused body.
	discardTimeout = 2 * time.Second
)

// body is a request body: buffered or streamed.
type body interface{ size() int }

// buffered is a body held in memory, which can be sent more than once.
type buffered []byte

// streamed is a body that is passed on as it arrives, which can be sent only once.
type streamed struct {
	r      io.Reader
	length int
}

func (b buffered) size() int { return len(b) }
func (b streamed) size() int { return b.length }

// readBody reads a body of at most bufferedBody bytes into memory and passes a larger one on as a stream.
func readBody(ctx *fasthttp.RequestCtx, limit int64) (body, call.Reason) {
	length := ctx.Request.Header.ContentLength()
	if limit > 0 && int64(length) > limit {
		return nil, call.ReasonBodyTooLarge
	}
	if length > bufferedBody {
		return streamed{r: ctx.RequestBodyStream(), length: length}, call.ReasonNone
	}
	r := ctx.RequestBodyStream()
	if r == nil {
		return buffered(append([]byte(nil), ctx.Request.Body()...)), call.ReasonNone
	}
	// The size of a chunked body is not known ahead: it must fit the buffer.
	b, err := io.ReadAll(io.LimitReader(r, bufferedBody+1))
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, call.ReasonBodyTooSlow
	case err != nil:
		return nil, call.ReasonBadRequest
	case len(b) > bufferedBody:
		return nil, call.ReasonBodyTooLarge
	}
	return buffered(b), call.ReasonNone
}

// discardBody reads the rest of a refused body, so that the caller sees the refusal instead of a reset connection.
func discardBody(ctx *fasthttp.RequestCtx) {
	r := ctx.RequestBodyStream()
	if r == nil {
		return
	}
	_ = ctx.Conn().SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, r, discardedBody)
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

// takeBody returns the whole body of an answer when it is small; a larger one stays a stream.
func takeBody(resp *fasthttp.Response) ([]byte, bool, error) {
	stream := resp.BodyStream()
	if stream == nil {
		return resp.Body(), true, nil
	}
	length := resp.Header.ContentLength()
	if length > bufferedBody || length < 0 {
		return nil, false, nil
	}
	b := make([]byte, length)
	if _, err := io.ReadFull(stream, b); err != nil {
		_ = resp.CloseBodyStream()
		return nil, false, err
	}
	return b, true, resp.CloseBodyStream()
}

// closingStream passes on a stream and calls done once when it ends.
type closingStream struct {
	io.Reader
	done func()
}

// Close calls done.
func (s *closingStream) Close() error {
	if s.done != nil {
		s.done()
		s.done = nil
	}
	return nil
}
