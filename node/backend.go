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

	"lovagelane/answers"
	"lovagelane/membership"
)

const (
	// dialTimeout bounds a connection attempt; a new connection costs about 1 ms.
	dialTimeout = 500 * time.Millisecond
	// backendIdleTimeout is how long a connection to the backend server may be idle. It is short, so that the backend server
	// does not close a connection just as a call is sent on it.
	backendIdleTimeout = 4 * time.Second
	// healthTimeout bounds a health check.
	healthTimeout = 2 * time.Second
)

// errDial marks an attempt whose connection was never established.
var errDial = errors.New("no connection")

// dial opens a TCP connection. A failure wraps errDial.
func dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, errors.Join(errDial, err)
	}
	return conn, nil
}

// newClient returns an HTTP client for one address. It never retries a request by itself, and fails with an
// answers.MalformedError if the head of the answer is malformed.
func newClient(address string, connect func(string) (net.Conn, error), idle time.Duration) *fasthttp.HostClient {
	connectChecked := func(address string) (net.Conn, error) {
		conn, err := connect(address)
		if err != nil {
			return nil, err
		}
		return answers.NewConn(conn), nil
	}
	return &fasthttp.HostClient{
		Addr: address, Dial: connectChecked, MaxIdleConnDuration: idle, MaxIdemponentCallAttempts: 1, MaxConns: maxWorkers,
		StreamResponseBody: true, DisablePathNormalizing: true, DisableHeaderNamesNormalizing: false,
		NoDefaultUserAgentHeader: true, ReadBufferSize: maxHeaderBytes, MaxResponseBodySize: maxBufferedBody,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// backend is the client side of this node's own backend server.
type backend struct {
	address string
	client  atomic.Pointer[fasthttp.HostClient]

	mu              sync.Mutex
	configuredSlots int
	connections     int
	crashes         uint64
	up              bool
}

func newBackend(address string) *backend {
	b := &backend{address: address}
	b.client.Store(newClient(address, dialBackend, backendIdleTimeout))
	return b
}

// setConnections sets the maximum number of connections from the inventory: the smaller of slots and connections. Without a
// concurrency limit, connections alone is the maximum.
func (b *backend) setConnections(slots, connections int, limited bool) {
	limit := slots
	if connections > 0 && (limit <= 0 || connections < limit || !limited) {
		limit = connections
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configuredSlots = slots
	if limit <= 0 || limit == b.connections {
		return
	}
	b.connections = limit
	client := newClient(b.address, dialBackend, backendIdleTimeout)
	// One connection beyond the slots is for health checks and cancellations.
	client.MaxConns = limit + 1
	client.MaxConnWaitTimeout = dialTimeout
	b.client.Swap(client).CloseIdleConnections()
}

// slots returns the number of slots that the inventory configures.
func (b *backend) slots() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.configuredSlots
}

// recordCrash marks the backend server as down and returns the number of the crash. It reports false when the crash was
// already recorded.
func (b *backend) recordCrash() (uint64, bool) {
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

// refusesConnections reports whether a new connection to the backend server fails, as it does after its process has ended.
func (b *backend) refusesConnections() bool {
	conn, err := net.DialTimeout("tcp", b.address, dialTimeout)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}

// probe requests the backend server's health endpoint. A timeout is inconclusive (known is false): marking an overloaded
// backend server as down would shift its load to the others.
func (b *backend) probe() (up, known bool) {
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

// cancel notifies the backend server that the caller of a call gave up.
func (b *backend) cancel(contextID string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + b.address + "/lovagelane/cancel")
	req.Header.Set(headerContext, contextID)
	_ = b.client.Load().DoTimeout(req, resp, healthTimeout)
	_ = resp.CloseBodyStream()
}

// checkHealth probes the own backend server and announces a change of its state to the other nodes.
func (n *Node) checkHealth(context.Context) {
	up, known := n.backend.probe()
	if known && !up {
		// The health check may detect a crash before the calls in flight fail. The crash is attributed to these calls in
		// either case.
		n.reportCrash()
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

// countConnectionLoss counts the loss of one call's connection to a backend server that still accepts connections, and
// returns its number.
func (b *backend) countConnectionLoss() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashes++
	return b.crashes
}

// reportConnectionLoss attributes a lost connection to the call on it alone, while the backend server still accepts
// connections. The backend server may have crashed and restarted already. If only the connection broke, the next good answer
// clears the suspicion.
func (n *Node) reportConnectionLoss(f *flight, err error) bool {
	if !errors.Is(err, io.EOF) && !errors.Is(err, fasthttp.ErrConnectionClosed) && !errors.Is(err, syscall.ECONNRESET) {
		return false
	}
	reports := n.quarantine.recordCrash(n.clock.Now(), crashID(n.self.ID, n.backend.countConnectionLoss()), []uint64{f.meta.Digest})
	n.log.Warn("backend-server-broke-off", "request", f.meta.RequestID, "error", err, "suspects", len(reports))
	n.metrics.Add("backend-server-broken-calls", 1)
	n.control.FloodCrashes(reports)
	return true
}

// reportCrash reports the digests that were running when the backend server's process ended.
func (n *Node) reportCrash() {
	if !n.backend.refusesConnections() {
		return
	}
	crash, first := n.backend.recordCrash()
	if !first {
		return
	}
	digests := n.flights.runningDigests()
	reports := n.quarantine.recordCrash(n.clock.Now(), crashID(n.self.ID, crash), digests)
	n.log.Warn("backend-server-crashed", "in-flight", len(digests), "suspects", len(reports))
	n.metrics.Add("backend-server-crashes", 1)
	n.choosers.update(n, *n.members.Load())
	n.control.SetState(membership.StateStarting)
	n.control.FloodCrashes(reports)
}
