package node_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"lovagelane/control"
	"lovagelane/event"
	"lovagelane/inventory"
	"lovagelane/kernel"
	"lovagelane/keys"
	"lovagelane/membership"
	"lovagelane/node"
	"lovagelane/quarantine"
	"lovagelane/settings"
)

// waitTimeout bounds every wait for an event. It is long, so that a busy machine does not make a test fail.
const waitTimeout = 20 * time.Second

const chainInventory = `[region rn]
store = yes
[availability-zone rn-1]
region = rn
[service nursery]
slots = 20
connections = 100
timeout = 5s
calls = imagery
[service imagery]
slots = 20
connections = 100
timeout = 5s
calls = payments
[service payments]
slots = 20
connections = 100
timeout = 5s
[backend-servers nursery rn-1]
count = 2
[backend-servers imagery rn-1]
count = 2
[backend-servers payments rn-1]
count = 2
`

const chainRules = `[class orders]
rank = 1
[class pages]
rank = 6
default = yes
[request order-seedlings]
service = nursery
method = POST
path = /orders
class = orders
non-idempotent = yes
[request pay]
service = payments
method = POST
path = /pay
class = orders
non-idempotent = yes
`

// fakeDirectory replaces control. It publishes every member to every other node at once.
type fakeDirectory struct {
	mu      sync.Mutex
	members map[string]membership.Member
	nodes   map[string]control.Options
	config  *inventory.Config
	// announceAs, if set, changes the addresses under which a member is announced.
	announceAs func(membership.Member) membership.Member
}

// fakeControl is the control of one node, backed by the fakeDirectory.
type fakeControl struct {
	d  *fakeDirectory
	id string
}

func (d *fakeDirectory) start(_ context.Context, o control.Options) (node.Control, error) {
	d.mu.Lock()
	if d.nodes == nil {
		d.nodes, d.members = map[string]control.Options{}, map[string]membership.Member{}
	}
	d.nodes[o.Self.ID] = o
	d.members[o.Self.ID] = o.Self
	if d.announceAs != nil {
		d.members[o.Self.ID] = d.announceAs(o.Self)
	}
	d.mu.Unlock()
	o.OnConfig(d.config)
	d.publish()
	return fakeControl{d, o.Self.ID}, nil
}

func (d *fakeDirectory) publish() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, o := range d.nodes {
		others := []membership.Member{}
		for other, m := range d.members {
			if other != id {
				others = append(others, m)
			}
		}
		o.OnMembers(others)
	}
}

func (c fakeControl) Address() string              { return "" }
func (c fakeControl) Members() []membership.Member { return nil }
func (c fakeControl) PollStore()                   {}

func (c fakeControl) SetState(s membership.State) {
	c.d.mu.Lock()
	m := c.d.members[c.id]
	m.State = s
	c.d.members[c.id] = m
	c.d.mu.Unlock()
	c.d.publish()
}

func (c fakeControl) FloodCrashes(reports []quarantine.Report) {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	for id, o := range c.d.nodes {
		for _, r := range reports {
			if id != c.id {
				o.OnCrash(r)
			}
		}
	}
}

func (c fakeControl) Stop() error {
	c.d.mu.Lock()
	delete(c.d.nodes, c.id)
	delete(c.d.members, c.id)
	c.d.mu.Unlock()
	c.d.publish()
	return nil
}

// deployment is a deployment in one process, with real nodes and backend servers on loopback.
type deployment struct {
	t   testing.TB
	dir string
	fakeDirectory
	log bytes.Buffer
	mu  sync.Mutex
}

func newDeployment(t testing.TB, inv, rules string) *deployment {
	cfg, problems := inventory.Parse([]inventory.File{{Name: "inventory.ini", Text: inv}, {Name: "rules.ini", Text: rules}})
	require.Empty(t, problems)
	d := &deployment{t: t, dir: t.TempDir()}
	d.config = cfg.WithVersion(1)
	require.NoError(t, keys.Issue(d.dir))
	t.Cleanup(func() {
		if t.Failed() {
			d.mu.Lock()
			defer d.mu.Unlock()
			t.Log(d.log.String())
		}
	})
	return d
}

// Write appends to the combined log of all nodes.
func (d *deployment) Write(b []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.Write(b)
}

// handler answers a call as a backend server. The function call makes an inner call through the own node.
type handler func(ctx *fasthttp.RequestCtx, call func(method, path string, body string) *fasthttp.Response)

// instance is a backend server with its node.
type instance struct {
	*node.Node
	d       *deployment
	server  *fasthttp.Server
	ln      net.Listener
	address string
	backend atomic.Value
	ran     atomic.Int64
	cancels atomic.Int64
	stopped atomic.Bool
}

