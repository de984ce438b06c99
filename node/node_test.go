package node_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"lovagelane/kernel"
	"lovagelane/membership"
)

// Guards against a call chain that loses the answer, the body or the context on the way through three services.
func TestCallsRunThroughThreeServices(t *testing.T) {
	w := newWorld(t, chainInventory, chainRules)
	nursery := w.station("nursery", through("nursery", "POST", "/imagery/tiles?z=3"))
	w.station("imagery", through("imagery", "POST", "/payments/quote"))
	w.station("payments", func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
		ctx.SetBodyString("paid " + string(ctx.PostBody()))
	})
	r := w.send(nursery.Addresses().Callers, "PUT", "/nursery/list", "beach grass")
	require.Equal(t, fasthttp.StatusOK, r.StatusCode())
	require.Equal(t, "nursery(imagery(paid beach grass))", string(r.Body()))
	require.Equal(t, "ran", outcome(r))
}

// Guards against a refusal without reason, outcome, line or remedy.
func TestRefusalsExplainThemselves(t *testing.T) {
	w := newWorld(t, chainInventory, chainRules)
	nursery := w.station("nursery", text("ok"))
	for name, tc := range map[string]struct {
		method, path, body, reason, remedy string
		status                             int
	}{
		"unknown service":   {"GET", "/nowhere/x", "", "unknown-service", "use a service of the inventory", 404},
		"no ticket":         {"POST", "/nursery/orders", "1", "ticket-required", "send the same request again", 428},
		"no backend server": {"GET", "/payments/x", "", "no-backend-server", "send it again later", 503},
		"body too large":    {"PUT", "/nursery/x", strings.Repeat("x", 2<<20), "body-too-large", "raise max-body", 413},
	} {
		t.Run(name, func(t *testing.T) {
			r := w.send(nursery.Addresses().Callers, tc.method, tc.path, tc.body)
			require.Equal(t, tc.status, r.StatusCode())
			require.Equal(t, "not-run", outcome(r))
			require.Equal(t, tc.reason, reason(r))
			require.Contains(t, string(r.Body()), tc.remedy)
		})
	}
	require.Zero(t, nursery.ran.Load())
}

// Guards against an order that runs twice when its caller sends it again to another node.
func TestTicketRunsOnceAcrossNodes(t *testing.T) {
	w := newWorld(t, chainInventory, chainRules)
	release := make(chan struct{})
	slow := func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
		<-release
		ctx.SetBodyString("ordered " + string(ctx.PostBody()))
	}
	a, b := w.station("nursery", slow), w.station("nursery", slow)
	first := w.send(a.Addresses().Callers, "POST", "/nursery/orders", "5 trays")
	require.Equal(t, fasthttp.StatusPreconditionRequired, first.StatusCode())
	token := string(first.Header.Peek("Lovagelane-Ticket"))
	require.NotEmpty(t, token)

	var g errgroup.Group
	answers := make([]*fasthttp.Response, 3)
	for i, s := range []*station{a, b, b} {
		g.Go(func() (err error) {
			answers[i], err = trySend(s.Addresses().Callers, "POST", "/nursery/orders", "5 trays", "Lovagelane-Ticket", token)
			return err
		})
	}
	w.eventually("one runs", func() bool { return a.ran.Load()+b.ran.Load() == 1 })
	close(release)
	require.NoError(t, g.Wait())
	for _, r := range answers {
		require.Equal(t, "ordered 5 trays", string(r.Body()))
		require.Equal(t, "ran", outcome(r))
	}
	require.EqualValues(t, 1, a.ran.Load()+b.ran.Load())

	other := w.send(b.Addresses().Callers, "POST", "/nursery/orders", "6 trays", "Lovagelane-Ticket", token)
	require.Equal(t, "ticket-invalid", reason(other))
	require.Equal(t, "not-run", outcome(other))
}

// Guards against a second run, or a false "not run", after the node that owned the ticket is gone.
func TestTicketOfGoneOwnerIsUnknown(t *testing.T) {
	w := newWorld(t, chainInventory, chainRules)
	a, b := w.station("nursery", text("ordered")), w.station("nursery", text("ordered"))
	first := w.send(a.Addresses().Callers, "POST", "/nursery/orders", "5 trays")
	token := string(first.Header.Peek("Lovagelane-Ticket"))
	w.send(a.Addresses().Callers, "POST", "/nursery/orders", "5 trays", "Lovagelane-Ticket", token)
	a.stop()
	r := w.send(b.Addresses().Callers, "POST", "/nursery/orders", "5 trays", "Lovagelane-Ticket", token)
	require.Equal(t, "owner-gone", reason(r))
	require.Equal(t, "unknown", outcome(r))
	require.EqualValues(t, 1, a.ran.Load()+b.ran.Load())
}

