package mesh

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/answers"
	"lovagelane/directory"
	"lovagelane/disconnect"
	"lovagelane/kernel"
	"lovagelane/link"
	"lovagelane/memory"
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
	// initialBodyBytes is the first size of the buffer for a body whose length is not known.
	initialBodyBytes = 4 << 10
	// answerCopies is how often the body of an answer to another node is held at most: as read, in the message to that node, and until
	// it confirms it.
	answerCopies = 3
	// readCopies is how often a body counts while it is read: its parts are joined in the end, or the memory of the body before it is
	// not collected yet.
	readCopies = 2
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

// endsWithConnection is what a parsed head states as the content length of an answer that ends with its connection.
const endsWithConnection = -2

// backendConn is a connection to the own backend server. It carries one call at a time.
type backendConn struct {
	c        net.Conn
	r        *bufio.Reader
	lastUsed time.Time
	// idleTimeout is how long the connection may be idle.
	idleTimeout time.Duration
	// writeFailed is set once a write has failed. It may have taken the news of a reset from the socket, whose next read then sees a
	// regular end.
	writeFailed bool
	closeOnce   sync.Once
}

// answerError is a failure to read an answer.
type answerError string

// Error returns the reason of the failure, for logs and metrics.
func (e answerError) Error() string { return string(e) }

const errAnswerTooLarge = answerError("answer-too-large")

func (k *backendConn) close() { k.closeOnce.Do(func() { _ = k.c.Close() }) }

// exchangeResult is the result of a call at the backend server.
type exchangeResult struct {
	outcome outcome
	reason  string
	status  int
	head    []byte
	body    []byte
	// reserved is the memory reserved for the body.
	reserved *memory.Reservation
	// connectionLost is set when the connection broke while the call may have been running.
	connectionLost bool
	// crashed is set when the backend server crashed during the call.
	crashed bool
	// backendGone is set when nothing listens at the backend server's address or another backend server answers there.
	backendGone bool
}

func newBackend(n *Node, address string) *backend {
	return &backend{n: n, address: address}
}

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
func (b *backend) closeIdle() { closeAll(b.takeIdle(func(*backendConn) bool { return true })) }

// closeExpired closes connections whose idle timeout has passed.
func (b *backend) closeExpired(now time.Time) {
	closeAll(b.takeIdle(func(k *backendConn) bool { return now.Sub(k.lastUsed) >= k.idleTimeout }))
}

// takeIdle removes and returns the idle connections that match.
func (b *backend) takeIdle(match func(*backendConn) bool) []*backendConn {
	b.mu.Lock()
	defer b.mu.Unlock()
	var taken []*backendConn
	kept := b.idle[:0]
	for _, k := range b.idle {
		if match(k) {
			taken = append(taken, k)
		} else {
			kept = append(kept, k)
		}
	}
	clear(b.idle[len(kept):])
	b.idle = kept
	return taken
}

func closeAll(conns []*backendConn) {
	for _, k := range conns {
		k.close()
	}
}

// isClean reports whether an idle connection is open and has no unread bytes. Bytes after an answer belong to no request, so
// that such a connection can't be reused.
func (k *backendConn) isClean() bool { return k.r.Buffered() == 0 && disconnect.IsQuiet(k.c) }

// exchange sends a call to the backend server with the given id and reads its answer.
func (b *backend) exchange(j *job, id string, remaining time.Duration) exchangeResult {
	h, err := parseRequestHead(j.m.Head)
	if err != nil {
		return exchangeResult{outcome: outcomeUnreadable, reason: "head-unreadable"}
	}
	b.n.deployment.Prepare(h, ForwardMeta{Remaining: remaining, Backend: id, Caller: j.m.Caller, Account: j.m.Account})
	maxIdle := defaultBackendIdleTimeout
	if !j.m.Idempotent {
		maxIdle = nonIdempotentIdleTimeout
	}
	k, reused, err := b.acquire(b.n.clock.Now(), maxIdle)
	if err != nil {
		return exchangeResult{outcome: outcomeUnusable, reason: "backend-server-unreachable",
			backendGone: errors.Is(err, link.ErrRefused)}
	}
	if !b.n.attach(j, k) {
		k.close()
		return exchangeResult{outcome: outcomeBusy, reason: "cancelled"}
	}
	x := b.roundTrip(j, k, reused, h, remaining)
	if x.connectionLost && reused {
		x.reason += "-on-kept-connection"
	}
	return x
}

// hasEnded reports whether nothing listens at the address of the backend server. A connection that can't be opened for another
// reason, such as a full queue of new connections, does not tell that.
func (b *backend) hasEnded() bool {
	c, err := link.Dial(b.address, backendDialTimeout)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, link.ErrRefused)
}

// attach sets the connection of a job, so that a cancellation closes it. It reports false if the job is already cancelled.
func (n *Node) attach(j *job, k *backendConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	j.conn = k
	return !j.cancelled
}

