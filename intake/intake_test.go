package intake_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"lovagelane/intake"
	"lovagelane/kernel"
	"lovagelane/memory"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

const waitTimeout = 10 * time.Second

// fixture is a server whose handler answers the path of a request after the time in its header Delay. It runs a POST only when
// it is its turn, as a request that must run at most once.
type fixture struct {
	*intake.Server
	address string

	mu sync.Mutex
	// started holds the paths of the requests that ran, and cancelled those whose caller left.
	started, cancelled  []string
	running, maxRunning int
}

type fataler interface {
	require.TestingT
	Helper()
}

func start(t fataler, maxPipelined int, configure ...func(f *fixture)) (*fixture, func()) {
	t.Helper()
	f := &fixture{}
	g := kernel.NewGroup(context.Background())
	f.Server = &intake.Server{Handler: f.handle, Group: g, MaxConnections: 8, MaxPipelined: maxPipelined, MaxHeaderBytes: 16 << 10,
		MaxBodyBytes: 1 << 20, ReadTimeout: waitTimeout, IdleTimeout: waitTimeout,
		Unreadable: func(resp *fasthttp.Response, err error) {
			resp.SetStatusCode(fasthttp.StatusBadRequest)
			resp.SetBodyString(err.Error())
		}}
	for _, set := range configure {
		set(f)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.address = ln.Addr().String()
	g.Go("serve", func(context.Context) error { return f.Serve(ln) })
	return f, func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		f.Shutdown(ctx)
		require.NoError(t, g.Stop())
	}
}

func (f *fixture) handle(x *intake.Exchange) {
	path := string(x.Request.Header.RequestURI())
	if x.Request.Header.IsPost() && !x.AwaitTurn() {
		return
	}
	f.mu.Lock()
	f.started = append(f.started, path)
	f.running++
	f.maxRunning = max(f.maxRunning, f.running)
	f.mu.Unlock()
	delay, _ := time.ParseDuration(string(x.Request.Header.Peek("Delay"))) // A request without the header has no delay.
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-x.Gone:
		f.mu.Lock()
		f.cancelled = append(f.cancelled, path)
		f.mu.Unlock()
	}
	f.mu.Lock()
	f.running--
	f.mu.Unlock()
	if string(x.Request.Header.Peek("Answer")) == "close" {
		x.Response.SetConnectionClose()
	}
	x.Response.SetBodyString(path + " " + string(x.Request.Body()))
}

func (f *fixture) ran(path string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.started {
		if p == path {
			return true
		}
	}
	return false
}

func dial(t fataler, f *fixture) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	return c
}

func request(method, path string, headers ...string) string {
	text := method + " " + path + " HTTP/1.1\r\nHost: maps.example\r\n"
	for _, h := range headers {
		text += h + "\r\n"
	}
	return text + "\r\n"
}

// readAnswer returns the body of the next answer and whether it closes the connection.
func readAnswer(r *bufio.Reader) (string, bool, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.Read(r); err != nil {
		return "", false, err
	}
	return string(resp.Body()), resp.ConnectionClose(), nil
}

// Guards against pipelined requests that wait for each other: a caller that sends several requests at once would wait for the
// sum of their run times.
func TestPipelinedRequestsRunAtTheSameTime(t *testing.T) {
	f, stop := start(t, 8)
	defer stop()
	c := dial(t, f)
	defer c.Close()
	_, err := io.WriteString(c, request("GET", "/slow", "Delay: 300ms")+request("GET", "/a", "Delay: 300ms")+request("GET", "/b", "Delay: 300ms"))
	require.NoError(t, err)
	r := bufio.NewReader(c)
	for _, want := range []string{"/slow ", "/a ", "/b "} {
		got, closed, err := readAnswer(r)
		require.NoError(t, err)
		require.Equal(t, want, got)
		require.False(t, closed)
	}
	require.Equal(t, 3, f.maxRunning)
}