func (d *deployment) startInstance(service string, h handler) *instance {
	i := &instance{d: d}
	i.serve("127.0.0.1:0", h)
	n, err := node.Start(context.Background(), node.Options{
		Settings: settings.Node{
			Service: service, AvailabilityZone: "rn-1", BackendServer: i.address, CallersListen: "127.0.0.1:0",
			BackendListen: "127.0.0.1:0", CallsListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
			Certificate: filepath.Join(d.dir, "node.pem"), Key: filepath.Join(d.dir, "node-key.pem"),
			Authority: filepath.Join(d.dir, "authority.pem"), TicketKey: filepath.Join(d.dir, "ticket-key"),
		},
		Log: event.New(d, kernel.SystemClock{}), StartControl: d.start,
	})
	require.NoError(d.t, err)
	i.Node = n
	i.backend.Store(n.Addresses().Backend)
	d.t.Cleanup(i.stop)
	d.eventually("serving", func() bool { return n.Status().BackendServerUp })
	return i
}

// serve starts the backend server on an address.
func (i *instance) serve(address string, h handler) {
	ln, err := net.Listen("tcp", address)
	require.NoError(i.d.t, err)
	i.ln, i.address = ln, ln.Addr().String()
	i.server = &fasthttp.Server{CloseOnShutdown: true, Handler: func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/health":
			return
		case "/lovagelane/cancel":
			i.cancels.Add(1)
			return
		}
		i.ran.Add(1)
		h(ctx, func(method, path, body string) *fasthttp.Response { return i.inner(ctx, method, path, body) })
	}}
	group := kernel.NewGroup(context.Background())
	group.Go("backend-server", func(context.Context) error { return i.server.Serve(ln) })
}

func (i *instance) inner(ctx *fasthttp.RequestCtx, method, path, body string) *fasthttp.Response {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := &fasthttp.Response{}
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + i.backend.Load().(string) + path)
	req.Header.SetBytesV("Lovagelane-Context", ctx.Request.Header.Peek("Lovagelane-Context"))
	req.SetBodyString(body)
	if err := fasthttp.DoTimeout(req, resp, waitTimeout); err != nil {
		resp.SetStatusCode(fasthttp.StatusBadGateway)
	}
	return resp
}

// crash simulates the end of the backend server's process: new connections are refused and the open one breaks.
func (i *instance) crash(ctx *fasthttp.RequestCtx) {
	_ = i.ln.Close()
	_ = ctx.Conn().Close()
}

// stop stops the instance without a drain.
func (i *instance) stop() {
	if i.stopped.CompareAndSwap(false, true) {
		_ = i.Stop()
		_ = i.server.Shutdown()
	}
}

// eventually waits for a condition, for at most waitTimeout.
func (d *deployment) eventually(what string, condition func() bool) {
	d.t.Helper()
	require.Eventually(d.t, condition, waitTimeout, 5*time.Millisecond, what)
}

// send sends a request as an external caller.
func (d *deployment) send(address, method, path, body string, headers ...string) *fasthttp.Response {
	d.t.Helper()
	resp, err := trySend(address, method, path, body, headers...)
	require.NoError(d.t, err)
	return resp
}

func trySend(address, method, path, body string, headers ...string) (*fasthttp.Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := &fasthttp.Response{}
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.SetBodyString(body)
	return resp, fasthttp.DoTimeout(req, resp, waitTimeout)
}

func outcome(r *fasthttp.Response) string { return string(r.Header.Peek("Lovagelane-Outcome")) }
func reason(r *fasthttp.Response) string  { return string(r.Header.Peek("Lovagelane-Reason")) }

// text returns a handler that answers with a fixed text.
func text(s string) handler {
	return func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
		ctx.SetBodyString(s)
	}
}

// callThrough returns a handler that calls the next service and wraps its answer.
func callThrough(name, method, path string) handler {
	return func(ctx *fasthttp.RequestCtx, call func(string, string, string) *fasthttp.Response) {
		r := call(method, path, string(ctx.PostBody()))
		ctx.SetStatusCode(r.StatusCode())
		ctx.SetBodyString(fmt.Sprintf("%s(%s)", name, r.Body()))
	}
}

// deepChain returns the inventory of a chain of services a1, a2 and so on, each of which calls the next.
func deepChain(depth int) string {
	var b strings.Builder
	b.WriteString("[region rn]\nstore = yes\n[availability-zone rn-1]\nregion = rn\n")
	for i := 1; i <= depth; i++ {
		fmt.Fprintf(&b, "[service a%d]\nslots = 20\nconnections = 100\ntimeout = 10s\n", i)
		if i < depth {
			fmt.Fprintf(&b, "calls = a%d\n", i+1)
		}
		fmt.Fprintf(&b, "[backend-servers a%d rn-1]\ncount = 2\n", i)
	}
	return b.String()
}

func TestMain(m *testing.M) { os.Exit(m.Run()) }
