package mesh

import (
	"bufio"
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"lovagelane/call"
)

// requestHead returns the request line and the headers of a request that are passed on.
func requestHead(h *fasthttp.RequestHeader, body int) []byte {
	var out fasthttp.RequestHeader
	h.CopyTo(&out)
	out.SetNoDefaultContentType(true)
	for _, name := range connectionTokens(h.Peek(fasthttp.HeaderConnection)) {
		if !strings.EqualFold(name, fasthttp.HeaderHost) {
			out.Del(name)
		}
	}
	for key := range h.All() {
		if name := string(key); call.ConnectionHeader(name) {
			out.Del(name)
		}
	}
	out.ResetConnectionClose()
	out.SetProtocol("HTTP/1.1")
	if body > 0 || !h.IsGet() && !h.IsHead() {
		out.SetContentLength(body)
	}
	return bytes.Clone(out.Header())
}

// answerHead returns the status line and the headers of an answer that are passed on. Its length is kept, since an answer to
// HEAD has one without a body.
func answerHead(h *fasthttp.ResponseHeader) []byte {
	var out fasthttp.ResponseHeader
	h.CopyTo(&out)
	out.SetNoDefaultContentType(true)
	for _, name := range connectionTokens(h.Peek(fasthttp.HeaderConnection)) {
		out.Del(name)
	}
	for key := range h.All() {
		if name := string(key); call.ConnectionHeader(name) && name != fasthttp.HeaderContentLength {
			out.Del(name)
		}
	}
	out.ResetConnectionClose()
	return bytes.Clone(out.Header())
}

// connectionTokens returns what a Connection header lists.
func connectionTokens(value []byte) []string {
	var tokens []string
	for token := range strings.SplitSeq(string(value), ",") {
		if token = strings.TrimSpace(token); token != "" {
			tokens = append(tokens, token)
		}
	}
	return tokens
}

// parseRequestHead reads what requestHead returned.
func parseRequestHead(b []byte) (*fasthttp.RequestHeader, error) {
	h := &fasthttp.RequestHeader{}
	h.SetNoDefaultContentType(true)
	return h, h.Read(headReader(b))
}

// parseAnswerHead reads what answerHead returned.
func parseAnswerHead(b []byte) (*fasthttp.ResponseHeader, error) {
	h := &fasthttp.ResponseHeader{}
	h.SetNoDefaultContentType(true)
	return h, h.Read(headReader(b))
}

// headReader returns a reader whose buffer holds a whole head, as fasthttp needs it.
func headReader(b []byte) *bufio.Reader {
	return bufio.NewReaderSize(bytes.NewReader(b), len(b))
}
