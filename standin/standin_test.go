package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lovagelane/kernel"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		// fasthttp runs background goroutines that update the server's date, clean up idle workers and close idle client
		// connections; they may outlive the test.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}

// startServer runs serve on a free port until the test ends and returns its base URL.
func startServer(t *testing.T, serve func(*kernel.Group, net.Listener)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := kernel.NewGroup(context.Background())
	serve(g, ln)
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		require.NoError(t, g.Stop())
	})
	return "http://" + ln.Addr().String()
}

func send(t *testing.T, method, url, body string, headers ...string) (int, string) {
	t.Helper()
	status, answer, err := trySend(method, url, body, headers...)
	require.NoError(t, err)
	return status, answer
}

func trySend(method, url, body string, headers ...string) (int, string, error) {
	req, err := http.NewRequest(method, url, bytes.NewBufferString(body))
	if err != nil {
		return 0, "", err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// Guards against write conditions that are weaker than the product requires: two operators who change the configuration
// concurrently must not both succeed, and a failed transaction must write nothing.
func TestPlatformConditions(t *testing.T) {
	clock := &kernel.ManualClock{}
	url := startServer(t, NewPlatform(clock).Serve)
	steps := []struct {
		name, method, path, body string
		status                   int
		want                     string
	}{
		{"no row yet", "GET", "/tables/config/rows/current", "", 404, ""},
		{"create", "POST", "/tables/config/transactions",
			`{"writes":[{"key":"current","value":"a","if-version":0},{"key":"1","value":"a","if-version":0}]}`, 200,
			`{"revision":1,"versions":{"1":1,"current":1}}`},
		{"row must not exist", "POST", "/tables/config/transactions",
			`{"writes":[{"key":"2","value":"b"},{"key":"current","value":"b","if-version":0}]}`, 412,
			`{"key":"current","version":1}`},
		{"failed transaction wrote nothing", "GET", "/tables/config/rows/2", "", 404, ""},
		{"next version", "POST", "/tables/config/transactions",
			`{"writes":[{"key":"current","value":"b","if-version":1}]}`, 200,
			`{"revision":2,"versions":{"current":2}}`},
		{"stale base", "POST", "/tables/config/transactions",
			`{"writes":[{"key":"current","value":"c","if-version":1}]}`, 412, `{"key":"current","version":2}`},
		{"read", "GET", "/tables/config/rows/current", "", 200,
			`{"key":"current","value":"b","version":2,"revision":2,"age-ms":0}`},
		{"changed rows only", "GET", "/tables/config/rows?since=1", "", 200,
			`{"revision":2,"rows":[{"key":"current","value":"b","version":2,"revision":2,"age-ms":0}]}`},
		{"delete", "POST", "/tables/config/transactions", `{"writes":[{"key":"1","delete":true}]}`, 200,
			`{"revision":3,"versions":{"1":2}}`},
		{"deleted rows are listed", "GET", "/tables/config/rows?since=2", "", 200,
			`{"revision":3,"rows":[{"key":"1","value":"","version":2,"revision":3,"age-ms":0,"deleted":true}]}`},
		{"deleted row", "GET", "/tables/config/rows/1", "", 404, ""},
		{"object", "PUT", "/objects/abc", "text", 200, ""},
		{"same key twice", "POST", "/tables/config/transactions",
			`{"writes":[{"key":"x","value":"1"},{"key":"x","value":"2"}]}`, 400, ""},
		{"counts", "GET", "/standin/counts", "", 200, `{"reads":8,"writes":4}`},
	}
	for _, s := range steps {
		status, got := send(t, s.method, url+s.path, s.body)
		require.Equal(t, s.status, status, s.name)
		if s.want != "" {
			require.JSONEq(t, s.want, got, s.name)
		}
	}
	_, got := send(t, "GET", url+"/objects/abc", "")
	require.Equal(t, "text", got)
	clock.Advance(1500 * time.Millisecond)
	_, got = send(t, "GET", url+"/tables/config/rows/current", "")
	require.Contains(t, got, `"age-ms":1500`)
}

// Guards against injected faults with the wrong effect: a write whose answer is lost must be executed, and a write during
// an outage must not.
func TestPlatformFaults(t *testing.T) {
	url := startServer(t, NewPlatform(kernel.SystemClock{}).Serve)
	send(t, "POST", url+"/standin/faults", `{"lose-answers":1}`)
	_, _, err := trySend("POST", url+"/tables/config/transactions", `{"writes":[{"key":"current","value":"a"}]}`)
	require.Error(t, err)
	status, got := send(t, "GET", url+"/tables/config/rows/current", "")
	require.Equal(t, 200, status)
	require.Contains(t, got, `"version":1`)
	status, _ = send(t, "POST", url+"/tables/config/transactions", `{"writes":[{"key":"current","value":"b"}]}`)
	require.Equal(t, 200, status, "only one answer was to be lost")

	send(t, "POST", url+"/standin/faults", `{"down":true}`)
	status, _ = send(t, "POST", url+"/tables/config/transactions", `{"writes":[{"key":"current","value":"c"}]}`)
	require.Equal(t, 503, status)
	send(t, "POST", url+"/standin/faults", `{"down":false,"delay-ms":30}`)
	start := time.Now()
	_, got = send(t, "GET", url+"/tables/config/rows/current", "")
	require.Contains(t, got, `"value":"b"`)
	require.GreaterOrEqual(t, time.Since(start), 30*time.Millisecond)
}

// Guards against a return from a copy that keeps a lost write, or does not give its version and revision out again.
func TestPlatformRestoresACopy(t *testing.T) {
	url := startServer(t, NewPlatform(kernel.SystemClock{}).Serve)
	write := func(key, value string) string {
		_, got := send(t, "POST", url+"/tables/t/transactions", fmt.Sprintf(`{"writes":[{"key":%q,"value":%q}]}`, key, value))
		return got
	}
	write("kept", "a")
	send(t, "POST", url+"/standin/copy", "")
	lost := write("kept", "b")
	write("lost", "b")
	send(t, "POST", url+"/standin/restore", "")
	_, got := send(t, "GET", url+"/tables/t/rows/kept", "")
	require.Contains(t, got, `"value":"a","version":1,"revision":1`)
	status, _ := send(t, "GET", url+"/tables/t/rows/lost", "")
	require.Equal(t, 404, status)
	require.Equal(t, lost, write("kept", "c"))
}

func startBackend(t *testing.T, opt BackendOptions) (*BackendServer, string) {
	b := NewBackendServer(opt, kernel.SystemClock{})
	return b, startServer(t, b.Serve)
}

// eventually waits until f returns true. The timeout is generous, since only a failing test reaches it.
func eventually(t *testing.T, f func() bool, what string) {
	t.Helper()
	require.Eventually(t, f, 10*time.Second, time.Millisecond, what)
}

// Guards against more calls in parallel than slots, which would make all overload results meaningless, and against start
// counts that include calls that were cancelled or timed out before they started.
func TestBackendServerBoundsCancelsAndCountsCalls(t *testing.T) {
	b, url := startBackend(t, BackendOptions{Slots: 1, ServiceTime: time.Hour, Fixed: true})
	g := kernel.NewGroup(context.Background())
	var statuses [3]atomic.Int64
	call := func(i int, headers ...string) {
		g.Go("call", func(context.Context) error {
			status, _, err := trySend("POST", url+"/orders", fmt.Sprintf(`{"request":"r%d","order":"o%d"}`, i, i),
				headers...)
			statuses[i].Store(int64(status))
			return err
		})
	}
	call(0, headerContext, "ctx-0")
	eventually(t, func() bool { return b.StartCounts().Requests["/orders r0"] == 1 }, "the first call runs")
	call(1, headerContext, "ctx-1")
	eventually(t, func() bool { return b.waiting.Load() == 1 }, "the second call waits")
	call(2, headerContext, "ctx-2", headerDeadline, "20")
	eventually(t, func() bool { return statuses[2].Load() == 503 }, "the deadline of the third call passes")
	require.Equal(t, map[string]int{"/orders r0": 1}, b.StartCounts().Requests, "one slot runs one call")

	send(t, "POST", url+"/lovagelane/cancel", "", headerContext, "ctx-1")
	send(t, "POST", url+"/lovagelane/cancel", "", headerContext, "ctx-0")
	require.NoError(t, g.Wait())
	require.EqualValues(t, 504, statuses[0].Load(), "cancelled while running")
	require.EqualValues(t, 503, statuses[1].Load(), "cancelled while waiting")
	_, got := send(t, "GET", url+"/standin/ran", "")
	require.JSONEq(t, `{"requests":{"/orders r0":1},"orders":{"/orders o0":1},"paths":{"POST /orders":1}}`, got)
}

// Guards against a poisoned request that does not crash the backend server.
// Guards against a load pattern without its cause: beyond the knee, more running calls have to do less work, and up to it as much as
// before.
func TestBackendServerSlowsDownBeyondItsKnee(t *testing.T) {
	b := NewBackendServer(BackendOptions{Slots: 10, ServiceTime: 100 * time.Millisecond, Fixed: true}, kernel.SystemClock{})
	factor, knee := 0.5, 0.6
	b.SetFaults(BackendFaults{SlowFactor: &factor, Knee: &knee})
	for running := 1; running <= 10; running++ {
		b.slots <- struct{}{}
		d, _ := b.drawServiceTime()
		excess := max(1, float64(running)/6)
		require.InDelta(t, 50*excess*excess, float64(d.Milliseconds()), 1, "%d running", running)
	}
}

func TestBackendServerCrash(t *testing.T) {
	var status atomic.Int64
	_, url := startBackend(t, BackendOptions{Slots: 2, Crash: func(s int) { status.Store(int64(s)) }})
	send(t, "GET", url+"/maps", "")
	require.Zero(t, status.Load())
	send(t, "GET", url+"/maps", "", headerPoison, "yes")
	require.EqualValues(t, crashExitStatus, status.Load())
}

// Guards against health checks that succeed during draining or a cold start, and against load reports without lag.
func TestBackendServerHealthAndLoad(t *testing.T) {
	clock := &kernel.ManualClock{}
	b := NewBackendServer(BackendOptions{Slots: 3, ColdStart: time.Second, LoadLag: 3 * time.Second}, clock)
	url := startServer(t, b.Serve)
	health := func() int { s, _ := send(t, "GET", url+"/health", ""); return s }
	require.Equal(t, 503, health(), "cold")
	clock.Advance(time.Second)
	require.Equal(t, 200, health())
	b.addLoadSample(loadSample{at: clock.Now(), inFlight: 7})
	clock.Advance(2 * time.Second)
	b.addLoadSample(loadSample{at: clock.Now(), inFlight: 9})
	require.Zero(t, b.loadReport().InFlight, "no sample is old enough")
	clock.Advance(time.Second)
	require.Equal(t, LoadReport{InFlight: 7, Slots: 3}, b.loadReport())
	send(t, "POST", url+"/standin/faults", `{"drain":true}`)
	require.Equal(t, 503, health(), "draining")
	status, _ := send(t, "GET", url+"/maps", "")
	require.Equal(t, 503, status)
}

// Guards against a connection limit that is not enforced: a connection beyond the limit must be reset.
func TestBackendServerConnections(t *testing.T) {
	_, url := startBackend(t, BackendOptions{Slots: 2, Connections: 1})
	send(t, "GET", url+"/health", "")
	c, err := net.Dial("tcp", url[len("http://"):])
	if err == nil {
		defer c.Close()
		require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err = c.Read(make([]byte, 1))
	}
	// The reset may arrive before the dial returns.
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against planned calls without the context of the parent call, against missing or unplanned calls, and against
// retries by the client library itself.
func TestBackendServerPlannedCalls(t *testing.T) {
	got := make(chan string, 10)
	node := startServer(t, func(g *kernel.Group, ln net.Listener) {
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			got <- r.Method + " " + r.URL.Path + " " + r.Header.Get(headerContext)
			if r.URL.Path == "/payments/pay" {
				w.Header().Set("Lovagelane-Outcome", "not-run")
				w.Header().Set("Lovagelane-Reason", "shed")
				w.WriteHeader(503)
			}
		})}
		g.Go("node", func(context.Context) error { _ = srv.Serve(ln); return nil })
		g.Go("node-close", func(ctx context.Context) error { <-ctx.Done(); return srv.Close() })
	})
	_, url := startBackend(t, BackendOptions{Slots: 1, Node: node[len("http://"):], Retries: 1, Calls: []PlannedCall{
		{ParentPath: "/orders", Service: "imagery", Method: "GET", Path: "/photos"},
		{ParentPath: "/orders", Service: "payments", Method: "POST", Path: "/pay"},
	}})
	status, body := send(t, "POST", url+"/orders", `{"request":"r1","order":"o1"}`, headerContext, "ctx-1")
	require.Equal(t, 502, status)
	require.JSONEq(t, `{"service":"payments","status":503,"outcome":"not-run","reason":"shed"}`, body)
	close(got)
	var all []string
	for s := range got {
		all = append(all, s)
	}
	require.Equal(t, []string{"GET /imagery/photos ctx-1", "POST /payments/pay ctx-1", "POST /payments/pay ctx-1"}, all)
}

