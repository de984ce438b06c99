package mesh

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/directory"
	"lovagelane/disconnect"
	"lovagelane/link"
)

const (
	// backendDialTimeout limits a connection attempt to the own backend server, which is on the same instance.
	backendDialTimeout = 500 * time.Millisecond
	// defaultBackendIdleTimeout is the idle timeout of a connection if the backend server states none.
	defaultBackendIdleTimeout = 4 * time.Second
	// idleTimeoutShare is the part of the backend server's idle timeout after which the node does not reuse a connection.
	idleTimeoutShare = 0.7
	// nonIdempotentIdleTimeout is how long a connection may be idle before a non-idempotent call uses it. If the backend
	// server has closed the connection meanwhile, the node cannot tell whether the call has run, and must not resend it.
	nonIdempotentIdleTimeout = 500 * time.Millisecond
	// maxStrayAnswers is the number of answers to other requests that are skipped during one exchange.
	maxStrayAnswers = 2
	// crashCheckDelay is the delay between a lost connection and the check whether the backend server has crashed.
	crashCheckDelay = 20 * time.Millisecond
)

// backend is a client of the own backend server with a pool of idle connections.
type backend struct {
	n       *Node
	address string

	mu   sync.Mutex
	idle []*backendConn
}

// backendConn is a connection to the own backend server. It carries one call at a time.
type backendConn struct {
	c        net.Conn
	r        *bufio.Reader
	lastUsed time.Time
	// idleTimeout is how long the connection may be idle.
	idleTimeout time.Duration
	closeOnce   sync.Once
}

func (k *backendConn) close() { k.closeOnce.Do(func() { _ = k.c.Close() }) }

// exchangeResult is the result of a call at the backend server.
type exchangeResult struct {
	outcome outcome
	reason  string
	status  int
	head    []byte
	body    []byte
	// connectionLost is set when the connection broke while the call may have been running.
	connectionLost bool
	// crashed is set when the backend server crashed during the call.
	crashed bool
	// backendGone is set when nothing listens at the backend server's address or another backend server answers there.
	backendGone bool
}

func newBackend(n *Node, address string) *backend { return &backend{n: n, address: address} }

// acquire returns an idle connection that may be reused and was idle for less than maxIdle, or opens one. It reports whether
// the connection is reused.
func (b *backend) acquire(now time.Time, maxIdle time.Duration) (*backendConn, bool, error) {
	for {
		k := b.popIdle()
		if k == nil {
			break
		}
		if idle := now.Sub(k.lastUsed); idle < k.idleTimeout && idle < maxIdle && k.isClean() {
			return k, true, nil
		}
		k.close()
	}
	c, err := link.Dial(b.address, backendDialTimeout)
	if err != nil {
		return nil, false, err
	}
	b.n.metrics.Add("backend-connections", 1)
	return &backendConn{c: c, r: bufio.NewReaderSize(c, maxHeaderBytes), idleTimeout: defaultBackendIdleTimeout}, false, nil
}

func (b *backend) popIdle() *backendConn {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.idle) == 0 {
		return nil
	}
	k := b.idle[len(b.idle)-1]
	b.idle = b.idle[:len(b.idle)-1]
	return k
}

// pushIdle adds a connection to the idle ones.
func (b *backend) pushIdle(now time.Time, k *backendConn) {
	k.lastUsed = now
	b.mu.Lock()
	defer b.mu.Unlock()
	b.idle = append(b.idle, k)
}

// closeIdle closes all idle connections.
func (b *backend) closeIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range b.idle {
		k.close()
	}
	b.idle = nil
}

// closeExpired closes connections whose idle timeout has passed.
func (b *backend) closeExpired(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.idle[:0]
	for _, k := range b.idle {
		if now.Sub(k.lastUsed) < k.idleTimeout {
			kept = append(kept, k)
		} else {
			k.close()
		}
	}
	clear(b.idle[len(kept):])
	b.idle = kept
}

// isClean reports whether an idle connection is open and has no unread bytes. Bytes after an answer belong to no request, so
// that such a connection can't be reused.
func (k *backendConn) isClean() bool {
	if k.r.Buffered() > 0 {
		return false
	}
	sc, ok := k.c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	pending, closed := disconnect.Peek(raw)
	return !pending && !closed
}

// exchange sends a call to the backend server with the given id and reads its answer.
func (b *backend) exchange(j *job, id string, remaining time.Duration) exchangeResult {
	h, err := parseRequestHead(j.m.Head)
	if err != nil {
		return exchangeResult{outcome: outcomeExpired, reason: "head-unreadable"}
	}
	b.n.deployment.Prepare(h, ForwardMeta{Remaining: remaining, Backend: id, Caller: j.m.Caller})
	maxIdle := defaultBackendIdleTimeout
	if !j.m.Idempotent {
		maxIdle = nonIdempotentIdleTimeout
	}
	k, reused, err := b.acquire(b.n.clock.Now(), max(maxIdle, nonIdempotentIdleTimeout))
	if err != nil {
		return exchangeResult{outcome: outcomeUnusable, reason: "backend-server-unreachable",
			backendGone: errors.Is(err, link.ErrRefused)}
	}
	if !b.n.attach(j, k) {
		k.close()
		return exchangeResult{outcome: outcomeBusy, reason: "cancelled"}
	}
	x := b.roundTrip(j, k, h, remaining)
	if x.connectionLost && reused {
		x.reason += "-on-kept-connection"
	}
	return x
}

