package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"lovagelane/kernel"
)

// exchangeRaw sends a request on a connection of its own and returns all bytes of the answer, which a parser could mend.
func (d *deployment) exchangeRaw(address, method, path string) string {
	d.t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(d.t, err)
	defer func() { _ = c.Close() }()
	require.NoError(d.t, c.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", method, path)
	require.NoError(d.t, err)
	b, err := io.ReadAll(c)
	require.NoError(d.t, err)
	return string(b)
}

// Guards against answers of a backend server that HTTP doesn't have and that callers get as the parser mends them: status 000 as 200,
// field names with blanks, or another body than the backend server's.
func TestMalformedAnswersAreNotServed(t *testing.T) {
	const whole = "Content-Length: 5\r\n\r\nwhole"
	const chunks = "\r\n5\r\nwhole\r\n0\r\n\r\n"
	ok := func(rest string) string { return "HTTP/1.1 200 OK\r\n" + rest }
	for name, answer := range map[string]string{
		"status 000":               "HTTP/1.1 000 OK\r\n" + whole,
		"status 000, no reason":    "HTTP/1.1 000\r\n" + whole,
		"status 099":               "HTTP/1.1 099 OK\r\n" + whole,
		"status 101":               "HTTP/1.1 101 Switching Protocols\r\n" + whole,
		"status 600":               "HTTP/1.1 600 OK\r\n" + whole,
		"version":                  "HTTP/9.9 200 OK\r\n" + whole,
		"blank inside":             ok("X Own: 1\r\n" + whole),
		"blank behind":             ok("X-Own : 1\r\n" + whole),
		"blank before":             ok("X-A: 1\r\n X-Own: 1\r\n" + whole),
		"control byte":             ok("X\x01Own: 1\r\n" + whole),
		"line feed before":         ok("X-A: 1\r\n\nX-Own: 1\r\n" + whole),
		"blank in the coding":      ok("Transfer Encoding: chunked\r\n" + chunks),
		"blank behind a length":    ok("Content-Length: 5\r\nTransfer Encoding: chunked\r\n" + chunks),
		"coding of HTTP/1.0":       "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks,
		"behind an interim answer": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n" + whole,
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, chainInventory, chainRules)
			i := d.startInstance("nursery", text(""))
			i.serveCalls(func(c net.Conn, _ *fasthttp.Request) bool {
				_, _ = io.WriteString(c, answer)
				return false
			})
			got := d.exchangeRaw(i.Addresses().Callers, http.MethodGet, "/nursery/map")
			require.Contains(t, got, "\r\nLovagelane-Reason: backend-failed\r\n")
			require.Contains(t, got, "\r\nLovagelane-Outcome: unknown\r\n")
			require.NotContains(t, got, "Own")
			require.NotContains(t, got, "whole")
		})
	}
}

// Guards against an answer whose head breaks off, at any byte, and that callers get as a success with an empty or a short body.
func TestHeadsThatBreakOffAreNotServed(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	i := d.startInstance("nursery", text(""))
	const answer = "HTTP/1.1 200 OK\r\nX-Own: a\r\n\r\n"
	var size atomic.Int64
	i.serveCalls(func(c net.Conn, _ *fasthttp.Request) bool {
		_, _ = io.WriteString(c, answer[:size.Load()])
		return false
	})
	for size.Load() < int64(len(answer)) {
		// Each request has its own path: one that breaks connections several times is quarantined.
		got := d.exchangeRaw(i.Addresses().Callers, http.MethodGet, fmt.Sprint("/nursery/map", size.Load()))
		require.Contains(t, got, "\r\nLovagelane-Reason: backend-failed\r\n", "%q", answer[:size.Load()])
		require.NotContains(t, got, "Own")
		size.Add(1)
	}
}

// Guards against a check that holds back a sound answer, or takes the rest of one for the next.
func TestAnswersOfAllValidFormsAreServed(t *testing.T) {
	large := strings.Repeat("x", 300<<10)
	for name, tc := range map[string]struct {
		answer string
		status int
		body   string
	}{
		"200":             {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", 200, "whole"},
		"without reason":  {"HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nwhole", 200, "whole"},
		"interim answers": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 201 X\r\nContent-Length: 5\r\n\r\nwhole", 201, "whole"},
		"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 200, "whole"},
		"204":             {"HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		"599":             {"HTTP/1.1 599 Odd\r\nContent-Length: 5\r\n\r\nwhole", 599, "whole"},
		"large":           {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(large), large), 200, large},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, chainInventory, chainRules)
			i := d.startInstance("nursery", text(""))
			i.serveCalls(func(c net.Conn, _ *fasthttp.Request) bool {
				for rest := tc.answer; rest != ""; {
					size := min(len(rest), 1+len(tc.answer)/3)
					_, _ = io.WriteString(c, rest[:size])
					rest = rest[size:]
					time.Sleep(time.Millisecond)
				}
				return true
			})
			for range 3 {
				r := d.send(i.Addresses().Callers, http.MethodGet, "/nursery/map", "")
				require.Equal(t, tc.status, r.StatusCode())
				require.Equal(t, tc.body, string(r.Body()))
			}
		})
	}
}

// Guards against a backend server that counts as healthy because its health check is answered with status 000.
func TestHealthCheckWithoutAStatusIsNotHealthy(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	i := d.startInstance("nursery", text(""))
	var checks atomic.Int64
	i.serveRequests(func(c net.Conn, _ *fasthttp.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n")
		checks.Add(1)
		return true
	})
	d.eventually("three health checks", func() bool { return checks.Load() >= 3 })
	require.False(t, i.Status().BackendServerUp)
}

// Guards against a part of an answer that callers get as the whole one, since it has no length and its connection was reset while the
// upload was still being written.
func TestEarlyAnswerThatIsResetIsNotServed(t *testing.T) {
	for name, part := range map[string]string{"small": "part", "large": strings.Repeat("part", 50<<10)} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, chainInventory, chainRules)
			i := d.startInstance("nursery", text(""))
			i.serveConnections(func(c net.Conn) {
				r := bufio.NewReader(c)
				var h fasthttp.RequestHeader
				for h.Read(r) == nil {
					if string(h.RequestURI()) == "/health" {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
						continue
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+part)
					time.Sleep(100 * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
					return
				}
			})
			d.eventually("serving again", func() bool { return i.Status().BackendServerUp })
			c, err := net.Dial("tcp", i.Addresses().Callers)
			require.NoError(t, err)
			defer func() { _ = c.Close() }()
			require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
			const size = 6 << 20
			kernel.NewGroup(t.Context()).Go("upload", func(context.Context) error {
				_, _ = fmt.Fprintf(c, "POST /nursery/orders HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", size)
				_, _ = c.Write(make([]byte, size)) // The node may close before.
				return nil
			})
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			if b, err := io.ReadAll(resp.Body); resp.StatusCode == http.StatusOK {
				require.Error(t, err, "%d bytes of %d", len(b), len(part))
			}
		})
	}
}
