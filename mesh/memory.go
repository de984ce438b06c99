package mesh

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/intake"
	"lovagelane/memory"
)

const (
	// memoryShare is the share of the memory limit that may be held for peers. The rest is for the program, and for what the garbage
	// collector has not freed yet.
	memoryShare = 0.5
	// defaultMemory is what may be held for peers without a memory limit, and minMemory what may be held in any case: a body of
	// maxBodyBytes must fit into the share of each kind.
	defaultMemory = 256 << 20
	minMemory     = (answerCopies + 1) * maxBodyBytes
	// callerWriteTimeout is how long a caller may take to read 64 KB of its answer.
	callerWriteTimeout = 10 * time.Second
	// maxAnswerSizes bounds the routes whose answer size is stored.
	maxAnswerSizes = 4096
	// smallAnswer is the size of an answer up to which a request runs without room for its answer.
	smallAnswer = 8 << 10
	// answerSizeDecay is the divisor of the stored size that gives its decrease with each smaller answer.
	answerSizeDecay = 16
)

// memoryLimit returns the bytes that a node may hold for its peers.
func memoryLimit(memoryMB int) int64 {
	if memoryMB == 0 {
		return defaultMemory
	}
	return max(int64(memoryShare*float64(memoryMB)*(1<<20)), minMemory)
}

// reserveBody reserves memory for the body of a request of a caller, and waits for it no longer than the request may wait for a slot
// and half of its time. Meanwhile the body is not read, so that its caller is held back.
func (n *Node) reserveBody(h *fasthttp.RequestHeader, size int64) (*memory.Reservation, bool) {
	meta := n.deployment.ReadRequest(h)
	r := &request{id: meta.ID, arrived: n.clock.Now()}
	wait := time.Duration(0)
	if cfg := n.config.Load(); cfg != nil {
		if route, remaining, ok := findRoute(cfg, h, meta.Remaining); ok {
			caller, _ := cfg.Identify(route, meta.Key)
			r.setRoute(cfg, route, caller)
			r.deadline = r.arrived.Add(remaining)
			wait = min(maxQueueWait(route, r.rank, remaining, 0, cfg.LeastImportantRank()), remaining/2)
		}
	}
	ctx, cancel := context.WithTimeout(n.group.Context(), wait)
	defer cancel()
	reserved, ok := n.memory.Reserve(ctx, memory.Requests, r.rank, size)
	if !ok {
		n.metrics.Add("memory-refusals", 1, memory.Requests.String())
		n.logOutcome("request-refused", r, fasthttp.StatusServiceUnavailable, "no-memory", "bytes", size)
	}
	return reserved, ok
}

// reserveDelivery reserves memory for the answer to a request if recent answers of its route were large, before the request runs. It
// reports false if there is none for as long as the request may wait, or if the caller has left meanwhile.
func (n *Node) reserveDelivery(r *request) bool {
	n.mu.Lock()
	size := int64(0)
	if stored := n.answerSizes.Get(r.route.Name); stored != nil {
		size = *stored
	}
	n.mu.Unlock()
	now := n.clock.Now()
	wait := r.maxWait
	if latest, stopping := n.latestStart(r); stopping {
		wait = min(wait, latest.Sub(now))
	}
	var ok bool
	if size <= memory.FreeBytes {
		ok = r.takeAnswer(wait, size)
	} else {
		ctx, cancel := context.WithTimeout(n.group.Context(), wait)
		defer cancel()
		r.delivery, ok = n.memory.Reserve(ctx, memory.Deliveries, r.rank, size)
	}
	r.waited += n.clock.Now().Sub(now)
	if !ok {
		n.metrics.Add("memory-refusals", 1, kindOf(size).String())
		return false
	}
	select {
	case <-r.callerGone:
		return false // It left during the wait, and the request must not run.
	default:
		return true
	}
}

// kindOf returns the kind under which the answer of a size is held for its caller.
func kindOf(size int64) memory.Kind {
	if size <= memory.FreeBytes {
		return memory.Connections
	}
	return memory.Deliveries
}

// holdDelivery passes the memory reserved for an answer on to the connection of the caller, until the answer has been read. Without
// room among the deliveries, the answer of the own backend server keeps the memory that it was read into. That of another node is in
// memory already and is held unreserved.
func (n *Node) holdDelivery(x *intake.Exchange, r *request, res result) {
	served, ok := res.(servedResult)
	if !ok {
		r.delivery.Release()
		return
	}
	size, reserved := int64(len(served.answer.Body)), served.answer.reserved
	reserved.Shrink(size)
	switch {
	case size <= memory.FreeBytes:
		r.delivery.Release()
		reserved.Release()
		r.delivery = nil
	case r.delivery.Size() >= size:
		r.delivery.Shrink(size)
		reserved.Release()
	case reserved != nil:
		r.delivery.Release()
		reserved.Move(memory.Deliveries)
		r.delivery = reserved
	default:
		ctx, cancel := context.WithCancel(n.group.Context())
		cancel()
		if r.delivery == nil {
			r.delivery, _ = n.memory.Reserve(ctx, memory.Deliveries, r.rank, size)
		} else {
			r.delivery.Grow(ctx, size)
		}
	}
	x.HoldAnswer(r.delivery)
}

// recordAnswerSizeLocked records the size of an answer. The stored size of a route follows larger answers at once and smaller ones
// slowly.
func (n *Node) recordAnswerSizeLocked(route string, size int64) {
	stored := n.answerSizes.Get(route)
	switch {
	case stored != nil:
		*stored = max(size, *stored-*stored/answerSizeDecay)
	case size > smallAnswer:
		*n.answerSizes.GetOrAdd(route) = size
	}
}

// handleClosedCaller logs a caller whose connection was closed against its will.
func (n *Node) handleClosedCaller(peer string, reason intake.CloseReason, held int64) {
	n.metrics.Add("callers-closed", 1, string(reason))
	if reason == intake.SlowReader {
		n.metrics.Add("slow-callers", 1)
		n.log.Warn("caller-too-slow", "peer", peer, "unwritten", held, "limit", callerWriteTimeout)
		return
	}
	n.log.Warn("caller-closed", "peer", peer, "why", string(reason), "held", held, "connections", n.callers.Connections())
}

// reportMemory updates the gauges of the memory that is held for peers.
func (n *Node) reportMemory() {
	for _, kind := range []memory.Kind{memory.Requests, memory.Deliveries, memory.Answers, memory.Connections} {
		n.metrics.Set("held-bytes", n.memory.Used(kind), kind.String())
	}
	n.metrics.Set("memory-waits", int64(n.memory.Waiting()))
	peers, largest := n.memory.Peers()
	n.metrics.Set("caller-connections", int64(n.callers.Connections()))
	n.metrics.Set("caller-peers", int64(peers))
	n.metrics.Set("largest-peer-bytes", largest)
}