// Guards, over generated pipelines in arbitrary pieces, against answers that are out of order, doubled or missing, against a
// request that must run at most once and runs although its caller takes it as not read, and against one that runs before the
// earlier requests are answered.
func TestAnswersComeInTheOrderOfTheRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, stop := start(t, rapid.IntRange(1, 6).Draw(t, "max-pipelined"))
		defer stop()
		n := rapid.IntRange(1, 8).Draw(t, "requests")
		text, closesAt := "", n
		var wants []string
		for i := range n {
			path := fmt.Sprint("/", i)
			method := rapid.SampledFrom([]string{"GET", "GET", "POST"}).Draw(t, "method")
			body := ""
			headers := []string{fmt.Sprintf("Delay: %dms", rapid.IntRange(0, 6).Draw(t, "delay"))}
			if method == "POST" {
				body = strings.Repeat("x", rapid.IntRange(0, 5000).Draw(t, "size"))
				headers = append(headers, fmt.Sprint("Content-Length: ", len(body)))
			}
			switch rapid.SampledFrom([]string{"", "", "", "", "close", "answer-close", "long"}).Draw(t, "kind") {
			case "close":
				headers = append(headers, "Connection: close")
				closesAt = min(closesAt, i)
			case "answer-close":
				headers = append(headers, "Answer: close")
				closesAt = min(closesAt, i)
			case "long":
				headers = append(headers, "Long: "+strings.Repeat("y", 4000))
			}
			text += request(method, path, headers...) + body
			wants = append(wants, path+" "+body)
		}
		c := dial(t, f)
		defer c.Close()
		g := kernel.NewGroup(context.Background())
		g.Go("send", func(context.Context) error {
			for rest := text; rest != ""; {
				piece := min(len(rest), rapid.IntRange(1, 3000).Draw(t, "piece"))
				if _, err := io.WriteString(c, rest[:piece]); err != nil {
					return nil // The connection was closed by an answer.
				}
				rest = rest[piece:]
			}
			return nil
		})
		r := bufio.NewReader(c)
		for i, want := range wants {
			got, closed, err := readAnswer(r)
			require.NoError(t, err)
			require.Equal(t, want, got)
			require.Equal(t, i == closesAt, closed, "request %d", i)
			if closed {
				break
			}
		}
		if closesAt < n {
			_, err := r.ReadByte()
			require.ErrorIs(t, err, io.EOF, "bytes behind the last answer")
		}
		require.NoError(t, g.Wait())
		for i := closesAt + 1; i < n; i++ {
			isOrder := strings.Contains(text, fmt.Sprintf("POST /%d ", i))
			require.False(t, isOrder && f.ran(fmt.Sprint("/", i)), "request %d ran although it counts as not read", i)
		}
	})
}

// Guards against requests that keep running after their caller has closed the connection, pipelined ones included.
func TestCallerThatLeavesCancelsAllItsRequests(t *testing.T) {
	f, stop := start(t, 8)
	defer stop()
	c := dial(t, f)
	_, err := io.WriteString(c, request("GET", "/a", "Delay: 9s")+request("GET", "/b", "Delay: 9s")+request("POST", "/c", "Content-Length: 0"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.ran("/a") && f.ran("/b") }, waitTimeout, time.Millisecond)
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.cancelled) == 2
	}, waitTimeout, time.Millisecond)
	require.False(t, f.ran("/c"))
}

// Guards against a planned stop that cuts off a request which was read, and against a connection that stays open behind its
// last answer.
func TestDrainAnswersEveryRequestThatWasRead(t *testing.T) {
	f, stop := start(t, 8)
	defer stop()
	c := dial(t, f)
	defer c.Close()
	_, err := io.WriteString(c, request("GET", "/a", "Delay: 100ms")+request("GET", "/b", "Delay: 200ms"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.ran("/a") && f.ran("/b") }, waitTimeout, time.Millisecond)
	f.Drain()
	r := bufio.NewReader(c)
	got, closed, err := readAnswer(r)
	require.NoError(t, err)
	require.Equal(t, "/a ", got)
	require.False(t, closed, "another request was read")
	got, closed, err = readAnswer(r)
	require.NoError(t, err)
	require.Equal(t, "/b ", got)
	require.True(t, closed)
	_, err = r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// Guards against an answer that the caller loses because the connection is reset by the bytes that it sent behind its last
// request.
func TestAnswerSurvivesBytesBehindTheLastRequest(t *testing.T) {
	f, stop := start(t, 8)
	defer stop()
	c := dial(t, f)
	defer c.Close()
	_, err := io.WriteString(c, request("GET", "/a", "Delay: 20ms", "Connection: close")+strings.Repeat("z", 100_000))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	got, closed, err := readAnswer(bufio.NewReader(c))
	require.NoError(t, err)
	require.Equal(t, "/a ", got)
	require.True(t, closed)
}

// Guards against bytes that are no request, a header over the limit and a body that is announced but not sent, which must get
// an answer, or the end of the connection, and stop nothing else.
func TestUnreadableRequestsAreAnswered(t *testing.T) {
	f, stop := start(t, 8)
	defer stop()
	for name, text := range map[string]string{
		"no request":   "\x00\x01garbage\r\n\r\n",
		"large header": request("GET", "/a", "Long: "+strings.Repeat("y", 20<<10)),
		"large body":   request("POST", "/a", "Content-Length: 2000000"),
		"bad length":   request("POST", "/a", "Content-Length: 99999999999999999999"),
		"bad chunks":   request("POST", "/a", "Transfer-Encoding: chunked") + "zz\r\n",
	} {
		c := dial(t, f)
		_, err := io.WriteString(c, text)
		require.NoError(t, err, name)
		resp := fasthttp.AcquireResponse()
		require.NoError(t, resp.Read(bufio.NewReader(c)), name)
		require.Equal(t, fasthttp.StatusBadRequest, resp.StatusCode(), name)
		require.NoError(t, c.Close())
	}
	c := dial(t, f)
	defer c.Close()
	_, err := io.WriteString(c, request("GET", "/next"))
	require.NoError(t, err)
	got, _, err := readAnswer(bufio.NewReader(c))
	require.NoError(t, err)
	require.Equal(t, "/next ", got)
}

// Guards against a caller that waits for "100 Continue" before it sends its body and never gets it, or gets it before the
// answers to its earlier requests.
func TestExpectedContinueComesInOrder(t *testing.T) {
	f, stop := start(t, 8)
	defer stop()
	c := dial(t, f)
	defer c.Close()
	_, err := io.WriteString(c, request("GET", "/a", "Delay: 50ms")+request("POST", "/b", "Content-Length: 3", "Expect: 100-continue"))
	require.NoError(t, err)
	r := bufio.NewReader(c)
	got, _, err := readAnswer(r)
	require.NoError(t, err)
	require.Equal(t, "/a ", got)
	line, err := r.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
	_, err = r.ReadString('\n')
	require.NoError(t, err)
	_, err = io.WriteString(c, "xyz")
	require.NoError(t, err)
	got, _, err = readAnswer(r)
	require.NoError(t, err)
	require.Equal(t, "/b xyz", got)
}

// Guards against connections without bound, and against a caller beyond the bound that gets no answer.
func TestConnectionsBeyondTheLimitAreRefused(t *testing.T) {
	f, stop := start(t, 8)
	defer stop()
	for range 8 {
		c := dial(t, f)
		defer c.Close()
		_, err := io.WriteString(c, request("GET", "/a"))
		require.NoError(t, err)
		_, _, err = readAnswer(bufio.NewReader(c))
		require.NoError(t, err)
	}
	c := dial(t, f)
	defer c.Close()
	b, err := io.ReadAll(c)
	require.NoError(t, err)
	require.True(t, bytes.HasPrefix(b, []byte("HTTP/1.1 503 ")), string(b))
}

// FuzzReader feeds arbitrary bytes to a connection: the server must answer or close it, and go on serving.
func FuzzReader(f *testing.F) {
	f.Add([]byte(request("GET", "/a") + request("GET", "/b")))
	f.Add([]byte(request("POST", "/a", "Transfer-Encoding: chunked") + "3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"))
	f.Add([]byte(request("GET", "/a", "Content-Length: -1")))
	f.Add([]byte("\r\n\r\n\x00"))
	server, stop := start(f, 4)
	f.Cleanup(stop)
	f.Fuzz(func(t *testing.T, b []byte) {
		c := dial(t, server)
		defer c.Close()
		_, _ = c.Write(b) // The server may have closed the connection.
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			return
		}
		_, err := io.Copy(io.Discard, c)
		var timeout net.Error
		require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "the connection stays open")
	})
}