// Guards against a caller that classifies answers incorrectly, sends no ticket when one is required, fails when one
// address is unreachable, or accepts the answer to another request.
func TestCallerClassifiesAnswers(t *testing.T) {
	node := startServer(t, func(g *kernel.Group, ln net.Listener) {
		srv := &http.Server{Handler: http.HandlerFunc(serveFakeNode)}
		g.Go("node", func(context.Context) error { _ = srv.Serve(ln); return nil })
		g.Go("node-close", func(ctx context.Context) error { <-ctx.Done(); return srv.Close() })
	})
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, dead.Close())
	var kinds []Kind
	for _, name := range []string{"ok", "shed", "drain", "inner", "unknown", "slow", "mixed-up"} {
		kinds = append(kinds, Kind{Name: name, Method: "GET", Path: "/s/" + name, Weight: 1, Timeout: 5 * time.Second})
	}
	kinds[5].Timeout = 50 * time.Millisecond
	kinds = append(kinds, Kind{Name: "orders", Method: "POST", Path: "/s/orders", Weight: 1, NonIdempotent: true,
		Timeout: 5 * time.Second})
	c := &Caller{Addresses: []string{dead.Addr().String(), node[len("http://"):]}, Kinds: kinds, Name: "test",
		Profile: Constant(400), Duration: 500 * time.Millisecond, Seed: 1}
	results, err := c.Run(context.Background())
	require.NoError(t, err)
	sent := 0
	for _, k := range results.Kinds() {
		require.Positive(t, k.Sent, k.Kind)
		sent += k.Sent
		count := map[string]int{"ok": k.Answered, "orders": k.Answered, "shed": k.Shed, "drain": k.Refused,
			"inner": k.Failed, "unknown": k.Unknown, "slow": k.TimedOut, "mixed-up": k.Failed}[k.Kind]
		require.Equal(t, k.Sent, count, "%s: %+v", k.Kind, k)
	}
	require.Contains(t, results.Kind("inner").Reasons, "inner-payments-shed")
	require.Contains(t, results.Kind("mixed-up").Reasons, "answer-of-another-request")
	require.Len(t, results.NotRun(), results.Kind("shed").Sent+results.Kind("drain").Sent)
	require.InDelta(t, 200, sent, 70)
}