// roundTrip writes a request and reads the answer with its request id.
func (b *backend) roundTrip(j *job, k *backendConn, reused bool, h *fasthttp.RequestHeader, remaining time.Duration) exchangeResult {
	if err := k.c.SetDeadline(time.Now().Add(remaining + answerMargin)); err != nil {
		k.close()
		return exchangeResult{outcome: outcomeLost, reason: "connection-closed", connectionLost: true}
	}
	// A backend server may answer and close before it has read the whole body. Its answer is valid despite the write error, if its end
	// is known.
	k.writeFailed = k.writeRequest(h.Header(), j.m.Body) != nil
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.StreamBody, resp.SkipBody = true, h.IsHead()
	for skipped := range maxStrayAnswers + 1 {
		if err := readAnswerHead(k.r, resp); err != nil {
			k.close()
			b.logMalformed(j, err)
			return readFailure(err)
		}
		meta := b.n.deployment.ReadAnswer(&resp.Header)
		// Only the first answer on a new connection can be told, without an id, from a late one to an earlier request.
		if meta.ID == j.m.RequestID || meta.ID == "" && !reused && skipped == 0 {
			if k.writeFailed {
				resp.SetConnectionClose()
			}
			return b.readAnswer(j, k, resp, meta)
		}
		b.n.log.Warn("stray-answer", "request", j.m.RequestID, "answer-to", meta.ID)
		b.n.metrics.Add("stray-answers", 1)
		if err := discardBody(resp); err != nil {
			k.close()
			return readFailure(err)
		}
	}
	k.close()
	return exchangeResult{outcome: outcomeLost, reason: "stray-answers"}
}

// readAnswerHead reads the head of an answer, behind which the body is a stream.
func readAnswerHead(r *bufio.Reader, resp *fasthttp.Response) error {
	if err := answers.Await(r); err != nil {
		return err
	}
	return kernel.Protect(func() error { return resp.ReadLimitBody(r, 0) })
}

// logMalformed logs what is wrong with an answer, if err says so.
func (b *backend) logMalformed(j *job, err error) {
	var malformed answers.MalformedError
	if errors.As(err, &malformed) {
		b.n.log.Warn("answer-head-malformed", "request", j.m.RequestID, "error", malformed)
		b.n.metrics.Add("malformed-answer-heads", 1)
	}
}

// writeRequest writes a request, and a large body without copying it.
func (k *backendConn) writeRequest(head, body []byte) error {
	if len(body) <= memory.FreeBytes {
		_, err := k.c.Write(append(head, body...))
		return err
	}
	buffers := net.Buffers{head, body}
	_, err := buffers.WriteTo(k.c)
	return err
}

// discardBody reads the body of an answer that is not used.
func discardBody(resp *fasthttp.Response) error {
	stream := resp.BodyStream()
	if stream == nil {
		return nil
	}
	_, err := io.CopyN(io.Discard, stream, maxBodyBytes+1)
	if err == nil {
		return errAnswerTooLarge
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	return resp.CloseBodyStream()
}

// readBody reads the body of an answer and returns it with the memory reserved for it. It waits for that memory at most until the
// deadline of the job. Before that is reserved, the buffer follows what has arrived, not the length that the answer states. A large
// body leaves little garbage, which takes memory beside what is reserved.
func (b *backend) readBody(j *job, resp *fasthttp.Response) (body []byte, reserved *memory.Reservation, err error) {
	stream, length := resp.BodyStream(), resp.Header.ContentLength()
	kept, largest := int64(1), maxBodyBytes
	if j.remote {
		kept = answerCopies
	}
	if length >= 0 {
		largest = length
	}
	switch {
	case stream == nil:
		return nil, nil, nil
	case length > maxBodyBytes:
		return nil, nil, errAnswerTooLarge
	case length < 0:
		body = make([]byte, 0, initialBodyBytes)
	default:
		body = make([]byte, 0, min(length+1, memory.FreeBytes))
	}
	for {
		if len(body) == cap(body) {
			size := min(2*cap(body), largest+1)
			if size > memory.FreeBytes {
				// In one step: answers that wait for more while they hold a part would wait for each other.
				if reserved, err = b.reserve(max(kept, readCopies)*int64(largest+1), j.deadline.Add(answerMargin)); err != nil {
					return nil, nil, err
				}
				if length < 0 {
					if body, err = readParts(body, stream); err != nil {
						return nil, reserved, err
					}
					reserved.Shrink(kept * int64(len(body)))
					return body, reserved, resp.CloseBodyStream()
				}
				size = largest + 1
			}
			body = append(make([]byte, 0, size), body...)
		}
		count, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case errors.Is(err, io.EOF):
			reserved.Shrink(kept * int64(len(body)))
			return body, reserved, resp.CloseBodyStream()
		case err != nil:
			return nil, reserved, err
		case len(body) > maxBodyBytes:
			return nil, reserved, errAnswerTooLarge
		}
	}
}

// bodyParts are buffers for parts of bodies of unknown length.
var bodyParts = sync.Pool{New: func() any { return new([memory.FreeBytes]byte) }}

