package testbed

import (
	"context"
	"net"
	"sync"
	"time"

	"lovagelane/kernel"
)

// Relay passes TCP connections on to a target and can make the open ones silent or cut them.
type Relay struct {
	group  *kernel.Group
	ln     net.Listener
	target string

	mu    sync.Mutex
	links kernel.Set[*link]
	// refuse closes new connections at once.
	refuse bool
	// delay is added to each piece that is passed on.
	delay time.Duration
}

// link is one relayed connection.
type link struct {
	r       *Relay
	in, out net.Conn
	silent  chan struct{}
	once    sync.Once
	ended   chan struct{}
	end     sync.Once
}

// NewRelay listens on a free loopback port and relays to target until the group stops.
func NewRelay(g *kernel.Group, target string) (*Relay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r := &Relay{group: g, ln: ln, target: target, links: kernel.Set[*link]{}}
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

// Silence stops all progress on the open connections for good, without closing them; new ones work.
func (r *Relay) Silence() {
	for _, l := range r.open() {
		l.once.Do(func() { close(l.silent) })
	}
}

// Cut closes the open connections.
func (r *Relay) Cut() {
	for _, l := range r.open() {
		l.close()
	}
}

// Redirect makes new connections go to another target.
func (r *Relay) Redirect(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// Refuse makes new connections fail, or work again.
func (r *Relay) Refuse(refuse bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = refuse
}

// Delay holds each piece back for a time, in both directions.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

func (r *Relay) delayed() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

func (r *Relay) open() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*link
	for l := range r.links {
		all = append(all, l)
	}
	return all
}

func (r *Relay) accept(ctx context.Context) error {
	for {
		in, err := r.ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return Error.Wrap(err)
		}
		r.group.Go("relay-link", func(ctx context.Context) error {
			r.run(ctx, in)
			return nil
		})
	}
}

func (r *Relay) run(ctx context.Context, in net.Conn) {
	r.mu.Lock()
	refuse, target := r.refuse, r.target
	r.mu.Unlock()
	out, err := net.Dial("tcp", target)
	if err != nil || refuse {
		_ = in.Close()
		if out != nil {
			_ = out.Close()
		}
		return
	}
	l := &link{r: r, in: in, out: out, silent: make(chan struct{}), ended: make(chan struct{})}
	r.mu.Lock()
	r.links[l] = struct{}{}
	r.mu.Unlock()
	// A relay that was stopped meanwhile has cut its links already.
	if ctx.Err() != nil {
		l.close()
	}
	r.group.Go("relay-back", func(context.Context) error {
		l.copy(l.in, l.out)
		return nil
	})
	l.copy(l.out, l.in)
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}

func (l *link) close() {
	l.end.Do(func() {
		close(l.ended)
		_ = l.in.Close()
		_ = l.out.Close()
	})
}

// copy passes bytes on until an end closes or the link is cut; a silent link drops what it has read and reads no more.
func (l *link) copy(dst, src net.Conn) {
	defer l.close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		select {
		case <-l.silent:
			<-l.ended
			return
		default:
		}
		if d := l.r.delayed(); d > 0 {
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
