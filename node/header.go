package node

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/call"
)

// Header names between callers, nodes and backend servers.
const (
	headerCall           = "Lovagelane-Call"
	headerAnswer         = "Lovagelane-Answer"
	headerContext        = "Lovagelane-Context"
	headerDeadline       = "Lovagelane-Deadline-Ms"
	headerOutcome        = "Lovagelane-Outcome"
	headerReason         = "Lovagelane-Reason"
	headerRule           = "Lovagelane-Rule"
	headerTicket         = "Lovagelane-Ticket"
	headerResend         = "Lovagelane-Resend"
	headerRequestID      = "Lovagelane-Request-Id"
	headerCaller         = "Lovagelane-Caller"
	headerIdempotencyKey = "Idempotency-Key"
)

const headerPrefix = "Lovagelane-"

// copyRequestHeaders copies the headers of a request, except hop-by-hop headers and those of lovagelane.
func copyRequestHeaders(dst, src *fasthttp.RequestHeader) {
	for key, value := range src.All() {
		if name := string(key); isForwarded(name) {
			dst.SetBytesKV(key, value)
		}
	}
}

// copyResponseHeaders copies the headers of a response, with the same exceptions.
func copyResponseHeaders(dst, src *fasthttp.ResponseHeader) {
	for key, value := range src.All() {
		if name := string(key); isForwarded(name) {
			dst.AddBytesKV(key, value)
		}
	}
}

func isForwarded(name string) bool {
	return !call.IsHopByHopHeader(name) && !strings.HasPrefix(name, headerPrefix)
}

// countInternalHeaders counts the headers of a request that only nodes may send.
func countInternalHeaders(h *fasthttp.RequestHeader) int {
	count := 0
	for _, name := range []string{headerCall, headerContext, headerAnswer} {
		if len(h.Peek(name)) > 0 {
			count++
		}
	}
	return count
}

// splitPath splits a request URI into the service and the rest of the path.
func splitPath(uri []byte) (service, rest string) {
	path := bytes.TrimPrefix(uri, []byte("/"))
	end := bytes.IndexAny(path, "/?")
	if end < 0 {
		return string(path), "/"
	}
	service, rest = string(path[:end]), string(path[end:])
	if rest[0] == '?' {
		rest = "/" + rest
	}
	return service, rest
}

// rulePath returns the decoded and normalized path after the service. Rules are matched with this path, so that another
// encoding of a path cannot bypass a rule. It returns false when the path is outside the service.
func rulePath(ctx *fasthttp.RequestCtx, service string) (string, bool) {
	path, ok := strings.CutPrefix(string(ctx.Path()), "/"+service)
	switch {
	case !ok:
		return "", false
	case path == "":
		return "/", true
	}
	return path, path[0] == '/'
}

// requestedTimeout returns the timeout that a caller requests, and false when there is none or it is malformed.
func requestedTimeout(h *fasthttp.RequestHeader) (time.Duration, bool) {
	ms, err := strconv.ParseUint(string(h.Peek(headerDeadline)), 10, 31)
	if err != nil || ms == 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}
