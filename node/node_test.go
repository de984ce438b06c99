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

// Guards against a chain of three services that loses the answer, the body or the context on the way.
func TestCallsRunThroughThreeServices(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	nursery := d.startInstance("nursery", callThrough("nursery", "POST", "/imagery/tiles?z=3"))
	d.startInstance("imagery", callThrough("imagery", "POST", "/payments/quote"))
	d.startInstance("payments", func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
		ctx.SetBodyString("paid " + string(ctx.PostBody()))
	})
	r := d.send(nursery.Addresses().Callers, "PUT", "/nursery/list", "beach grass")
	require.Equal(t, fasthttp.StatusOK, r.StatusCode())
	require.Equal(t, "nursery(imagery(paid beach grass))", string(r.Body()))
	require.Equal(t, "ran", outcome(r))
}

// Guards against a refusal without reason, outcome or remedy.
func TestRefusalsCarryReasonOutcomeAndRemedy(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	nursery := d.startInstance("nursery", text("ok"))
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
			r := d.send(nursery.Addresses().Callers, tc.method, tc.path, tc.body)
			require.Equal(t, tc.status, r.StatusCode())
			require.Equal(t, "not-run", outcome(r))
			require.Equal(t, tc.reason, reason(r))
			require.Contains(t, string(r.Body()), tc.remedy)
		})
	}
	require.Zero(t, nursery.ran.Load())
}

// Guards against an order that runs twice when its caller resends it to another node.
func TestTicketRunsOnceAcrossNodes(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	release := make(chan struct{})
	slow := func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
		<-release
		ctx.SetBodyString("ordered " + string(ctx.PostBody()))
	}
	a, b := d.startInstance("nursery", slow), d.startInstance("nursery", slow)
	first := d.send(a.Addresses().Callers, "POST", "/nursery/orders", "5 trays")
	require.Equal(t, fasthttp.StatusPreconditionRequired, first.StatusCode())
	token := string(first.Header.Peek("Lovagelane-Ticket"))
	require.NotEmpty(t, token)

	var g errgroup.Group
	answers := make([]*fasthttp.Response, 3)
	for i, s := range []*instance{a, b, b} {
		g.Go(func() (err error) {
			answers[i], err = trySend(s.Addresses().Callers, "POST", "/nursery/orders", "5 trays", "Lovagelane-Ticket", token)
			return err
		})
	}
	d.eventually("one runs", func() bool { return a.ran.Load()+b.ran.Load() == 1 })
	close(release)
	require.NoError(t, g.Wait())
	for _, r := range answers {
		require.Equal(t, "ordered 5 trays", string(r.Body()))
		require.Equal(t, "ran", outcome(r))
	}
	require.EqualValues(t, 1, a.ran.Load()+b.ran.Load())

	other := d.send(b.Addresses().Callers, "POST", "/nursery/orders", "6 trays", "Lovagelane-Ticket", token)
	require.Equal(t, "ticket-invalid", reason(other))
	require.Equal(t, "not-run", outcome(other))
}

// Guards against a second run, or a false "not run", after the node that issued the ticket has stopped.
func TestTicketOfStoppedOwnerIsUnknown(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	a, b := d.startInstance("nursery", text("ordered")), d.startInstance("nursery", text("ordered"))
	first := d.send(a.Addresses().Callers, "POST", "/nursery/orders", "5 trays")
	token := string(first.Header.Peek("Lovagelane-Ticket"))
	d.send(a.Addresses().Callers, "POST", "/nursery/orders", "5 trays", "Lovagelane-Ticket", token)
	a.stop()
	r := d.send(b.Addresses().Callers, "POST", "/nursery/orders", "5 trays", "Lovagelane-Ticket", token)
	require.Equal(t, "owner-gone", reason(r))
	require.Equal(t, "unknown", outcome(r))
	require.EqualValues(t, 1, a.ran.Load()+b.ran.Load())
}

