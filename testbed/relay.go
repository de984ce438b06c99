package testbed

import (
	"context"
	"net"
	"sync"
	"time"

	"lovagelane/kernel"
)

// Relay is a TCP proxy for fault injection: it forwards connections to a target and can silence, delay, refuse or close
// them.
type Relay struct {
	group  *kernel.Group
	ln     net.Listener
	target string

	mu    sync.Mutex
	conns kernel.Set[*relayedConn]
	// refuse makes the relay close new connections immediately.
	refuse bool
	// hold makes the relay accept new connections and forward nothing on them.
	hold bool
	// delay is the time by which each chunk of data is delayed.
	delay time.Duration
}

// relayedConn is a pair of connections, from the client and to the target, between which data is forwarded.
type relayedConn struct {
	r              *Relay
	client, server net.Conn
	silenced       chan struct{}
	silenceOnce    sync.Once
	closed         chan struct{}
	closeOnce      sync.Once
}

// NewRelay listens on a free loopback port and forwards connections to target until the group stops.
func NewRelay(g *kernel.Group, target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r := &Relay{group: g, ln: ln, target: target, conns: kernel.Set[*relayedConn]{}}
	g.Go("relay-close", func(ctx context.Context) error {
		<-ctx.Done()
		_ = ln.Close()
		r.Cut()
		return nil
	})
	g.Go("relay", r.accept)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.ln.Addr().String() }

// Silence permanently stops forwarding on the open connections without closing them. New connections are not affected.
func (r *Relay) Silence() {
	for _, c := range r.openConns() {
		c.silenceOnce.Do(func() { close(c.silenced) })
	}
}

// Cut closes the open connections.
func (r *Relay) Cut() {
	for _, c := range r.openConns() {
		c.close()
	}
}

// Redirect changes the target of new connections.
func (r *Relay) Redirect(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// Refuse sets whether new connections are closed immediately.
func (r *Relay) Refuse(refuse bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = refuse
}

// Hold sets whether new connections are accepted without forwarding anything on them, as a frozen machine does.
func (r *Relay) Hold(hold bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hold = hold
}

// Delay sets the delay of each chunk of data, in both directions.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

func (r *Relay) currentDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

func (r *Relay) openConns() []*relayedConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*relayedConn
	for c := range r.conns {
		all = append(all, c)
	}
	return all
}

func (r *Relay) accept(ctx context.Context) error {
	for {
		client, err := r.ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return Error.Wrap(err)
		}
		r.group.Go("relay-link", func(ctx context.Context) error {
			r.relay(ctx, client)
			return nil
		})
	}
}

func (r *Relay) relay(ctx context.Context, client net.Conn) {
	r.mu.Lock()
	refuse, hold, target := r.refuse, r.hold, r.target
	r.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil || refuse {
		_ = client.Close()
		if server != nil {
			_ = server.Close()
		}
		return
	}
	c := &relayedConn{r: r, client: client, server: server, silenced: make(chan struct{}), closed: make(chan struct{})}
	if hold {
		c.silenceOnce.Do(func() { close(c.silenced) })
	}
	r.mu.Lock()
	r.conns[c] = struct{}{}
	r.mu.Unlock()
	// If the relay has been stopped in the meantime, Cut may have run before this connection was added.
	if ctx.Err() != nil {
		c.close()
	}
	r.group.Go("relay-back", func(context.Context) error {
		c.copy(c.client, c.server)
		return nil
	})
	c.copy(c.server, c.client)
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

func (c *relayedConn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.client.Close()
		_ = c.server.Close()
	})
}

// copy forwards data until either connection is closed. After Silence, it discards the data of the pending read and reads
// no more.
func (c *relayedConn) copy(dst, src net.Conn) {
	defer c.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		select {
		case <-c.silenced:
			<-c.closed
			return
		default:
		}
		if d := c.r.currentDelay(); d > 0 {
			time.Sleep(d)
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
