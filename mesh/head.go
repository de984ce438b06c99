package mesh

import (
	"bufio"
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"lovagelane/answers"
	"lovagelane/call"
)

// requestHead returns the request line and the end-to-end headers of a request, as edit changes them.
func requestHead(h *fasthttp.RequestHeader, body int, edit func(*fasthttp.RequestHeader)) []byte {
	var out fasthttp.RequestHeader
	h.CopyTo(&out)
	edit(&out)
	out.SetNoDefaultContentType(true)
	for _, name := range connectionOptions(h.Peek(fasthttp.HeaderConnection)) {
		if !strings.EqualFold(name, fasthttp.HeaderHost) {
			out.Del(name)
		}
	}
	for key := range h.All() {
		if name := string(key); call.IsHopByHopHeader(name) {
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

// answerHead returns the status line and the end-to-end headers of an answer. Content-Length is kept, since an answer to HEAD
// has it without a body.
func answerHead(h *fasthttp.ResponseHeader) []byte {
	var out fasthttp.ResponseHeader
	h.CopyTo(&out)
	out.SetNoDefaultContentType(true)
	for _, name := range connectionOptions(h.Peek(fasthttp.HeaderConnection)) {
		out.Del(name)
	}
	for key := range h.All() {
		if name := string(key); call.IsHopByHopHeader(name) && name != fasthttp.HeaderContentLength {
			out.Del(name)
		}
	}
	out.ResetConnectionClose()
	return bytes.Clone(out.Header())
}

// connectionOptions returns the tokens of a Connection header.
func connectionOptions(value []byte) []string {
	var tokens []string
	for token := range strings.SplitSeq(string(value), ",") {
		if token = strings.TrimSpace(token); token != "" {
			tokens = append(tokens, token)
		}
	}
	return tokens
}

// parseRequestHead parses the output of requestHead.
func parseRequestHead(b []byte) (*fasthttp.RequestHeader, error) {
	h := &fasthttp.RequestHeader{}
	h.SetNoDefaultContentType(true)
	return h, h.Read(headReader(b))
}

// parseAnswerHead parses the output of answerHead. A node of an earlier release passes malformed heads on.
func parseAnswerHead(b []byte) (*fasthttp.ResponseHeader, error) {
	if err := answers.Check(b); err != nil {
		return nil, err
	}
	h := &fasthttp.ResponseHeader{}
	h.SetNoDefaultContentType(true)
	return h, h.Read(headReader(b))
}

// headReader returns a reader whose buffer holds the whole head, as fasthttp requires.
func headReader(b []byte) *bufio.Reader {
	return bufio.NewReaderSize(bytes.NewReader(b), len(b))
}
