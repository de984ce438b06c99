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

// Application error codes of closed connections.
const (
	codeStopped quic.ApplicationErrorCode = iota
	codeBusy
	codeMalformed
	codeSilent
	codeUnwanted
)

var (
	errSilent   = errors.New("no heartbeat")
	errUnwanted = errors.New("connection not needed")
	errOverflow = errors.New("peer reads too slowly")
	errBusy     = errors.New("peer has too many connections")
)

// peer is a control connection to another node.
type peer struct {
	control  *Control
	conn     *quic.Conn
	stream   *quic.Stream
	id       string
	address  string
	outgoing bool
	// seed marks a connection to a seed address, which is closed once the rings provide other peers.
	seed         bool
	since        time.Time
	queue        chan Frame
	ctx          context.Context
	cancel       context.CancelCauseFunc
	lastReceived atomic.Int64

	// synced is set once the peer has answered a digest; guarded by Control.mu.
	synced bool
	// diffIDs holds the ids of the members in the frames so far of an incomplete diff; guarded by Control.mu.
	diffIDs map[string]struct{}

	sentBytes, receivedBytes uint64
}

func (c *Control) newPeer(ctx context.Context, conn *quic.Conn, stream *quic.Stream) *peer {
	p := &peer{
		control: c,
		conn:    conn,
		stream:  stream,
		address: conn.RemoteAddr().String(),
		since:   c.now(),
		queue:   make(chan Frame, maxQueuedFrames),
	}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	return p
}

// send queues a frame without blocking. It disconnects a peer whose queue is full.
func (p *peer) send(f Frame) {
	select {
	case p.queue <- f:
	default:
		p.cancel(errOverflow)
	}
}

// Read reads from the stream and returns errSilent if nothing arrives within the silence timeout. Each received byte restarts
// the timeout, so that a long frame on a slow path does not count as silence.
func (p *peer) Read(b []byte) (int, error) {
	if err := p.stream.SetReadDeadline(time.Now().Add(p.control.tuning.silenceTimeout)); err != nil {
		return 0, err
	}
	n, err := p.stream.Read(b)
	if n > 0 {
		p.lastReceived.Store(p.control.now().UnixNano())
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
	if err := p.stream.SetWriteDeadline(time.Now().Add(p.control.tuning.silenceTimeout)); err != nil {
		return err
	}
	_, err = p.stream.Write(data)
	return err
}

// writeLoop writes queued frames and heartbeats until the connection ends.
func (p *peer) writeLoop(context.Context) error {
	ticker := time.NewTicker(p.control.tuning.heartbeatInterval)
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
			err = p.write(heartbeat{ConfigVersion: p.control.loadedVersion()})
			p.countBytes()
		}
		if err != nil {
			p.cancel(err)
		}
	}
}

// readLoop reads and handles frames until the connection ends, and returns the reason.
func (p *peer) readLoop() error {
	for {
		f, err := readFrame(p)
		switch {
		case errors.Is(err, errUnknownKind):
			p.control.metrics.Add("control-frames-unknown", 1)
			continue
		case errors.Is(err, errMalformed):
			p.control.metrics.Add("control-frames-malformed", 1)
			p.control.log.Warn("control-frame-malformed", "peer", p.id, "address", p.address, "error", err)
			return err
		case err != nil:
			return err
		}
		p.control.handleFrame(p, f)
	}
}

// close closes the connection with the error code for the reason.
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

// countBytes adds the bytes that QUIC sent and received since the last call to the metrics. It is not safe for concurrent
// use: writeLoop calls it, and serve after writeLoop has ended.
func (p *peer) countBytes() {
	stats := p.conn.ConnectionStats()
	p.control.metrics.Add("control-bytes-sent", int64(stats.BytesSent-p.sentBytes))
	p.control.metrics.Add("control-bytes-received", int64(stats.BytesReceived-p.receivedBytes))
	p.sentBytes, p.receivedBytes = stats.BytesSent, stats.BytesReceived
}

