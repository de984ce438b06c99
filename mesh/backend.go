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
	"lovagelane/hangup"
	"lovagelane/link"
)

const (
	// backendDialTimeout bounds a connection attempt to the own backend server, which is on the same instance.
	backendDialTimeout = 500 * time.Millisecond
	// backendIdle is how long a connection may be idle when the backend server states no time of its own.
	backendIdle = 4 * time.Second
	// idleShare is the part of the idle time that the backend server states after which a connection is not used again.
	idleShare = 0.7
	// freshIdle is how long a connection may be idle for a call that must not be repeated: a backend server that has
	// dropped the connection meanwhile would leave it open whether the call has run.
	freshIdle = 500 * time.Millisecond
	// maxStrayAnswers is the number of answers to other requests that are passed over on a connection.
	maxStrayAnswers = 2
	// crashCheckPause is the time after which a backend server that reset a connection is checked for a crash.
	crashCheckPause = 20 * time.Millisecond
)

// backend is the own backend server.
type backend struct {
	n       *Node
	address string

	mu   sync.Mutex
	idle []*backendConn
}

// backendConn is a connection to the own backend server, which carries one call at a time.
type backendConn struct {
	c    net.Conn
	r    *bufio.Reader
	used time.Time
	// keep is how long the connection may be idle.
	keep time.Duration
	once sync.Once
}

func (k *backendConn) close() { k.once.Do(func() { _ = k.c.Close() }) }

// exchanged is what became of a call at the backend server.
type exchanged struct {
	end    end
	why    string
	status int
	head   []byte
	body   []byte
	// lost is set when the connection broke while the call may have been running.
	lost bool
	// crashed is set when the backend server ended meanwhile.
	crashed bool
	// refused is set when nothing listens at the backend server's address.
	refused bool
}

func newBackend(n *Node, address string) *backend { return &backend{n: n, address: address} }

// take returns an idle connection that is still good, or opens one.
func (b *backend) take(now time.Time, longest time.Duration) (*backendConn, bool, error) {
	for {
		k := b.pop()
		if k == nil {
			break
		}
		if idle := now.Sub(k.used); idle < k.keep && idle < longest && k.clean() {
			return k, true, nil
		}
		k.close()
	}
	c, err := link.Dial(b.address, backendDialTimeout)
	if err != nil {
		return nil, false, err
	}
	b.n.metrics.Add("backend-connections", 1)
	return &backendConn{c: c, r: bufio.NewReaderSize(c, maxHeaders), keep: backendIdle}, false, nil
}

func (b *backend) pop() *backendConn {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.idle) == 0 {
		return nil
	}
	k := b.idle[len(b.idle)-1]
	b.idle = b.idle[:len(b.idle)-1]
	return k
}

// put keeps a connection for the next call.
func (b *backend) put(now time.Time, k *backendConn) {
	k.used = now
	b.mu.Lock()
	defer b.mu.Unlock()
	b.idle = append(b.idle, k)
}

// drop closes all idle connections.
func (b *backend) drop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range b.idle {
		k.close()
	}
	b.idle = nil
}

// trim closes connections that have been idle for too long.
func (b *backend) trim(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.idle[:0]
	for _, k := range b.idle {
		if now.Sub(k.used) < k.keep {
			kept = append(kept, k)
		} else {
			k.close()
		}
	}
	clear(b.idle[len(kept):])
	b.idle = kept
}

// clean reports whether nothing has arrived on an idle connection: bytes after an answer belong to no request.
func (k *backendConn) clean() bool {
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
	pending, gone := hangup.Peek(raw)
	return !pending && !gone
}

// exchange sends a call to the backend server with the given id and reads its answer.
func (b *backend) exchange(j *job, id string, remaining time.Duration) exchanged {
	h, err := parseRequestHead(j.m.Head)
	if err != nil {
		return exchanged{end: endExpired, why: "head-unreadable"}
	}
	b.n.deployment.Prepare(h, Passed{Remaining: remaining, Backend: id, Caller: j.m.Caller})
	longest := backendIdle
	if !j.m.Idempotent {
		longest = freshIdle
	}
	k, reused, err := b.take(b.n.clock.Now(), max(longest, freshIdle))
	if err != nil {
		return exchanged{end: endUnusable, why: "backend-server-unreachable", refused: errors.Is(err, link.ErrRefused)}
	}
	if !b.n.attach(j, k) {
		k.close()
		return exchanged{end: endBusy, why: "cancelled"}
	}
	x := b.talk(j, k, h, remaining)
	if x.lost && reused {
		x.why += "-on-kept-connection"
	}
	return x
}

// attach ties a call to its connection, so that a cancellation closes it; it reports false when the call is cancelled.
func (n *Node) attach(j *job, k *backendConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	j.exchange = k
	return !j.cancelled
}

