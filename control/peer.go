package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// Codes with which a connection is closed.
const (
	codeStopped quic.ApplicationErrorCode = iota
	codeBusy
	codeMalformed
	codeSilent
	codeUnwanted
)

var (
	errSilent   = errors.New("no heartbeat")
	errUnwanted = errors.New("connection no longer wanted")
	errOverflow = errors.New("peer reads too slowly")
	errBusy     = errors.New("peer has too many connections")
)

// peer is one connection with another node.
type peer struct {
	c        *Control
	conn     *quic.Conn
	stream   *quic.Stream
	id       string
	address  string
	outgoing bool
	// seed means that the connection only serves to join.
	seed   bool
	since  time.Time
	queue  chan Frame
	ctx    context.Context
	cancel context.CancelCauseFunc
	heard  atomic.Int64

	// synced means that the peer has answered a digest; guarded by Control.mu.
	synced bool
	// diffed holds the members that the peer named in a diff whose last part is still to come; guarded by Control.mu.
	diffed map[string]struct{}

	sent, received uint64
}

func (c *Control) newPeer(ctx context.Context, conn *quic.Conn, stream *quic.Stream) *peer {
	p := &peer{
		c:       c,
		conn:    conn,
		stream:  stream,
		address: conn.RemoteAddr().String(),
		since:   c.now(),
		queue:   make(chan Frame, queuedFrames),
	}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	return p
}

// send queues a frame. It never blocks: a peer whose queue is full is disconnected.
func (p *peer) send(f Frame) {
	select {
	case p.queue <- f:
	default:
		p.cancel(errOverflow)
	}
}

// Read reads from the stream and fails when the peer has been silent for too long. Any received byte counts, so that a
// long frame on a slow path is no silence.
func (p *peer) Read(b []byte) (int, error) {
	if err := p.stream.SetReadDeadline(time.Now().Add(p.c.tuning.silence)); err != nil {
		return 0, err
	}
	n, err := p.stream.Read(b)
	if n > 0 {
		p.heard.Store(p.c.now().UnixNano())
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errSilent
	}
	return n, err
}

func (p *peer) write(f Frame) error {
	data, err := encodeFrame(f)
	if err != nil {
		return err
	}
	if err := p.stream.SetWriteDeadline(time.Now().Add(p.c.tuning.silence)); err != nil {
		return err
	}
	_, err = p.stream.Write(data)
	return err
}

// writeLoop sends queued frames and heartbeats until the connection ends.
func (p *peer) writeLoop(context.Context) error {
	ticker := time.NewTicker(p.c.tuning.heartbeat)
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-p.ctx.Done():
			return nil
		case <-p.conn.Context().Done():
			return nil
		case f := <-p.queue:
			err = p.write(f)
		case <-ticker.C:
			err = p.write(heartbeat{Held: p.c.heldVersion()})
			p.countBytes()
		}
		if err != nil {
			p.cancel(err)
		}
	}
}

// readLoop handles frames until the connection ends, and returns why it ended.
func (p *peer) readLoop() error {
	for {
		f, err := readFrame(p)
		switch {
		case errors.Is(err, errUnknownKind):
			p.c.metrics.Add("control-frames-unknown", 1)
			continue
		case errors.Is(err, errMalformed):
			p.c.metrics.Add("control-frames-malformed", 1)
			p.c.log.Warn("control-frame-malformed", "peer", p.id, "address", p.address, "error", err)
			return err
		case err != nil:
			return err
		}
		p.c.handle(p, f)
	}
}

// close ends the connection with the code that tells the other side why.
func (p *peer) close(reason error) {
	code := codeStopped
	switch {
	case errors.Is(reason, errMalformed):
		code = codeMalformed
	case errors.Is(reason, errSilent):
		code = codeSilent
	case errors.Is(reason, errUnwanted):
		code = codeUnwanted
	}
	_ = p.conn.CloseWithError(code, "")
}

// countBytes adds what QUIC sent and received since the last call; only the write loop and the end of serve call it.
func (p *peer) countBytes() {
	stats := p.conn.ConnectionStats()
	p.c.metrics.Add("control-bytes-sent", int64(stats.BytesSent-p.sent))
	p.c.metrics.Add("control-bytes-received", int64(stats.BytesReceived-p.received))
	p.sent, p.received = stats.BytesSent, stats.BytesReceived
}

// greet exchanges the hello frames.
func (p *peer) greet() (hello, error) {
	if err := p.write(p.c.hello()); err != nil {
		return hello{}, err
	}
	f, err := readFrame(p)
	if err != nil {
		return hello{}, err
	}
	h, ok := f.(hello)
	if !ok {
		return hello{}, fmt.Errorf("%w: kind %d instead of hello", errMalformed, f.kind())
	}
	p.id = h.Member.ID
	return h, nil
}