// Guards against a planned stop that cuts off a call in flight, or that goes on taking calls.
func TestDrainCutsOffNothing(t *testing.T) {
	w := newWorld(t, chainInventory, chainRules)
	release := make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	defer finish()
	a := w.station("nursery", func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
		<-release
		ctx.SetBodyString("done")
	})
	entry := w.station("payments", text("paid"))
	var g errgroup.Group
	var answer *fasthttp.Response
	g.Go(func() (err error) {
		answer, err = trySend(entry.Addresses().Callers, "GET", "/nursery/map", "")
		return err
	})
	w.eventually("runs", func() bool { return a.ran.Load() == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var drained atomic.Bool
	g.Go(func() error {
		err := a.Drain(ctx)
		drained.Store(true)
		return err
	})
	w.eventually("no new work", func() bool {
		r := w.send(entry.Addresses().Callers, "GET", "/nursery/map?new", "")
		return reason(r) == "no-backend-server" && outcome(r) == "not-run"
	})
	require.EqualValues(t, 1, a.ran.Load())
	w.eventually("the grace period is over", func() bool {
		return reason(w.send(a.Addresses().Callers, "GET", "/nursery/map", "")) == "draining"
	})
	for range 10 {
		w.send(a.Addresses().Callers, "GET", "/nursery/map", "")
	}
	require.False(t, drained.Load(), "the drain ended while a call was in flight")
	finish()
	require.NoError(t, g.Wait())
	require.Equal(t, "done", string(answer.Body()))
}

// Guards against an outside caller that forges what only nodes may send, or lengthens its deadline.
func TestOutsideClaimsAreNotTrusted(t *testing.T) {
	w := newWorld(t, chainInventory, chainRules)
	var seen atomic.Value
	a := w.station("nursery", func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
		seen.Store(fmt.Sprintf("%s %s", ctx.Request.Header.Peek("Lovagelane-Context"), ctx.Request.Header.Peek("Lovagelane-Deadline-Ms")))
	})
	r := w.send(a.Addresses().Callers, "GET", "/nursery/map", "", "Lovagelane-Context", "forged", "Lovagelane-Call", "forged",
		"Lovagelane-Deadline-Ms", "999999")
	require.Equal(t, fasthttp.StatusOK, r.StatusCode())
	var context string
	var deadline int
	_, err := fmt.Sscan(seen.Load().(string), &context, &deadline)
	require.NoError(t, err)
	require.NotEqual(t, "forged", context)
	require.LessOrEqual(t, deadline, 5000)
}

// Guards against work that goes on along the chain after the caller gave up.
func TestDisconnectCancelsTheChain(t *testing.T) {
	w := newWorld(t, chainInventory, chainRules)
	release := make(chan struct{})
	defer close(release)
	a := w.station("nursery", through("nursery", "GET", "/imagery/tiles"))
	b := w.station("imagery", func(*fasthttp.RequestCtx, func(string, string, string) *fasthttp.Response) { <-release })
	conn, err := net.Dial("tcp", a.Addresses().Callers)
	require.NoError(t, err)
	_, err = fmt.Fprint(conn, "GET /nursery/map HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	w.eventually("runs", func() bool { return b.ran.Load() == 1 })
	require.NoError(t, conn.Close())
	w.eventually("cancelled", func() bool { return a.cancels.Load() == 1 && b.cancels.Load() == 1 })
}

// Guards against retries that multiply over a chain 15 deep whose last service fails every call.
func TestRetriesStayWithinTheBoundOverADeepChain(t *testing.T) {
	const depth = 15
	w := newWorld(t, deepChain(depth), "[class pages]\nrank = 6\ndefault = yes\n")
	var calls atomic.Int64
	entry := w.station("a1", text(""))
	stations := []*station{entry}
	for i := 1; i <= depth; i++ {
		h := func(ctx *fasthttp.RequestCtx, call func(string, string, string) *fasthttp.Response) {
			r := call("GET", fmt.Sprintf("/a%d/x", i+1), "")
			ctx.SetStatusCode(r.StatusCode())
		}
		if i == depth {
			h = func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
				calls.Add(1)
				_ = ctx.Conn().Close() // The answer is lost, so each call may be tried again.
			}
		}
		if i == 1 {
			entry.stop()
		}
		for range 2 {
			stations = append(stations, w.station(fmt.Sprintf("a%d", i), h))
		}
	}
	w.send(stations[1].Addresses().Callers, "GET", "/a1/x", "")
	require.GreaterOrEqual(t, calls.Load(), int64(2), "nothing was tried again")
	total := int64(0)
	for _, s := range stations {
		total += s.ran.Load()
	}
	require.LessOrEqual(t, total, int64(depth+3*depth), "every retry may run the rest of the chain once more")
	require.LessOrEqual(t, calls.Load(), int64(4), "one call and three retries")
}

