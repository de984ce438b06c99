package node

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/call"
)

// Headers between callers, nodes and backend servers.
const (
	headerCall      = "Lovagelane-Call"
	headerAnswer    = "Lovagelane-Answer"
	headerContext   = "Lovagelane-Context"
	headerDeadline  = "Lovagelane-Deadline-Ms"
	headerOutcome   = "Lovagelane-Outcome"
	headerReason    = "Lovagelane-Reason"
	headerRule      = "Lovagelane-Rule"
	headerTicket    = "Lovagelane-Ticket"
	headerResend    = "Lovagelane-Resend"
	headerRequestID = "Lovagelane-Request-Id"
	headerCaller    = "Lovagelane-Caller"
	headerKey       = "Idempotency-Key"
)

const headerPrefix = "Lovagelane-"

// copyRequestHeaders passes on the headers of a request but for those of one connection and those of lovagelane.
func copyRequestHeaders(dst, src *fasthttp.RequestHeader) {
	for key, value := range src.All() {
		if name := string(key); passedOn(name) {
			dst.SetBytesKV(key, value)
		}
	}
}

// copyResponseHeaders passes on the headers of a response likewise.
func copyResponseHeaders(dst, src *fasthttp.ResponseHeader) {
	for key, value := range src.All() {
		if name := string(key); passedOn(name) {
			dst.AddBytesKV(key, value)
		}
	}
}

func passedOn(name string) bool {
	return !call.ConnectionHeader(name) && !strings.HasPrefix(name, headerPrefix)
}

// internalHeaders counts the headers of a request that only nodes may send.
func internalHeaders(h *fasthttp.RequestHeader) int {
	count := 0
	for _, name := range []string{headerCall, headerContext, headerAnswer} {
		if len(h.Peek(name)) > 0 {
			count++
		}
	}
	return count
}

// splitPath returns the service and the path behind it.
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

// rulePath returns the decoded and normalized path behind the service, by which rules are matched, so that a different
// spelling of a path cannot evade a rule. It reports false when the path leaves the service.
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

// statedDeadline returns the time that a caller allows, if it states one that is well formed.
func statedDeadline(h *fasthttp.RequestHeader) (time.Duration, bool) {
	ms, err := strconv.ParseUint(string(h.Peek(headerDeadline)), 10, 31)
	if err != nil || ms == 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}