// Guards against a drain that cuts off a call in flight, or during which new calls are still accepted.
func TestDrainWaitsForCallsInFlight(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	release := make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	defer finish()
	a := d.startInstance("nursery", func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
		<-release
		ctx.SetBodyString("done")
	})
	entry := d.startInstance("payments", text("paid"))
	var g errgroup.Group
	var answer *fasthttp.Response
	g.Go(func() (err error) {
		answer, err = trySend(entry.Addresses().Callers, "GET", "/nursery/map", "")
		return err
	})
	d.eventually("runs", func() bool { return a.ran.Load() == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var drained atomic.Bool
	g.Go(func() error {
		err := a.Drain(ctx)
		drained.Store(true)
		return err
	})
	d.eventually("no new work", func() bool {
		r := d.send(entry.Addresses().Callers, "GET", "/nursery/map?new", "")
		return reason(r) == "no-backend-server" && outcome(r) == "not-run"
	})
	require.EqualValues(t, 1, a.ran.Load())
	d.eventually("the grace period is over", func() bool {
		return reason(d.send(a.Addresses().Callers, "GET", "/nursery/map", "")) == "draining"
	})
	for range 10 {
		d.send(a.Addresses().Callers, "GET", "/nursery/map", "")
	}
	require.False(t, drained.Load(), "the drain ended while a call was in flight")
	finish()
	require.NoError(t, g.Wait())
	require.Equal(t, "done", string(answer.Body()))
}

// Guards against a caller that forges headers reserved for nodes, or extends its deadline.
func TestInternalHeadersFromCallersAreNotTrusted(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	var seen atomic.Value
	a := d.startInstance("nursery", func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
		seen.Store(fmt.Sprintf("%s %s", ctx.Request.Header.Peek("Lovagelane-Context"), ctx.Request.Header.Peek("Lovagelane-Deadline-Ms")))
	})
	r := d.send(a.Addresses().Callers, "GET", "/nursery/map", "", "Lovagelane-Context", "forged", "Lovagelane-Call", "forged",
		"Lovagelane-Deadline-Ms", "999999")
	require.Equal(t, fasthttp.StatusOK, r.StatusCode())
	var context string
	var deadline int
	_, err := fmt.Sscan(seen.Load().(string), &context, &deadline)
	require.NoError(t, err)
	require.NotEqual(t, "forged", context)
	require.LessOrEqual(t, deadline, 5000)
}

// Guards against work that continues along the call chain after the caller gave up.
func TestDisconnectCancelsTheChain(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	release := make(chan struct{})
	defer close(release)
	a := d.startInstance("nursery", callThrough("nursery", "GET", "/imagery/tiles"))
	b := d.startInstance("imagery", func(*fasthttp.RequestCtx, func(string, string, string) *fasthttp.Response) { <-release })
	conn, err := net.Dial("tcp", a.Addresses().Callers)
	require.NoError(t, err)
	_, err = fmt.Fprint(conn, "GET /nursery/map HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	d.eventually("runs", func() bool { return b.ran.Load() == 1 })
	require.NoError(t, conn.Close())
	d.eventually("cancelled", func() bool { return a.cancels.Load() == 1 && b.cancels.Load() == 1 })
}

// Guards against retries that multiply over a chain 15 deep whose last service fails every call.
func TestRetriesStayWithinTheBoundOverADeepChain(t *testing.T) {
	const depth = 15
	d := newDeployment(t, deepChain(depth), "[class pages]\nrank = 6\ndefault = yes\n")
	var calls atomic.Int64
	entry := d.startInstance("a1", text(""))
	instances := []*instance{entry}
	for i := 1; i <= depth; i++ {
		h := func(ctx *fasthttp.RequestCtx, call func(string, string, string) *fasthttp.Response) {
			r := call("GET", fmt.Sprintf("/a%d/x", i+1), "")
			ctx.SetStatusCode(r.StatusCode())
		}
		if i == depth {
			h = func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
				calls.Add(1)
				_ = ctx.Conn().Close() // The answer is lost, so each call may be retried.
			}
		}
		if i == 1 {
			entry.stop()
		}
		for range 2 {
			instances = append(instances, d.startInstance(fmt.Sprintf("a%d", i), h))
		}
	}
	d.send(instances[1].Addresses().Callers, "GET", "/a1/x", "")
	require.GreaterOrEqual(t, calls.Load(), int64(2), "nothing was tried again")
	total := int64(0)
	for _, s := range instances {
		total += s.ran.Load()
	}
	require.LessOrEqual(t, total, int64(depth+3*depth), "every retry may run the rest of the chain once more")
	require.LessOrEqual(t, calls.Load(), int64(4), "one call and three retries")
}