// readParts reads a body of unknown length, of which start has been read, to its end.
func readParts(start []byte, stream io.Reader) ([]byte, error) {
	parts, size, free := []*[memory.FreeBytes]byte{}, len(start), []byte{}
	defer func() {
		for _, p := range parts {
			bodyParts.Put(p)
		}
	}()
	for {
		if len(free) == 0 {
			p := bodyParts.Get().(*[memory.FreeBytes]byte)
			parts, free = append(parts, p), p[:]
		}
		count, err := stream.Read(free)
		size, free = size+count, free[count:]
		switch {
		case size > maxBodyBytes:
			return nil, errAnswerTooLarge
		case errors.Is(err, io.EOF):
			body := append(make([]byte, 0, size), start...)
			for _, p := range parts {
				body = append(body, p[:min(len(p), size-len(body))]...)
			}
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// reserve reserves memory for the body of an answer.
func (b *backend) reserve(size int64, deadline time.Time) (*memory.Reservation, error) {
	ctx, cancel := context.WithDeadline(b.n.group.Context(), deadline)
	defer cancel()
	r, ok := b.n.memory.Reserve(ctx, memory.Answers, 0, size)
	if !ok {
		b.n.metrics.Add("memory-refusals", 1, memory.Answers.String())
		return nil, answerError("no-memory-for-answer")
	}
	return r, nil
}

func readFailure(err error) exchangeResult {
	var timeout net.Error
	var reason answerError
	var malformed answers.MalformedError
	switch {
	case errors.As(err, &reason):
		return exchangeResult{outcome: outcomeLost, reason: string(reason)}
	case errors.As(err, &malformed):
		// A backend server that crashes may send such bytes before.
		return exchangeResult{outcome: outcomeLost, reason: "answer-head-malformed", connectionLost: true}
	case errors.As(err, &timeout) && timeout.Timeout():
		return exchangeResult{outcome: outcomeLost, reason: "backend-server-timeout"}
	}
	return exchangeResult{outcome: outcomeLost, reason: "backend-server-broke-off", connectionLost: true}
}

// readAnswer reads the rest of the answer to a call, converts it to an exchangeResult and releases the connection.
func (b *backend) readAnswer(j *job, k *backendConn, resp *fasthttp.Response, meta AnswerMeta) exchangeResult {
	rejected := meta.OtherBackend || meta.NotRun
	if !rejected && (!meta.Signed || meta.ID == "") {
		k.close()
		b.n.log.Warn("answer-not-stamped", "request", j.m.RequestID, "status", resp.StatusCode(), "id", meta.ID)
		return exchangeResult{outcome: outcomeLost, reason: "answer-not-stamped"}
	}
	if rejected {
		if err := discardBody(resp); err != nil {
			k.close()
		} else {
			b.release(k, resp, meta)
		}
		if meta.OtherBackend {
			return exchangeResult{outcome: outcomeRejected, reason: "other-backend-server", status: resp.StatusCode(), backendGone: true}
		}
		return exchangeResult{outcome: outcomeRejected, reason: "backend-server", status: resp.StatusCode()}
	}
	h, hasBody := headerBeforeBody(resp), resp.BodyStream() != nil
	if hasBody && k.writeFailed && resp.Header.ContentLength() == endsWithConnection {
		k.close()
		return exchangeResult{outcome: outcomeLost, reason: "answer-end-unknown", connectionLost: true}
	}
	body, reserved, err := b.readBody(j, resp)
	if err != nil {
		k.close()
		reserved.Release()
		return readFailure(err)
	}
	b.release(k, resp, meta)
	if hasBody {
		h.SetContentLength(len(body))
	}
	return exchangeResult{outcome: outcomeAnswered, status: resp.StatusCode(), head: answerHead(h), body: body, reserved: reserved}
}

// headerBeforeBody returns the header of an answer without the trailer fields of its body, which fasthttp adds to the header as it
// reads them.
func headerBeforeBody(resp *fasthttp.Response) *fasthttp.ResponseHeader {
	if resp.Header.ContentLength() >= 0 {
		return &resp.Header
	}
	h := &fasthttp.ResponseHeader{}
	resp.Header.CopyTo(h)
	return h
}

// release returns a connection to the idle ones. It closes it if the answer asks for that or if there are unread bytes, which
// belong to no request.
func (b *backend) release(k *backendConn, resp *fasthttp.Response, meta AnswerMeta) {
	if resp.ConnectionClose() || k.r.Buffered() > 0 {
		k.close()
		return
	}
	if meta.IdleTimeout > 0 {
		k.idleTimeout = time.Duration(idleTimeoutShare * float64(meta.IdleTimeout))
	}
	b.pushIdle(b.n.clock.Now(), k)
}

// checkCrash reports whether the backend server crashed during a call whose connection was lost: it is taken as crashed if
// nothing listens at its address after crashCheckDelay. After a crash, the calls in flight are recorded as suspects.
func (n *Node) checkCrash(j *job, current directory.Incarnation, x exchangeResult) bool {
	if j.isCancelled() || x.reason == "backend-server-timeout" {
		return false
	}
	pause := time.NewTimer(crashCheckDelay)
	<-pause.C
	if !n.backend.hasEnded() {
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
