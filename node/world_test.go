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

// patience bounds every wait for an event; it is long so that a busy machine does not change a verdict.
const patience = 20 * time.Second

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

// directory stands in for control: it tells every node of every other one at once.
type directory struct {
	mu      sync.Mutex
	members map[string]membership.Member
	nodes   map[string]control.Options
	config  *inventory.Config
	// via changes the addresses under which a member is announced.
	via func(membership.Member) membership.Member
}

// memberControl is the directory as one node sees it.
type memberControl struct {
	d  *directory
	id string
}

func (d *directory) start(_ context.Context, o control.Options) (node.Control, error) {
	d.mu.Lock()
	if d.nodes == nil {
		d.nodes, d.members = map[string]control.Options{}, map[string]membership.Member{}
	}
	d.nodes[o.Self.ID] = o
	d.members[o.Self.ID] = o.Self
	if d.via != nil {
		d.members[o.Self.ID] = d.via(o.Self)
	}
	d.mu.Unlock()
	o.OnConfig(d.config)
	d.publish()
	return memberControl{d, o.Self.ID}, nil
}

func (d *directory) publish() {
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

func (c memberControl) Address() string              { return "" }
func (c memberControl) Members() []membership.Member { return nil }
func (c memberControl) PollStore()                   {}

func (c memberControl) SetState(s membership.State) {
	c.d.mu.Lock()
	m := c.d.members[c.id]
	m.State = s
	c.d.members[c.id] = m
	c.d.mu.Unlock()
	c.d.publish()
}

func (c memberControl) SpreadCrash(reports []quarantine.Report) {
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

func (c memberControl) Stop() error {
	c.d.mu.Lock()
	delete(c.d.nodes, c.id)
	delete(c.d.members, c.id)
	c.d.mu.Unlock()
	c.d.publish()
	return nil
}

// world is a deployment in one process: real nodes and backend servers on loopback.
type world struct {
	t   testing.TB
	dir string
	directory
	log bytes.Buffer
	mu  sync.Mutex
}

func newWorld(t testing.TB, inv, rules string) *world {
	cfg, problems := inventory.Parse([]inventory.File{{Name: "inventory.ini", Text: inv}, {Name: "rules.ini", Text: rules}})
	require.Empty(t, problems)
	w := &world{t: t, dir: t.TempDir()}
	w.config = cfg.WithVersion(1)
	require.NoError(t, keys.Issue(w.dir))
	t.Cleanup(func() {
		if t.Failed() {
			w.mu.Lock()
			defer w.mu.Unlock()
			t.Log(w.log.String())
		}
	})
	return w
}

// Write collects the logs of all nodes.
func (w *world) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.log.Write(b)
}

// handler answers a call as a backend server; call makes an inner call through the own node.
type handler func(ctx *fasthttp.RequestCtx, call func(method, path string, body string) *fasthttp.Response)

// station is a backend server with its node.
type station struct {
	*node.Node
	w       *world
	server  *fasthttp.Server
	ln      net.Listener
	address string
	backend atomic.Value
	ran     atomic.Int64
	cancels atomic.Int64
	stopped atomic.Bool
}

func (w *world) station(service string, h handler) *station {
	s := &station{w: w}
	s.serve("127.0.0.1:0", h)
	n, err := node.Start(context.Background(), node.Options{
		Settings: settings.Node{
			Service: service, AvailabilityZone: "rn-1", BackendServer: s.address, CallersListen: "127.0.0.1:0",
			BackendListen: "127.0.0.1:0", CallsListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
			Certificate: filepath.Join(w.dir, "node.pem"), Key: filepath.Join(w.dir, "node-key.pem"),
			Authority: filepath.Join(w.dir, "authority.pem"), TicketKey: filepath.Join(w.dir, "ticket-key"),
		},
		Log: event.New(w, kernel.SystemClock{}), StartControl: w.start,
	})
	require.NoError(w.t, err)
	s.Node = n
	s.backend.Store(n.Addresses().Backend)
	w.t.Cleanup(s.stop)
	w.eventually("serving", func() bool { return n.Status().BackendServerUp })
	return s
}

// serve starts the backend server, on the same address again after a crash.
func (s *station) serve(address string, h handler) {
	ln, err := net.Listen("tcp", address)
	require.NoError(s.w.t, err)
	s.ln, s.address = ln, ln.Addr().String()
	s.server = &fasthttp.Server{CloseOnShutdown: true, Handler: func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/health":
			return
		case "/lovagelane/cancel":
			s.cancels.Add(1)
			return
		}
		s.ran.Add(1)
		h(ctx, func(method, path, body string) *fasthttp.Response { return s.inner(ctx, method, path, body) })
	}}
	group := kernel.NewGroup(context.Background())
	group.Go("backend-server", func(context.Context) error { return s.server.Serve(ln) })
}

func (s *station) inner(ctx *fasthttp.RequestCtx, method, path, body string) *fasthttp.Response {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := &fasthttp.Response{}
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + s.backend.Load().(string) + path)
	req.Header.SetBytesV("Lovagelane-Context", ctx.Request.Header.Peek("Lovagelane-Context"))
	req.SetBodyString(body)
	if err := fasthttp.DoTimeout(req, resp, patience); err != nil {
		resp.SetStatusCode(fasthttp.StatusBadGateway)
	}
	return resp
}

// crash does what the end of the backend server's process does: new connections are refused and open ones break.
func (s *station) crash(ctx *fasthttp.RequestCtx) {
	_ = s.ln.Close()
	_ = ctx.Conn().Close()
}

// stop ends the station without a drain.
func (s *station) stop() {
	if s.stopped.CompareAndSwap(false, true) {
		_ = s.Stop()
		_ = s.server.Shutdown()
	}
}

// eventually waits for a condition, with a bound that no healthy run comes near.
func (w *world) eventually(what string, condition func() bool) {
	w.t.Helper()
	require.Eventually(w.t, condition, patience, 5*time.Millisecond, what)
}

// send sends a request from an outside caller.
func (w *world) send(address, method, path, body string, headers ...string) *fasthttp.Response {
	w.t.Helper()
	resp, err := trySend(address, method, path, body, headers...)
	require.NoError(w.t, err)
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
	return resp, fasthttp.DoTimeout(req, resp, patience)
}

func outcome(r *fasthttp.Response) string { return string(r.Header.Peek("Lovagelane-Outcome")) }
func reason(r *fasthttp.Response) string  { return string(r.Header.Peek("Lovagelane-Reason")) }

// text returns a handler that answers with a fixed text.
func text(s string) handler {
	return func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
		ctx.SetBodyString(s)
	}
}

// through returns a handler that calls the next service and wraps its answer.
func through(name, method, path string) handler {
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