// Guards against a request that keeps crashing backend servers, by retries or by its caller's resends.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	var crashes atomic.Int64
	var instances []*instance
	crash := func(i int) handler {
		return func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
			if string(ctx.Path()) == "/poison" {
				crashes.Add(1)
				instances[i].crash(ctx)
			}
		}
	}
	for i := range 4 {
		instances = append(instances, d.startInstance("nursery", crash(i)))
	}
	entry := d.startInstance("payments", text(""))
	last := ""
	for range 6 {
		r := d.send(entry.Addresses().Callers, "GET", "/nursery/poison", "")
		last = reason(r)
	}
	require.Equal(t, "quarantined", last)
	require.LessOrEqual(t, crashes.Load(), int64(2))
	r := d.send(entry.Addresses().Callers, "GET", "/nursery/map", "")
	require.Equal(t, fasthttp.StatusOK, r.StatusCode())
}

// Guards against a crash that is not recorded because the backend server has restarted before its node checks it.
func TestCrashWithQuickRestartIsRecorded(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	var runs atomic.Int64
	for range 4 {
		d.startInstance("nursery", func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
			if string(ctx.Path()) == "/poison" {
				runs.Add(1)
				_ = ctx.Conn().Close()
			}
		})
	}
	entry := d.startInstance("payments", text(""))
	last := ""
	for range 6 {
		last = reason(d.send(entry.Addresses().Callers, "GET", "/nursery/poison", ""))
	}
	require.Equal(t, "quarantined", last)
	require.LessOrEqual(t, runs.Load(), int64(2))
}

// Guards against a crash that is attributed to no request because the health check detects it before the calls in flight
// fail.
func TestHealthCheckReportsCrashWithCallsInFlight(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	release := make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	defer finish()
	running := make(chan struct{})
	s := d.startInstance("nursery", func(*fasthttp.RequestCtx, func(string, string, string) *fasthttp.Response) {
		close(running)
		<-release
	})
	group := kernel.NewGroup(t.Context())
	group.Go("caller", func(context.Context) error {
		_, err := trySend(s.Addresses().Callers, "GET", "/nursery/map", "")
		return err
	})
	<-running
	// The server refuses new connections while the connection of the call stays open.
	group.Go("shutdown", func(context.Context) error { return s.server.Shutdown() })
	d.eventually("crash reported", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return strings.Contains(d.log.String(), "event=backend-server-crashed in-flight=1")
	})
	finish()
	require.NoError(t, group.Wait())
}

// Guards against the outcome "not run" for a request that may have run on one backend server, when a retry of it was
// refused.
func TestRefusedRetryKeepsUnknownOutcome(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	seen := 0
	d.announceAs = func(m membership.Member) membership.Member {
		if m.Service == "payments" {
			if seen++; seen > 1 {
				m.Calls = "127.0.0.1:1" // Nothing listens on this port, so attempts are "not run".
			}
		}
		return m
	}
	a := d.startInstance("payments", func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
		_ = ctx.Conn().Close()
	})
	d.startInstance("payments", text(""))
	d.startInstance("payments", text(""))
	entry := d.startInstance("nursery", text(""))
	for i := range 8 {
		r := d.send(entry.Addresses().Callers, "GET", fmt.Sprintf("/payments/quote?%d", i), "")
		require.Equal(t, "unknown", outcome(r), reason(r))
	}
	require.GreaterOrEqual(t, a.ran.Load(), int64(8))
}

// Guards against a node that rarely chooses its own backend server because it treats it as one without slots.
func TestOwnBackendServerGetsItsShare(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	d.announceAs = func(m membership.Member) membership.Member {
		m.Slots = 20
		return m
	}
	slow := func(*fasthttp.RequestCtx, func(string, string, string) *fasthttp.Response) {
		time.Sleep(5 * time.Millisecond)
	}
	own, other := d.startInstance("nursery", slow), d.startInstance("nursery", slow)
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