// exchangeHello sends this node's hello and reads the peer's.
func (p *peer) exchangeHello() (hello, error) {
	if err := p.write(p.control.hello()); err != nil {
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

// serve runs a connection after the hello exchange until it ends, and returns the reason.
func (p *peer) serve(h hello) error {
	// Closing the connection also aborts a write that is blocked on a slow peer.
	stop := context.AfterFunc(p.ctx, func() { p.close(context.Cause(p.ctx)) })
	defer stop()
	done := make(chan struct{})
	p.control.group.Go("control-write", func(ctx context.Context) error {
		defer close(done)
		return p.writeLoop(ctx)
	})
	p.control.addPeer(p, h)
	err := p.readLoop()
	p.cancel(err)
	p.control.removePeer(p)
	<-done
	p.countBytes()
	if cause := context.Cause(p.ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		err = cause
	}
	return err
}

// dialResult is the outcome of a dial and of the connection that it opened.
type dialResult struct {
	// established is set if the hello exchange succeeded and the connection was served.
	established bool
	// reachable is set if the address answered but the connection was rejected by either side.
	reachable bool
	duration  time.Duration
	err       error
}

// connect dials an address and serves the connection until it ends. If wantID is set, it rejects a peer with another id.
func (c *Control) connect(ctx context.Context, address, wantID string, seed bool) dialResult {
	if !c.pacer.wait(ctx) {
		return dialResult{err: ctx.Err()}
	}
	c.metrics.Add("control-dials", 1)
	p, h, err := c.dial(ctx, address)
	if err != nil {
		var refused *quic.ApplicationError
		if errors.As(err, &refused) && refused.Remote {
			return dialResult{reachable: true, err: err}
		}
		return dialResult{err: err}
	}
	p.outgoing, p.seed = true, seed
	if c.rejectWrongPeer(p, h, wantID) {
		p.cancel(errUnwanted)
		p.close(errUnwanted)
		return dialResult{reachable: true, err: errUnwanted}
	}
	err = p.serve(h)
	return dialResult{established: true, duration: c.now().Sub(p.since), err: err}
}

func (c *Control) dial(ctx context.Context, address string) (*peer, hello, error) {
	ctxDial, cancel := context.WithTimeout(ctx, c.tuning.dialTimeout)
	defer cancel()
	// Addresses must be IP addresses, so that DNS cannot delay a dial.
	remote, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, hello{}, err
	}
	conn, err := c.transport.Dial(ctxDial, net.UDPAddrFromAddrPort(remote), c.tuning.tls.ClientConfig(protocol), c.quicConfig())
	if err != nil {
		return nil, hello{}, err
	}
	stream, err := conn.OpenStreamSync(ctxDial)
	if err != nil {
		_ = conn.CloseWithError(codeStopped, "")
		return nil, hello{}, err
	}
	p := c.newPeer(ctx, conn, stream)
	h, err := p.exchangeHello()
	if err != nil {
		p.cancel(err)
		p.close(err)
		return nil, hello{}, err
	}
	return p, h, nil
}

// acceptLoop accepts connections from other nodes, up to maxInbound at a time.
func (c *Control) acceptLoop(ctx context.Context) error {
	for {
		conn, err := c.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("control listener: %w", err)
		}
		if c.inboundConns.Add(1) > int64(c.tuning.maxInbound) {
			c.inboundConns.Add(-1)
			c.metrics.Add("control-connections-refused", 1)
			_ = conn.CloseWithError(codeBusy, errBusy.Error())
			continue
		}
		c.group.Go("control-inbound", func(ctx context.Context) error {
			defer c.inboundConns.Add(-1)
			c.serveInbound(ctx, conn)
			return nil
		})
	}
}

func (c *Control) serveInbound(ctx context.Context, conn *quic.Conn) {
	ctxAccept, cancel := context.WithTimeout(ctx, c.tuning.dialTimeout)
	stream, err := conn.AcceptStream(ctxAccept)
	cancel()
	if err != nil {
		_ = conn.CloseWithError(codeSilent, "")
		return
	}
	p := c.newPeer(ctx, conn, stream)
	h, err := p.exchangeHello()
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
		HandshakeIdleTimeout:           c.tuning.dialTimeout,
		MaxIdleTimeout:                 4 * c.tuning.silenceTimeout,
		InitialStreamReceiveWindow:     maxFrameBytes,
		MaxStreamReceiveWindow:         2 * maxConfigFrameBytes,
		InitialConnectionReceiveWindow: maxFrameBytes,
		MaxConnectionReceiveWindow:     2 * maxConfigFrameBytes,
		MaxIncomingStreams:             1,
		MaxIncomingUniStreams:          -1,
		// Control frames are short, so probes for a larger packet size would cost more than they save.
		DisablePathMTUDiscovery: true,
	}
}