// Guards against a body that is read without memory for it, memory that is not released, and a refusal that does not reach its
// caller or leaves the unread body on the connection as the next request.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	f, stop := start(t, 4)
	defer stop()
	budget := memory.New(1 << 20)
	f.ReserveBody = func(_ *fasthttp.RequestHeader, size int64) (*memory.Reservation, bool) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		return budget.Reserve(ctx, memory.Requests, 0, size)
	}
	f.Unreadable = func(resp *fasthttp.Response, err error) {
		require.ErrorIs(t, err, intake.ErrNoMemory)
		resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	for _, tc := range []struct{ size, status int }{{500 << 10, fasthttp.StatusOK}, {900 << 10, fasthttp.StatusServiceUnavailable}} {
		c, err := net.Dial("tcp", f.address)
		require.NoError(t, err)
		_, err = fmt.Fprintf(c, "POST /large HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", tc.size)
		require.NoError(t, err)
		smuggled := bytes.Repeat([]byte("GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"), tc.size)
		_, _ = c.Write(smuggled[:tc.size]) // It may be refused meanwhile.
		var resp fasthttp.Response
		require.NoError(t, resp.Read(bufio.NewReader(c)))
		require.Equal(t, tc.status, resp.StatusCode())
		require.Equal(t, tc.status != fasthttp.StatusOK, resp.ConnectionClose())
		require.NoError(t, c.Close())
	}
	require.Eventually(t, func() bool { return budget.Used(memory.Requests) == 0 }, waitTimeout, time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Equal(t, []string{"/large"}, f.started)
}

// Guards against a caller that never reads its answer and so keeps its memory for ever.
func TestCallerThatDoesNotReadIsDisconnected(t *testing.T) {
	f, stop := start(t, 4)
	defer stop()
	const size = 16 << 20
	f.Handler = func(x *intake.Exchange) { x.Response.SetBodyRaw(make([]byte, size)) }
	c, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	defer func() { require.NoError(t, c.Close()) }()
	type closed struct {
		peer      string
		reason    intake.CloseReason
		unwritten int64
	}
	slow := make(chan closed, 1)
	f.WriteTimeout, f.Closed = 200*time.Millisecond, func(peer string, reason intake.CloseReason, unwritten int64) {
		slow <- closed{peer, reason, unwritten}
	}
	_, err = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.Unanswered() == 1 }, waitTimeout, time.Millisecond)
	got := <-slow
	require.Equal(t, c.LocalAddr().String(), got.peer)
	require.Equal(t, intake.SlowReader, got.reason)
	require.Positive(t, got.unwritten)
	require.Less(t, got.unwritten, int64(size))
	require.Eventually(t, func() bool { return f.Unanswered() == 0 }, waitTimeout, time.Millisecond)
}