// Guards against a request that goes on crashing backend servers, by its own retries or by its caller's resends.
func TestCrashingRequestIsStopped(t *testing.T) {
	w := newWorld(t, chainInventory, chainRules)
	var crashes atomic.Int64
	var stations []*station
	crash := func(i int) handler {
		return func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
			if string(ctx.Path()) == "/poison" {
				crashes.Add(1)
				stations[i].crash(ctx)
			}
		}
	}
	for i := range 4 {
		stations = append(stations, w.station("nursery", crash(i)))
	}
	entry := w.station("payments", text(""))
	last := ""
	for range 6 {
		r := w.send(entry.Addresses().Callers, "GET", "/nursery/poison", "")
		last = reason(r)
	}
	require.Equal(t, "quarantined", last)
	require.LessOrEqual(t, crashes.Load(), int64(2))
	r := w.send(entry.Addresses().Callers, "GET", "/nursery/map", "")
	require.Equal(t, fasthttp.StatusOK, r.StatusCode())
}

// Guards against a crash that counts for nothing because the backend server is back before its node looks.
func TestCrashWithAQuickRestartCounts(t *testing.T) {
	w := newWorld(t, chainInventory, chainRules)
	var runs atomic.Int64
	for range 4 {
		w.station("nursery", func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
			if string(ctx.Path()) == "/poison" {
				runs.Add(1)
				_ = ctx.Conn().Close()
			}
		})
	}
	entry := w.station("payments", text(""))
	last := ""
	for range 6 {
		last = reason(w.send(entry.Addresses().Callers, "GET", "/nursery/poison", ""))
	}
	require.Equal(t, "quarantined", last)
	require.LessOrEqual(t, runs.Load(), int64(2))
}

// Guards against a crash that is put down to no request, because the health check meets it before the calls in flight do.
func TestHealthCheckThatMeetsACrashFirstReportsIt(t *testing.T) {
	w := newWorld(t, chainInventory, chainRules)
	release := make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	defer finish()
	running := make(chan struct{})
	s := w.station("nursery", func(*fasthttp.RequestCtx, func(string, string, string) *fasthttp.Response) {
		close(running)
		<-release
	})
	group := kernel.NewGroup(t.Context())
	group.Go("caller", func(context.Context) error {
		_, err := trySend(s.Addresses().Callers, "GET", "/nursery/map", "")
		return err
	})
	<-running
	// New connections are refused while the connection of the call stays open.
	group.Go("shutdown", func(context.Context) error { return s.server.Shutdown() })
	w.eventually("crash reported", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return strings.Contains(w.log.String(), "event=backend-server-crashed in-flight=1")
	})
	finish()
	require.NoError(t, group.Wait())
}

// Guards against a request that ran on one backend server and is reported as "not run", because a retry of it was refused.
func TestRetryDoesNotHideThatARequestMayHaveRun(t *testing.T) {
	w := newWorld(t, chainInventory, chainRules)
	seen := 0
	w.via = func(m membership.Member) membership.Member {
		if m.Service == "payments" {
			if seen++; seen > 1 {
				m.Calls = "127.0.0.1:1" // Nothing listens there, so attempts are "not run".
			}
		}
		return m
	}
	a := w.station("payments", func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
		_ = ctx.Conn().Close()
	})
	w.station("payments", text(""))
	w.station("payments", text(""))
	entry := w.station("nursery", text(""))
	for i := range 8 {
		r := w.send(entry.Addresses().Callers, "GET", fmt.Sprintf("/payments/quote?%d", i), "")
		require.Equal(t, "unknown", outcome(r), reason(r))
	}
	require.GreaterOrEqual(t, a.ran.Load(), int64(8))
}

// Guards against a node that hardly ever chooses its own backend server, because it took it for one without slots.
func TestOwnBackendServerTakesItsShare(t *testing.T) {
	w := newWorld(t, chainInventory, chainRules)
	w.via = func(m membership.Member) membership.Member {
		m.Slots = 20
		return m
	}
	slow := func(*fasthttp.RequestCtx, func(string, string, string) *fasthttp.Response) {
		time.Sleep(5 * time.Millisecond)
	}
	own, other := w.station("nursery", slow), w.station("nursery", slow)
	var g errgroup.Group
	for range 8 {
		g.Go(func() error {
			for range 40 {
				if _, err := trySend(own.Addresses().Callers, "GET", "/nursery/map", ""); err != nil {
					return err
				}
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	require.GreaterOrEqual(t, own.ran.Load()+other.ran.Load(), int64(320), "hedges may add some")
	require.Greater(t, own.ran.Load(), int64(80), "of 320, with an equal one beside it")
}
