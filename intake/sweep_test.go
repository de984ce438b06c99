package intake_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"lovagelane/intake"
	"lovagelane/memory"
)

// stallWait is how long a request waits for room in these tests.
const stallWait = 200 * time.Millisecond

// startAccounted starts a server with a budget of which connections may take 300 KB. It returns why connections were closed.
func startAccounted(t *testing.T, handler func(x *intake.Exchange)) (f *fixture, closed func() []intake.CloseReason) {
	var mu sync.Mutex
	var reasons []intake.CloseReason
	f, stop := start(t, 4, func(f *fixture) {
		f.Budget, f.MaxConnectionBytes = memory.New(1000<<10), 100<<10
		f.Closed = func(_ string, reason intake.CloseReason, _ int64) {
			mu.Lock()
			defer mu.Unlock()
			reasons = append(reasons, reason)
		}
		if handler != nil {
			f.Handler = handler
		}
	})
	t.Cleanup(stop)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	f.Group.Go("sweep", func(context.Context) error {
		for ctx.Err() == nil {
			time.Sleep(intake.SweepInterval / 5)
			f.Sweep()
		}
		return nil
	})
	return f, func() []intake.CloseReason {
		mu.Lock()
		defer mu.Unlock()
		return append([]intake.CloseReason{}, reasons...)
	}
}

// Guards against callers that keep all connections with requests that never end, so that no other caller gets one.
func TestTrickledRequestGivesWayToANewConnection(t *testing.T) {
	f, closed := startAccounted(t, nil)
	for range 8 {
		c := dial(t, f)
		defer c.Close()
		_, err := io.WriteString(c, "GET /a HTTP/1.1\r\nX-Long: ")
		require.NoError(t, err)
	}
	var body string
	require.Eventually(t, func() bool {
		c := dial(t, f)
		defer c.Close()
		_, _ = io.WriteString(c, request("GET", "/next")) // It may be refused.
		var err error
		body, _, err = readAnswer(bufio.NewReader(c))
		return err == nil && body != ""
	}, waitTimeout, 50*time.Millisecond)
	require.Equal(t, "/next ", body)
	require.Contains(t, closed(), intake.Displaced)
}

// Guards against answers that are not read, bodies that stop halfway and requests sent ahead, that take the room of a caller whose
// request is small, and against bytes that stay counted when their connections are gone.
func TestCallersWithoutProgressGiveWay(t *testing.T) {
	f, closed := startAccounted(t, func(x *intake.Exchange) {
		if !x.TakeAnswer(waitTimeout, 1<<10) {
			x.Response.SetStatusCode(fasthttp.StatusServiceUnavailable)
		} else if bytes.HasPrefix(x.Request.Header.RequestURI(), []byte("/large")) {
			x.Response.SetBodyString(strings.Repeat("x", 60<<10))
		}
	})
	for range 3 {
		c := dial(t, f)
		defer c.Close()
		require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
		_, err := io.WriteString(c, strings.Repeat(request("GET", "/large"), 400))
		require.NoError(t, err)
	}
	for range 2 {
		c := dial(t, f)
		defer c.Close()
		_, err := io.WriteString(c, request("POST", "/half", "Content-Length: 30000")+"x")
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return len(closed()) > 0 }, waitTimeout, time.Millisecond)
	c := dial(t, f)
	defer c.Close()
	_, err := io.WriteString(c, request("GET", "/next"))
	require.NoError(t, err)
	var resp fasthttp.Response
	require.NoError(t, resp.Read(bufio.NewReader(c)))
	require.Equal(t, fasthttp.StatusOK, resp.StatusCode())
	require.Subset(t, []intake.CloseReason{intake.NoProgress}, closed())
}

// Guards against requests sent ahead behind a slow one that fill the room for as long as it takes, so that the request of another
// caller finds none.
func TestRequestsBehindASlowOneLeaveRoomForOthers(t *testing.T) {
	const crowd = 10
	large := strings.Repeat("x", 60<<10)
	for name, tc := range map[string]struct {
		ahead string
		// foreseen is set if the size of the answers is known before.
		foreseen bool
	}{
		"foreseen answers":   {ahead: request("GET", "/large"), foreseen: true},
		"unforeseen answers": {ahead: request("GET", "/large")},
		"bodies":             {ahead: request("PUT", "/body", "Content-Length: 22000") + large[:22000]},
		"heads":              {ahead: request("GET", "/head", "Long: "+large[:14<<10])},
	} {
		t.Run(name, func(t *testing.T) {
			var arrived atomic.Int64
			gate, end := make(chan struct{}), make(chan struct{})
			f, _ := startAccounted(t, func(x *intake.Exchange) {
				switch path := string(x.Request.Header.RequestURI()); path {
				case "/slow":
					arrived.Add(1)
					awaitEither(x.Gone, end)
				case "/body":
					awaitEither(x.Gone, end)
				case "/large":
					arrived.Add(1)
					<-gate // Until all have been read, of which a busy machine may run none before.
					if tc.foreseen && !x.TakeAnswer(stallWait, int64(len(large))) {
						x.Response.SetStatusCode(fasthttp.StatusServiceUnavailable)
						return
					}
					x.Response.SetBodyString(large)
				case "/next":
					if !x.TakeAnswer(stallWait, int64(len(large))) {
						x.Response.SetStatusCode(fasthttp.StatusServiceUnavailable)
					}
				}
			})
			f.MaxConnections = 2 * crowd
			defer close(end)
			conns := make([]net.Conn, crowd)
			for i := range conns {
				conns[i] = dial(t, f)
				defer conns[i].Close()
				_, err := io.WriteString(conns[i], request("GET", "/slow")+tc.ahead[:1])
				require.NoError(t, err)
			}
			require.Eventually(t, func() bool { return arrived.Load() == crowd }, waitTimeout, time.Millisecond)
			time.Sleep(stallWait) // All begin to read what was sent ahead before it takes room.
			for _, c := range conns {
				_, err := io.WriteString(c, tc.ahead[1:])
				require.NoError(t, err)
			}
			want := int64(crowd)
			if strings.Contains(tc.ahead, "/large") {
				want = 2 * crowd
			}
			require.Eventually(t, func() bool { return arrived.Load() == want }, waitTimeout, time.Millisecond)
			close(gate)
			time.Sleep(stallWait) // What was sent ahead takes its room.
			require.Eventually(t, func() bool {
				c := dial(t, f)
				defer c.Close()
				_, _ = io.WriteString(c, request("GET", "/next")) // It may be refused.
				var resp fasthttp.Response
				return resp.Read(bufio.NewReader(c)) == nil && resp.StatusCode() == fasthttp.StatusOK
			}, waitTimeout, 50*time.Millisecond)
		})
	}
}

func awaitEither(a, b <-chan struct{}) {
	select {
	case <-a:
	case <-b:
	}
}
