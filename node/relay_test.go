package node_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"lovagelane/kernel"
	"lovagelane/membership"
)

// relay forwards TCP connections to an address. It can silence the open connections, like a firewall that dropped their
// state.
type relay struct {
	ln    net.Listener
	to    string
	group *kernel.Group

	mu   sync.Mutex
	open []*relayConn
	// delayNext delays everything that the caller sends on the next connection.
	delayNext time.Duration
}

// relayConn is a connection through the relay.
type relayConn struct {
	a, b    net.Conn
	delayUp time.Duration

	mu sync.Mutex
	// dropUp and dropDown discard what the caller and what the other end sends.
	dropUp, dropDown bool
}

func newRelay(t *testing.T, to string) *relay {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{ln: ln, to: to, group: kernel.NewGroup(context.Background())}
	r.group.Go("accept", r.accept)
	t.Cleanup(func() {
		_ = ln.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, p := range r.open {
			_, _ = p.a.Close(), p.b.Close()
		}
	})
	return r
}

func (r *relay) accept(context.Context) error {
	for {
		a, err := r.ln.Accept()
		if err != nil {
			return nil
		}
		b, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = a.Close()
			continue
		}
		p := &relayConn{a: a, b: b}
		r.mu.Lock()
		p.delayUp, r.delayNext = r.delayNext, 0
		r.open = append(r.open, p)
		r.mu.Unlock()
		r.group.Go("up", func(context.Context) error { return p.forward(b, a, &p.dropUp, p.delayUp) })
		r.group.Go("down", func(context.Context) error { return p.forward(a, b, &p.dropDown, 0) })
	}
}

func (p *relayConn) forward(to, from net.Conn, discard *bool, delay time.Duration) error {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			p.mu.Lock()
			drop := p.dropUp || p.dropDown
			p.mu.Unlock()
			if !drop {
				_ = to.Close()
			}
			return nil
		}
		time.Sleep(delay)
		p.mu.Lock()
		drop := *discard
		p.mu.Unlock()
		if !drop {
			_, _ = to.Write(b[:n])
		}
	}
}

// silence discards, on every connection that is open now, what the caller (up) or the other end (down) sends from now on. New
// connections work.
func (r *relay) silence(up, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.open {
		p.mu.Lock()
		p.dropUp, p.dropDown = up, down
		p.mu.Unlock()
	}
}

// relayPayments announces the calls address of the node of service payments as that of a relay. The relay exists once that node
// was announced.
func relayPayments(t *testing.T, d *deployment) **relay {
	r := new(*relay)
	d.announceAs = func(m membership.Member) membership.Member {
		if m.Service == "payments" {
			if *r == nil {
				*r = newRelay(t, m.Calls)
			}
			m.Calls = (*r).ln.Addr().String()
		}
		return m
	}
	return r
}

// Guards against a call that is lost, runs twice or waits for its deadline because a connection between nodes went silent.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for name, tc := range map[string]struct{ up, down bool }{
		"request lost": {up: true, down: true},
		"answer lost":  {down: true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, chainInventory, chainRules)
			relayed := relayPayments(t, d)
			payments := d.startInstance("payments", text("paid"))
			entry := d.startInstance("nursery", callThrough("nursery", "POST", "/payments/pay"))
			first := d.send(entry.Addresses().Callers, "GET", "/nursery/x", "")
			require.Equal(t, "nursery(paid)", string(first.Body()))
			require.EqualValues(t, 1, payments.ran.Load())

			(*relayed).silence(tc.up, tc.down)
			second := d.send(entry.Addresses().Callers, "GET", "/nursery/x?again", "")
			require.Equal(t, "nursery(paid)", string(second.Body()))
			require.EqualValues(t, 2, payments.ran.Load())
		})
	}
}

// Guards against a streamed request that is reported as lost because its node is asked about it while its body is still on the
// way over a new connection, as happens on a busy machine.
func TestStreamedRequestInTransitIsNotLost(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	relayed := relayPayments(t, d)
	d.startInstance("payments", func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
		ctx.SetBody(ctx.PostBody())
	})
	entry := d.startInstance("nursery", text("ordered"))
	r := *relayed
	r.mu.Lock()
	r.delayNext = 400 * time.Millisecond
	r.mu.Unlock()
	photograph := strings.Repeat("x", 200_000)
	answer := d.send(entry.Addresses().Callers, "PUT", "/payments/photograph", photograph)
	require.Equal(t, fasthttp.StatusOK, answer.StatusCode(), reason(answer))
	require.Equal(t, photograph, string(answer.Body()))
}