func serveFakeNode(w http.ResponseWriter, r *http.Request) {
	refuse := func(status int, outcome, reason string) {
		w.Header().Set("Lovagelane-Outcome", outcome)
		w.Header().Set("Lovagelane-Reason", reason)
		w.WriteHeader(status)
	}
	id := r.URL.Query().Get("request")
	switch r.URL.Path {
	case "/s/shed":
		refuse(503, "not-run", "shed")
	case "/s/drain":
		refuse(503, "not-run", "draining")
	case "/s/unknown":
		refuse(503, "unknown", "owner-gone")
	case "/s/inner":
		w.WriteHeader(502)
		_ = json.NewEncoder(w).Encode(FailedCall{Service: "payments", Status: 503, Reason: "shed"})
	case "/s/slow":
		time.Sleep(200 * time.Millisecond)
	case "/s/mixed-up":
		_ = json.NewEncoder(w).Encode(Identity{Request: id + "x"})
	case "/s/orders":
		if r.Header.Get("Lovagelane-Ticket") != "ticket "+id {
			w.Header().Set("Lovagelane-Ticket", "ticket "+id)
			refuse(428, "not-run", "ticket-required")
			return
		}
		_ = json.NewEncoder(w).Encode(Identity{Request: id})
	default:
		_ = json.NewEncoder(w).Encode(Identity{Request: id})
	}
}

// Guards against a profile parser that accepts malformed steps, and against wrong rates at a step or within the period of
// a square wave: a load would then differ from the profile given on the command line.
func TestParseProfile(t *testing.T) {
	p, err := ParseProfile("0s=100,10s=500/50:4s")
	require.NoError(t, err)
	for at, want := range map[time.Duration]float64{0: 100, 9 * time.Second: 100, 10 * time.Second: 500,
		11900 * time.Millisecond: 500, 12 * time.Second: 50, 14 * time.Second: 500} {
		require.Equal(t, want, p.Rate(at), at)
	}
	for _, bad := range []string{"", "10", "x=1", "0s=a", "0s=1/2", "0s=1/2:0s", "1s=1,1s=2"} {
		_, err := ParseProfile(bad)
		require.Error(t, err, bad)
	}
}
