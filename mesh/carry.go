package mesh

import (
	"time"

	"lovagelane/dispatch"
	"lovagelane/link"
)

const (
	// maxHops bounds the nodes that are asked for one request.
	maxHops = 8
	// minRetryAfter is the shortest time after which a refused request may come back.
	minRetryAfter = 200 * time.Millisecond
	// noRoomRetry is when a request may come back that found no backend server of its service.
	noRoomRetry = time.Second
)

// carry sends a request to backend servers until one has run it or no other may be tried.
func (n *Node) carry(r *request) result {
	if n.quarantined(r.digest) {
		return refusedResult{why: "quarantined", retryAfter: longestWait}
	}
	for r.hops < maxHops {
		now := n.clock.Now()
		if !now.Before(r.deadline) {
			return r.refused("deadline")
		}
		choice, ok := n.choose(now, r)
		if !ok && r.capped {
			return r.refused("short-below")
		}
		if !ok {
			return r.refused("no-room")
		}
		r.hops++
		answer, lost := n.attempt(now, r, choice)
		if lost != nil {
			return lost
		}
		n.learn(r, choice.Address, answer)
		if res := n.next(r, choice, answer); res != nil {
			return res
		}
	}
	return r.refused("no-room")
}

// next returns how the request ends after an attempt, or nil when another backend server is to be tried.
func (n *Node) next(r *request, choice dispatch.Choice, a answerMessage) result {
	switch a.End {
	case endAnswered:
		return served{a}
	case endBusy:
		r.busy(choice, a)
	case endUnusable:
		r.excluded = r.excluded.With(choice.Address)
	case endQuarantined:
		return r.refused("quarantined")
	case endCapped:
		// Another region may have room below, and one way there costs less than the ways of all nested calls.
		r.capped = true
		r.excluded = r.excluded.With(choice.Address)
	case endExpired:
		return r.refused("deadline")
	case endRejected:
		r.excluded = r.excluded.With(choice.Address)
		if !n.mayRepeat(r) {
			return r.refused("rejected-" + a.Why)
		}
	case endLost:
		r.mayHaveRun = true
		r.excluded = r.excluded.With(choice.Address)
		if !r.route.Idempotent || a.Crashed || !n.mayRepeat(r) {
			return failedResult{why: a.Why}
		}
	}
	return nil
}

// busy notes that a node had no room in time. It is asked again only if the request may wait there longer than before.
func (r *request) busy(choice dispatch.Choice, a answerMessage) {
	waited := time.Duration(a.WaitedMicros) * time.Microsecond
	r.waited += waited
	if wait := a.Load.slots().Wait; r.shortest == 0 || wait < r.shortest {
		r.shortest = max(wait, minRetryAfter)
	}
	if waited >= choice.Wait || r.offered[choice.Address] >= choice.Wait {
		r.excluded = r.excluded.With(choice.Address)
	}
	if r.offered == nil {
		r.offered = map[string]time.Duration{}
	}
	r.offered[choice.Address] = choice.Wait
}

// refused is the end of a request that no backend server takes any more. Once one may have run it, the caller must not be
// told that it has not run.
func (r *request) refused(why string) result {
	switch {
	case r.mayHaveRun:
		return failedResult{why: why}
	case r.shortest == 0:
		return refusedResult{why: why, retryAfter: noRoomRetry}
	}
	return refusedResult{why: why, retryAfter: r.shortest}
}

func (n *Node) choose(now time.Time, r *request) (dispatch.Choice, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.chooser.Choose(now, dispatch.Query{Service: r.service, Route: r.route.Name, Objective: r.route.Objective,
		Exclude: r.excluded, Within: max(r.within-r.waited, 0)}, n.rand)
}

// mayRepeat takes a repeat from the shared budget when the route allows another backend server.
func (n *Node) mayRepeat(r *request) bool {
	now := n.clock.Now()
	if r.sent >= r.route.MaxAttempts || r.deadline.Sub(now) < minRetryAfter {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	ok := n.windows.Take(now, r.service, 1, len(n.directory.Nodes()))
	if ok {
		n.metrics.Add("repeats", 1, r.service)
	} else {
		n.metrics.Add("repeats-denied", 1, r.service)
	}
	return ok
}

// learn tells the chooser what an attempt showed.
func (n *Node) learn(r *request, address string, a answerMessage) {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.Load.Limit > 0 {
		n.chooser.Report(now, address, a.Load.slots())
	}
	var o dispatch.Outcome
	switch a.End {
	case endAnswered:
		r.sent++
		o = dispatch.Answered{Route: r.route.Name, Ran: time.Duration(a.RanMicros) * time.Microsecond}
	case endCapped:
		o = dispatch.Capped{Route: r.route.Name}
	case endUnusable:
		o = dispatch.Unusable{}
	case endRejected, endLost:
		r.sent++
		o = dispatch.Failed{}
		if a.unreachable {
			o = dispatch.Unusable{}
		}
	default:
		o = dispatch.Ended{}
	}
	n.chooser.Learn(now, address, o)
}

// attempt sends the request to one node and waits for the answer. It returns a result instead when the caller left or the
// time ran out.
func (n *Node) attempt(now time.Time, r *request, choice dispatch.Choice) (answerMessage, result) {
	m := callMessage{Service: r.service, Route: r.route.Name, RequestID: r.id, Caller: n.settings.Service, Rank: r.route.Rank,
		Idempotent: r.route.Idempotent, RemainingMS: r.deadline.Sub(now).Milliseconds(),
		WaitMS: choice.Wait.Milliseconds(), Digest: r.digest, Head: r.head, Body: r.body}
	if choice.Region {
		n.metrics.Add("calls-to-other-regions", 1, r.service)
	} else if choice.Zone {
		n.metrics.Add("calls-to-other-zones", 1, r.service)
	}
	timer := time.NewTimer(r.deadline.Add(answerMargin).Sub(now))
	defer timer.Stop()
	if choice.Address == n.settings.CallsAddress {
		return n.attemptHere(m, r.gone, timer.C)
	}
	p := n.transport.Peer(choice.Address).Call(encode(m))
	select {
	case res := <-p.Done:
		return n.answerOf(res)
	case <-r.gone:
		p.Cancel()
		return answerMessage{}, failedResult{why: "caller-left"}
	case <-timer.C:
		p.Cancel()
		return answerMessage{}, failedResult{why: "timeout", timeout: true}
	}
}

// attemptHere runs the call at the own backend server.
func (n *Node) attemptHere(m callMessage, gone <-chan struct{}, timeout <-chan time.Time) (answerMessage, result) {
	done := make(chan answerMessage, 1)
	j := n.submit(m, false, func(a answerMessage) { done <- a })
	select {
	case a := <-done:
		return a, nil
	case <-gone:
		j.cancel()
		return answerMessage{}, failedResult{why: "caller-left"}
	case <-timeout:
		j.cancel()
		return answerMessage{}, failedResult{why: "timeout", timeout: true}
	}
}

// answerOf reads what came back from another node.
func (n *Node) answerOf(res link.Result) (answerMessage, result) {
	switch res := res.(type) {
	case link.Answer:
		var a answerMessage
		if err := decode(res.Payload, &a); err != nil {
			n.log.Error("answer-malformed", "error", err)
			return answerMessage{End: endLost, Why: "answer-malformed"}, nil
		}
		return a, nil
	case link.Lost:
		if res.Sent {
			return answerMessage{End: endLost, Why: "node-lost", unreachable: true}, nil
		}
	}
	return answerMessage{End: endUnusable, Why: "node-unreachable"}, nil
}