// serve runs a connection after the greeting until it ends, and returns why.
func (p *peer) serve(h hello) error {
	// Closing the connection also ends a write that waits for a slow peer.
	stop := context.AfterFunc(p.ctx, func() { p.close(context.Cause(p.ctx)) })
	defer stop()
	done := make(chan struct{})
	p.c.group.Go("control-write", func(ctx context.Context) error {
		defer close(done)
		return p.writeLoop(ctx)
	})
	p.c.welcome(p, h)
	err := p.readLoop()
	p.cancel(err)
	p.c.farewell(p)
	<-done
	p.countBytes()
	if cause := context.Cause(p.ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		err = cause
	}
	return err
}

// dialed is what a dial and the connection after it came to.
type dialed struct {
	// established means that the peer answered with its hello.
	established bool
	// answered means that the peer is alive although it did not take the connection.
	answered bool
	lasted   time.Duration
	err      error
}

// connect dials an address and serves the connection until it ends. With want it checks who answers.
func (c *Control) connect(ctx context.Context, address, want string, seed bool) dialed {
	if !c.pacer.wait(ctx) {
		return dialed{err: ctx.Err()}
	}
	c.metrics.Add("control-dials", 1)
	p, h, err := c.open(ctx, address)
	if err != nil {
		var refused *quic.ApplicationError
		if errors.As(err, &refused) && refused.Remote {
			return dialed{answered: true, err: err}
		}
		return dialed{err: err}
	}
	p.outgoing, p.seed = true, seed
	if c.refusesPeer(p, h, want) {
		p.cancel(errUnwanted)
		p.close(errUnwanted)
		return dialed{answered: true, err: errUnwanted}
	}
	err = p.serve(h)
	return dialed{established: true, lasted: c.now().Sub(p.since), err: err}
}

func (c *Control) open(ctx context.Context, address string) (*peer, hello, error) {
	ctxDial, cancel := context.WithTimeout(ctx, c.tuning.dial)
	defer cancel()
	// Addresses are IP numbers, so that no name service can delay a dial.
	remote, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, hello{}, err
	}
	conn, err := c.transport.Dial(ctxDial, net.UDPAddrFromAddrPort(remote), c.tuning.tls.Client(protocol), c.quicConfig())
	if err != nil {
		return nil, hello{}, err
	}
	stream, err := conn.OpenStreamSync(ctxDial)
	if err != nil {
		_ = conn.CloseWithError(codeStopped, "")
		return nil, hello{}, err
	}
	p := c.newPeer(ctx, conn, stream)
	h, err := p.greet()
	if err != nil {
		p.cancel(err)
		p.close(err)
		return nil, hello{}, err
	}
	return p, h, nil
}

// acceptLoop takes connections of other nodes up to a bound.
func (c *Control) acceptLoop(ctx context.Context) error {
	for {
		conn, err := c.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("control listener: %w", err)
		}
		if c.inbound.Add(1) > int64(c.tuning.maxInbound) {
			c.inbound.Add(-1)
			c.metrics.Add("control-connections-refused", 1)
			_ = conn.CloseWithError(codeBusy, errBusy.Error())
			continue
		}
		c.group.Go("control-inbound", func(ctx context.Context) error {
			defer c.inbound.Add(-1)
			c.accept(ctx, conn)
			return nil
		})
	}
}

func (c *Control) accept(ctx context.Context, conn *quic.Conn) {
	ctxAccept, cancel := context.WithTimeout(ctx, c.tuning.dial)
	stream, err := conn.AcceptStream(ctxAccept)
	cancel()
	if err != nil {
		_ = conn.CloseWithError(codeSilent, "")
		return
	}
	p := c.newPeer(ctx, conn, stream)
	h, err := p.greet()
	if err == nil {
		err = p.serve(h)
	} else if errors.Is(err, errMalformed) {
		c.metrics.Add("control-frames-malformed", 1)
	}
	p.cancel(err)
	p.close(err)
}

func (c *Control) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           c.tuning.dial,
		MaxIdleTimeout:                 4 * c.tuning.silence,
		InitialStreamReceiveWindow:     maxFrameBytes,
		MaxStreamReceiveWindow:         2 * maxTextFrameBytes,
		InitialConnectionReceiveWindow: maxFrameBytes,
		MaxConnectionReceiveWindow:     2 * maxTextFrameBytes,
		MaxIncomingStreams:             1,
		MaxIncomingUniStreams:          -1,
		// Probes for a larger packet size would cost more than the short frames of control could save.
		DisablePathMTUDiscovery: true,
	}
}
