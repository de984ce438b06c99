package answers_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"lovagelane/answers"
	"lovagelane/kernel"
)

// newClient returns an HTTP client whose connections check heads. The n-th request on a connection is answered with the n-th text,
// whose parts, separated by |, arrive one after the other. Behind the last text the connection is closed.
func newClient(t *testing.T, texts ...string) *fasthttp.HostClient {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	g := kernel.NewGroup(t.Context())
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		for _, text := range texts {
			if _, err := c.Read(make([]byte, 4096)); err != nil {
				return
			}
			for part := range strings.SplitSeq(text, "|") {
				_, _ = io.WriteString(c, part)
				time.Sleep(2 * time.Millisecond)
			}
		}
	}
	g.Go("accept", func(context.Context) error {
		for {
			c, err := ln.Accept()
			if err != nil {
				return nil
			}
			g.Go("serve", func(context.Context) error { serve(c); return nil })
		}
	})
	return newClientOf(ln)
}

// newClientOf returns an HTTP client of a listener, with one connection at a time, that checks heads.
func newClientOf(ln net.Listener) *fasthttp.HostClient {
	return &fasthttp.HostClient{Addr: ln.Addr().String(), MaxConns: 1, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			c, err := net.Dial("tcp", address)
			if err != nil {
				return nil, err
			}
			return answers.NewConn(c), nil
		}}
}

func get(c *fasthttp.HostClient) (status int, body string, err error) {
	status, b, err := c.GetTimeout(nil, "http://"+c.Addr+"/", 5*time.Second)
	return status, string(b), err
}

// Guards against answers that change on their way through a checked connection, and against the rest of one that becomes the start of
// the next.
func TestConnPassesValidAnswersOn(t *testing.T) {
	large := strings.Repeat("x", 100<<10)
	c := newClient(t,
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst",
		"HTTP/1.1 2|01 OK\r\nContent-|Length: 6\r\n\r|\nsec|ond",
		"HTTP/1.1 103 Early Hints\r\n\r\n|HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nchu|nk\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 102400\r\n\r\n"+large,
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextraHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray",
		"HTTP/1.1 200 OK\r\n\r\nto the end")
	for _, want := range []struct {
		status int
		body   string
	}{{200, "first"}, {201, "second"}, {200, ""}, {200, "chunk"}, {200, large}, {200, "extra"}, {200, "to the end"}} {
		status, body, err := get(c)
		require.NoError(t, err)
		require.Equal(t, want.status, status)
		require.Equal(t, want.body, body)
	}
}

// Guards against a malformed answer that a client takes for a valid one, or for a closed connection, behind which calls are suspected
// of a crash.
func TestConnReportsMalformedAnswers(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	for name, text := range map[string]string{
		"status":                   "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"field":                    "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"behind an empty line":     "\r\n|HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"behind an interim answer": "HTTP/1.1 100 Continue\r\n\r\n|HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"large head":               "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("x", 30<<10),
	} {
		t.Run(name, func(t *testing.T) {
			c := newClient(t, valid, text)
			_, body, err := get(c)
			require.NoError(t, err)
			require.Equal(t, "whole", body)
			var malformed answers.MalformedError
			_, _, err = get(c)
			require.ErrorAs(t, err, &malformed)
			status, _, err := get(c)
			require.NoError(t, err, "a new connection is used")
			require.Equal(t, 200, status)
		})
	}
}

// Guards against an answer that broke off and is told as malformed, as if its backend server were alive.
func TestConnReportsAnswersThatBreakOff(t *testing.T) {
	for _, text := range []string{"", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"} {
		_, _, err := get(newClient(t, text))
		require.ErrorIs(t, err, fasthttp.ErrConnectionClosed)
	}
}

// Guards against a part of an answer that a client takes for the whole one, since it has no length and its connection was reset while
// the request was still being written. A library that reads on behind a failed write would see an end there.
func TestConnReportsAnswersThatAreResetDuringTheRequest(t *testing.T) {
	for name, text := range map[string]string{
		"no body yet": "HTTP/1.1 200 OK\r\n\r\n",
		"part":        "HTTP/1.1 200 OK\r\n\r\npart",
		"large part":  "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("part", 40<<10),
	} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/stream=%v", name, stream), func(t *testing.T) {
				c := newResettingClient(t, text)
				c.StreamResponseBody = stream
				req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
				defer fasthttp.ReleaseRequest(req)
				defer fasthttp.ReleaseResponse(resp)
				req.Header.SetMethod(fasthttp.MethodPost)
				req.SetRequestURI("http://" + c.Addr + "/")
				req.SetBodyRaw(make([]byte, 5<<20))
				err := c.DoTimeout(req, resp, 5*time.Second)
				if stream && err == nil {
					_, err = io.Copy(io.Discard, resp.BodyStream())
				}
				require.Error(t, err)
			})
		}
	}
}

// newResettingClient returns an HTTP client whose connections check heads. Its requests are answered with a text once they begin, and
// their connections are reset then.
func newResettingClient(t *testing.T, text string) *fasthttp.HostClient {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	g := kernel.NewGroup(t.Context())
	g.Go("accept", func(context.Context) error {
		for {
			c, err := ln.(*net.TCPListener).AcceptTCP()
			if err != nil {
				return nil
			}
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, text)
			time.Sleep(100 * time.Millisecond) // The client has read nothing yet and fills the buffers.
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	})
	return newClientOf(ln)
}
