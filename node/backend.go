package node

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/membership"
)

const (
	// dialTimeout bounds a connection attempt; a new connection costs about 1 ms.
	dialTimeout = 500 * time.Millisecond
	// backendIdle is how long a connection to the backend server may be idle; it is short so that the backend server does
	// not close a connection at the moment when a call is sent on it.
	backendIdle = 4 * time.Second
	// healthTimeout bounds a health check.
	healthTimeout = 2 * time.Second
)

// errDial marks an attempt that never reached the other end.
var errDial = errors.New("no connection")

// dial opens a TCP connection and marks a failure as errDial.
func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, errors.Join(errDial, err)
	}
	return conn, nil
}

// newClient returns an HTTP client for one address that never resends by itself.
func newClient(address string, connect func(string) (net.Conn, error), idle time.Duration) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address, Dial: connect, MaxIdleConnDuration: idle, MaxIdemponentCallAttempts: 1, MaxConns: workers,
		StreamResponseBody: true, DisablePathNormalizing: true, DisableHeaderNamesNormalizing: false,
		NoDefaultUserAgentHeader: true, ReadBufferSize: maxHeaders, MaxResponseBodySize: bufferedBody,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// backend is the own backend server.
type backend struct {
	address string
	client  atomic.Pointer[fasthttp.HostClient]

	mu          sync.Mutex
	stated      int
	connections int
	crashes     uint64
	up          bool
}

func newBackend(address string) *backend {
	b := &backend{address: address}
	b.client.Store(newClient(address, dial, backendIdle))
	return b
}

// setConnections bounds the connections by what the inventory states. Without a limit on calls in flight only the
// connections are bounded.
func (b *backend) setConnections(slots, connections int, limited bool) {
	limit := slots
	if connections > 0 && (limit <= 0 || connections < limit || !limited) {
		limit = connections
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stated = slots
	if limit <= 0 || limit == b.connections {
		return
	}
	b.connections = limit
	client := newClient(b.address, dial, backendIdle)
	// One connection more than slots carries health checks and cancellations.
	client.MaxConns = limit + 1
	client.MaxConnWaitTimeout = dialTimeout
	b.client.Store(client)
}

// slots returns the slots that the inventory states.
func (b *backend) slots() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stated
}

// crashed records that the backend server process is gone and reports whether this is the first call to notice.
func (b *backend) crashed() (uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.up {
		return b.crashes, false
	}
	b.up = false
	b.crashes++
	return b.crashes, true
}

func (b *backend) setUp(up bool) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed = b.up != up
	b.up = up
	return changed
}

func (b *backend) isUp() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.up
}

// gone reports whether the backend server refuses connections, as it does when its process has ended.
func (b *backend) gone() bool {
	conn, err := net.DialTimeout("tcp", b.address, dialTimeout)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}

// healthy asks the backend server's health endpoint. An answer that is late says nothing: a loaded backend server that was
// taken out for it would put its load on the others.
func (b *backend) healthy() (up, known bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + b.address + "/health")
	err := b.client.Load().DoTimeout(req, resp, healthTimeout)
	_ = resp.CloseBodyStream()
	if errors.Is(err, fasthttp.ErrTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return false, false
	}
	return err == nil && resp.StatusCode() == fasthttp.StatusOK, true
}

// cancel tells the backend server that the caller of a call gave up.
func (b *backend) cancel(flightContext string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + b.address + "/lovagelane/cancel")
	req.Header.Set(headerContext, flightContext)
	_ = b.client.Load().DoTimeout(req, resp, healthTimeout)
	_ = resp.CloseBodyStream()
}

// checkHealth announces whether the own backend server takes calls.
func (n *Node) checkHealth(context.Context) {
	up, known := n.backend.healthy()
	if known && !up {
		// The check may meet a crash before the calls in flight do, which must be put down to them all the same.
		n.noteCrash()
	}
	if !known || !n.backend.setUp(up) || n.draining.Load() {
		return
	}
	state := membership.StateStarting
	if up {
		state = membership.StateServing
	}
	n.choosers.update(n, *n.members.Load())
	n.control.SetState(state)
	n.log.Info("backend-server-state", "state", state)
}

// brokeOff gives a number to the loss of one call at a backend server that takes connections.
func (b *backend) brokeOff() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashes++
	return b.crashes
}

// noteBrokenCall puts the loss of a call's connection down to that call alone, when the backend server takes connections. It
// may have crashed and be back already; when the connection alone broke, the next good answer clears the suspicion.
func (n *Node) noteBrokenCall(f *flight, err error) bool {
	if !errors.Is(err, io.EOF) && !errors.Is(err, fasthttp.ErrConnectionClosed) && !errors.Is(err, syscall.ECONNRESET) {
		return false
	}
	reports := n.poison.crashed(n.clock.Now(), crashID(n.self.ID, n.backend.brokeOff()), []uint64{f.meta.Digest})
	n.log.Warn("backend-server-broke-off", "request", f.meta.RequestID, "error", err, "suspects", len(reports))
	n.metrics.Add("backend-server-broken-calls", 1)
	n.control.SpreadCrash(reports)
	return true
}

// noteCrash marks the digests that were running when the backend server's process ended.
func (n *Node) noteCrash() {
	if !n.backend.gone() {
		return
	}
	number, first := n.backend.crashed()
	if !first {
		return
	}
	digests := n.flights.runningDigests()
	reports := n.poison.crashed(n.clock.Now(), crashID(n.self.ID, number), digests)
	n.log.Warn("backend-server-crashed", "in-flight", len(digests), "suspects", len(reports))
	n.metrics.Add("backend-server-crashes", 1)
	n.choosers.update(n, *n.members.Load())
	n.control.SetState(membership.StateStarting)
	n.control.SpreadCrash(reports)
}