// talk writes a request and reads the answer that belongs to it.
func (b *backend) talk(j *job, k *backendConn, h *fasthttp.RequestHeader, remaining time.Duration) exchanged {
	if err := k.c.SetDeadline(time.Now().Add(remaining + answerMargin)); err != nil {
		k.close()
		return exchanged{end: endLost, why: "connection-closed", lost: true}
	}
	request := append(h.Header(), j.m.Body...)
	// A backend server may answer and close before it has read the body: its answer counts although the rest is not taken.
	_, unsent := k.c.Write(request)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.SkipBody = h.IsHead()
	for range maxStrayAnswers + 1 {
		if err := resp.ReadLimitBody(k.r, maxBody); err != nil {
			k.close()
			return lostExchange(err)
		}
		reply := b.n.deployment.ReadAnswer(&resp.Header)
		if reply.ID == j.m.RequestID || reply.ID == "" {
			if unsent != nil {
				resp.SetConnectionClose()
			}
			return b.judge(j, k, resp, reply)
		}
		b.n.log.Warn("stray-answer", "request", j.m.RequestID, "answer-to", reply.ID)
	}
	k.close()
	return exchanged{end: endLost, why: "stray-answers"}
}

func lostExchange(err error) exchanged {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return exchanged{end: endLost, why: "backend-server-timeout"}
	}
	return exchanged{end: endLost, why: "backend-server-broke-off", lost: true}
}

// judge turns an answer into the end of a call and keeps the connection when it can carry another one.
func (b *backend) judge(j *job, k *backendConn, resp *fasthttp.Response, reply Reply) exchanged {
	b.keep(k, resp, reply)
	switch {
	case reply.OtherBackend:
		return exchanged{end: endRejected, why: "other-backend-server", status: resp.StatusCode(), refused: true}
	case reply.NotRun:
		return exchanged{end: endRejected, why: "backend-server", status: resp.StatusCode()}
	case !reply.Stamped || reply.ID == "":
		b.n.log.Warn("answer-not-stamped", "request", j.m.RequestID, "status", resp.StatusCode(), "id", reply.ID)
		return exchanged{end: endLost, why: "answer-not-stamped"}
	}
	return exchanged{end: endAnswered, status: resp.StatusCode(), head: answerHead(&resp.Header), body: bytes.Clone(resp.Body())}
}

// keep returns a connection to the idle ones unless it is closing or holds bytes that belong to no request.
func (b *backend) keep(k *backendConn, resp *fasthttp.Response, reply Reply) {
	if resp.ConnectionClose() || k.r.Buffered() > 0 || !reply.Stamped && !reply.NotRun {
		k.close()
		return
	}
	if reply.IdleTimeout > 0 {
		k.keep = time.Duration(idleShare * float64(reply.IdleTimeout))
	}
	b.put(b.n.clock.Now(), k)
}

// noteLost finds out whether the backend server ended while a call ran, and records the calls that were running then.
func (n *Node) noteLost(j *job, current directory.Incarnation, x exchanged) bool {
	if j.isCancelled() || x.why == "backend-server-timeout" {
		return false
	}
	pause := time.NewTimer(crashCheckPause)
	<-pause.C
	c, err := link.Dial(n.backend.address, backendDialTimeout)
	if err == nil {
		_ = c.Close()
		return false
	}
	n.backendLost(current, "refused")
	return true
}

func (j *job) isCancelled() bool {
	j.n.mu.Lock()
	defer j.n.mu.Unlock()
	return j.cancelled
}

// backendLost records that the backend server has ended, and tells other nodes which requests it was running.
func (n *Node) backendLost(b directory.Incarnation, why string) {
	now := n.clock.Now()
	n.mu.Lock()
	current, _ := n.tracker.Current()
	if current != b || !n.tracker.Lost() {
		n.mu.Unlock()
		return
	}
	var digests []uint64
	for _, j := range n.jobs {
		if j.running {
			digests = append(digests, j.m.Digest)
		}
	}
	reports := n.poison.Crashed(now, b.ID+"@"+time.UnixMilli(b.Born).UTC().Format(time.RFC3339Nano), digests)
	kept := n.directoryChangedLocked()
	n.mu.Unlock()
	n.transport.Connect(kept)
	n.backend.drop()
	n.log.Warn("backend-server-lost", "id", b.ID, "why", why, "running", len(digests))
	n.metrics.Add("backend-server-losses", 1)
	if len(reports) > 0 {
		n.transport.Broadcast(encode(notice{Crashes: reports}))
	}
}

// runLater runs a job on a goroutine of its own when all workers are busy.
func (n *Node) runLater(j *job) func(ctx context.Context) error {
	return func(context.Context) error {
		n.run(j)
		return nil
	}
}