// attach sets the connection of a job, so that a cancellation closes it. It reports false if the job is already cancelled.
func (n *Node) attach(j *job, k *backendConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	j.conn = k
	return !j.cancelled
}

// roundTrip writes a request and reads the answer with its request id.
func (b *backend) roundTrip(j *job, k *backendConn, h *fasthttp.RequestHeader, remaining time.Duration) exchangeResult {
	if err := k.c.SetDeadline(time.Now().Add(remaining + answerMargin)); err != nil {
		k.close()
		return exchangeResult{outcome: outcomeLost, reason: "connection-closed", connectionLost: true}
	}
	request := append(h.Header(), j.m.Body...)
	// A backend server may answer and close before it has read the whole body. Its answer is valid despite the write error.
	_, writeErr := k.c.Write(request)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.SkipBody = h.IsHead()
	for range maxStrayAnswers + 1 {
		if err := resp.ReadLimitBody(k.r, maxBodyBytes); err != nil {
			k.close()
			return readFailure(err)
		}
		meta := b.n.deployment.ReadAnswer(&resp.Header)
		if meta.ID == j.m.RequestID || meta.ID == "" {
			if writeErr != nil {
				resp.SetConnectionClose()
			}
			return b.classifyAnswer(j, k, resp, meta)
		}
		b.n.log.Warn("stray-answer", "request", j.m.RequestID, "answer-to", meta.ID)
	}
	k.close()
	return exchangeResult{outcome: outcomeLost, reason: "stray-answers"}
}

func readFailure(err error) exchangeResult {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return exchangeResult{outcome: outcomeLost, reason: "backend-server-timeout"}
	}
	return exchangeResult{outcome: outcomeLost, reason: "backend-server-broke-off", connectionLost: true}
}

// classifyAnswer converts an answer to an exchangeResult and releases the connection.
func (b *backend) classifyAnswer(j *job, k *backendConn, resp *fasthttp.Response, meta AnswerMeta) exchangeResult {
	b.release(k, resp, meta)
	switch {
	case meta.OtherBackend:
		return exchangeResult{outcome: outcomeRejected, reason: "other-backend-server", status: resp.StatusCode(), backendGone: true}
	case meta.NotRun:
		return exchangeResult{outcome: outcomeRejected, reason: "backend-server", status: resp.StatusCode()}
	case !meta.Signed || meta.ID == "":
		b.n.log.Warn("answer-not-stamped", "request", j.m.RequestID, "status", resp.StatusCode(), "id", meta.ID)
		return exchangeResult{outcome: outcomeLost, reason: "answer-not-stamped"}
	}
	return exchangeResult{outcome: outcomeAnswered, status: resp.StatusCode(), head: answerHead(&resp.Header),
		body: bytes.Clone(resp.Body())}
}

// release returns a connection to the idle ones. It closes it if the answer asks for that, if there are unread bytes, which
// belong to no request, or if the answer is neither signed nor marked as not run.
func (b *backend) release(k *backendConn, resp *fasthttp.Response, meta AnswerMeta) {
	if resp.ConnectionClose() || k.r.Buffered() > 0 || !meta.Signed && !meta.NotRun {
		k.close()
		return
	}
	if meta.IdleTimeout > 0 {
		k.idleTimeout = time.Duration(idleTimeoutShare * float64(meta.IdleTimeout))
	}
	b.pushIdle(b.n.clock.Now(), k)
}

// checkCrash reports whether the backend server crashed during a call whose connection was lost: it is taken as crashed if it
// can't be reached after crashCheckDelay. The calls in flight are then recorded as suspects.
func (n *Node) checkCrash(j *job, current directory.Incarnation, x exchangeResult) bool {
	if j.isCancelled() || x.reason == "backend-server-timeout" {
		return false
	}
	pause := time.NewTimer(crashCheckDelay)
	<-pause.C
	c, err := link.Dial(n.backend.address, backendDialTimeout)
	if err == nil {
		_ = c.Close()
		return false
	}
	n.handleBackendLoss(current, "refused")
	return true
}

func (j *job) isCancelled() bool {
	j.n.mu.Lock()
	defer j.n.mu.Unlock()
	return j.cancelled
}

// handleBackendLoss marks the backend server as lost and reports the requests that it was running to other nodes.
func (n *Node) handleBackendLoss(b directory.Incarnation, reason string) {
	now := n.clock.Now()
	n.mu.Lock()
	current, _ := n.tracker.Current()
	if current != b || !n.tracker.MarkUnreachable() {
		n.mu.Unlock()
		return
	}
	var digests []uint64
	for _, j := range n.jobs {
		if j.running {
			digests = append(digests, j.m.Digest)
		}
	}
	reports := n.quarantine.Crashed(now, b.ID+"@"+time.UnixMilli(b.StartMillis).UTC().Format(time.RFC3339Nano), digests)
	peers := n.updateCandidatesLocked()
	n.mu.Unlock()
	n.transport.SetPersistentPeers(peers)
	n.backend.closeIdle()
	n.log.Warn("backend-server-lost", "id", b.ID, "why", reason, "running", len(digests))
	n.metrics.Add("backend-server-losses", 1)
	if len(reports) > 0 {
		n.transport.Broadcast(encode(gossipMessage{Crashes: reports}))
	}
}

// runTask returns a task that runs a job on its own goroutine, for when the queue of the workers is full.
func (n *Node) runTask(j *job) func(ctx context.Context) error {
	return func(context.Context) error {
		n.runJob(j)
		return nil
	}
}
