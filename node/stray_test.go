package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"lovagelane/kernel"
)

// serveRaw replaces the backend server of an instance by one that answers each call with the bytes that answer returns for its
// path and context, and keeps the connection.
func (i *instance) serveRaw(answer func(path, context string, number int64) []string) {
	var number atomic.Int64
	i.serveCalls(func(c net.Conn, req *fasthttp.Request) bool {
		for _, part := range answer(string(req.Header.RequestURI()), string(req.Header.Peek("Lovagelane-Context")), number.Add(1)) {
			_, _ = io.WriteString(c, part)
			time.Sleep(5 * time.Millisecond)
		}
		return true
	})
}

// serveRawWith replaces the backend server of an instance by one that passes the connection of each call to f.
func (i *instance) serveRawWith(f func(c net.Conn)) {
	i.serveCalls(func(c net.Conn, _ *fasthttp.Request) bool {
		f(c)
		return false
	})
}

// serveCalls replaces the backend server of an instance by one that passes each call to handle, and closes the connection when
// handle returns false. It answers health checks itself.
func (i *instance) serveCalls(handle func(c net.Conn, req *fasthttp.Request) bool) {
	i.serveRequests(func(c net.Conn, req *fasthttp.Request) bool {
		if string(req.Header.RequestURI()) == "/health" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		return handle(c, req)
	})
	i.d.eventually("serving again", func() bool { return i.Status().BackendServerUp })
}

// serveRequests replaces the backend server of an instance by one that passes each request to handle, and closes the connection when
// handle returns false.
func (i *instance) serveRequests(handle func(c net.Conn, req *fasthttp.Request) bool) {
	i.serveConnections(func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			var req fasthttp.Request
			if req.Read(r) != nil || !handle(c, &req) {
				return
			}
		}
	})
}

// serveConnections replaces the backend server of an instance by one that passes each connection to serve and closes it afterwards.
func (i *instance) serveConnections(serve func(c net.Conn)) {
	address := i.ln.Addr().String()
	require.NoError(i.d.t, i.server.Shutdown())
	ln, err := net.Listen("tcp", address)
	require.NoError(i.d.t, err)
	i.d.t.Cleanup(func() { _ = ln.Close() })
	group := kernel.NewGroup(i.d.t.Context())
	group.Go("accept", func(context.Context) error {
		for {
			c, err := ln.Accept()
			if err != nil {
				return nil
			}
			group.Go("serve", func(context.Context) error {
				defer func() { _ = c.Close() }()
				serve(c)
				return nil
			})
		}
	})
}

func rawAnswer(path, context string) string {
	header := ""
	if context != "" {
		header = "Lovagelane-Context: " + context + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(path), path)
}

// Guards against a second, late copy of an answer that is taken as the answer to the next call on the connection.
func TestSecondCopyOfAnAnswerIsNotTheNextAnswer(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	i := d.startInstance("nursery", text(""))
	i.serveRaw(func(path, _ string, _ int64) []string { return []string{rawAnswer(path, ""), rawAnswer(path, "")} })
	for n := range 10 {
		path := fmt.Sprint("/map", n)
		r := d.send(i.Addresses().Callers, "GET", "/nursery"+path, "")
		require.Equal(t, fasthttp.StatusOK, r.StatusCode())
		require.Equal(t, path, string(r.Body()))
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a late copy of an answer that arrives after the next call was sent, if answers state the context of their call.
func TestAnswerOfAnotherContextIsNotServed(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	i := d.startInstance("nursery", text(""))
	last := ""
	i.serveRaw(func(path, context string, _ int64) []string {
		answers := []string{rawAnswer(path, context)}
		if last != "" {
			answers = append([]string{last}, answers...)
		}
		last = answers[len(answers)-1]
		return answers
	})
	for n := range 10 {
		path := fmt.Sprint("/map", n)
		r := d.send(i.Addresses().Callers, "GET", "/nursery"+path, "")
		if r.StatusCode() == fasthttp.StatusOK {
			require.Equal(t, path, string(r.Body()))
		} else {
			require.Equal(t, "unknown", outcome(r))
		}
	}
}

// Guards against bytes without end from a backend server, in a head or a body, that reach the caller as a complete answer, fill
// the memory of the node or keep a slot beyond the deadline of the call.
func TestAnswerWithoutEndIsBounded(t *testing.T) {
	for name, tc := range map[string]struct{ head, pattern string }{
		"head lines":    {"HTTP/1.1 200 OK\r\n", "X-Many: y\r\n"},
		"head line":     {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"no head":       {"", "\x00\xff"},
		"interim heads": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body to close": {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nwhole\r\n"},
		"chunk size":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", "y"},
		"trailers":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Many: y\r\n"},
		"continue":      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"empty lines":   {"", "\r\n"},
		"long body":     {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, strings.ReplaceAll(chainInventory, "timeout = 5s", "timeout = 1s"), chainRules)
			i := d.startInstance("nursery", text(""))
			chunk := strings.Repeat(tc.pattern, 1+(32<<10)/len(tc.pattern))
			var closed atomic.Int64
			i.serveRawWith(func(c net.Conn) {
				_, err := io.WriteString(c, tc.head)
				for err == nil {
					_, err = io.WriteString(c, chunk)
				}
				closed.Add(1)
			})
			conn, err := net.Dial("tcp", i.Addresses().Callers)
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
			_, err = io.WriteString(conn, "GET /nursery/map HTTP/1.1\r\nHost: x\r\n\r\n")
			require.NoError(t, err)
			resp := &fasthttp.Response{StreamBody: true}
			err = resp.Read(bufio.NewReader(conn))
			if err == nil && resp.StatusCode() == fasthttp.StatusOK {
				_, err = io.Copy(io.Discard, resp.BodyStream())
				require.Error(t, err, "the answer looks complete")
			}
			d.eventually("the connection is closed", func() bool { return closed.Load() == 1 })
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			require.Less(t, stats.HeapAlloc, uint64(100<<20))
			d.eventually("the slot is free", func() bool { return i.Status().InFlight == 0 })
		})
	}
}
