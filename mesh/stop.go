package mesh

import (
	"context"
	"time"
)

const (
	// defaultGrace is the grace period of a stop if the settings state none.
	defaultGrace = 6 * time.Second
	// callerDrainTime is how long a stopping node still accepts all requests of callers. Callers poll the readiness endpoint
	// once a second and leave after two failures. Afterwards the node accepts only requests whose deadline is within the
	// grace period, and no calls of other nodes.
	callerDrainTime = 2800 * time.Millisecond
	// closeReserve is the last part of the grace period, reserved for closing connections. A process under a CPU quota with a
	// period of 100 ms needs several periods for that.
	closeReserve = 800 * time.Millisecond
	// drainCheckInterval is the period at which a stopping node checks for requests and calls in flight.
	drainCheckInterval = 20 * time.Millisecond
	// minWithdrawTime is the least time before the end of a stop at which a waiting call is withdrawn, so that the answer of a
	// node in another region and the refusal arrive in time.
	minWithdrawTime = 300 * time.Millisecond
)

// stopSchedule holds the times of a planned stop.
type stopSchedule struct {
	// cutoff is when the last answers must be there.
	cutoff time.Time
}

// latestStart returns when a call with a typical run time must start at a backend server so that it ends before the cutoff.
func (s *stopSchedule) latestStart(typical time.Duration) time.Time {
	return s.cutoff.Add(-max(minWithdrawTime, runTimeReserve*typical))
}

// Stop drains the node and stops it. First the readiness endpoint fails, so that callers leave; meanwhile calls of other nodes
// are accepted if their deadline is early enough. Then requests and calls in flight may finish within the grace period. What
// still waits for a slot when it could no longer finish is refused as not run.
func (n *Node) Stop() error {
	started := n.clock.Now()
	grace := n.settings.Grace
	if grace == 0 {
		grace = defaultGrace
	}
	cutoff := started.Add(grace - closeReserve - answerMargin)
	if !n.stopping.CompareAndSwap(false, true) {
		return nil
	}
	n.stop.Store(&stopSchedule{cutoff: cutoff})
	close(n.stopStarted)
	n.callCutoff.Store(&cutoff)
	n.callers.Drain()
	n.releaseQuotas()
	n.log.Info("node-stopping", "requests", n.callers.Unanswered(), "grace", grace)
	ctx, cancel := context.WithTimeout(n.group.Context(), grace-closeReserve)
	defer cancel()
	n.mu.Lock()
	departed := n.hasDepartedLocked()
	n.mu.Unlock()
	if departed {
		// The times of the stop count from its beginning, also if the store does not answer.
		n.group.Go("remove-node", func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, departureTimeout)
			defer cancel()
			n.removeOwnRow(ctx)
			return nil
		})
	}
	sleep(ctx, min(callerDrainTime, grace/2))
	n.callCutoff.Store(nil)
	n.setRequestCutoff(cutoff)
	n.waitUntilIdle(ctx)
	// From here on, the connection of a new request would be closed before its answer.
	n.setRequestCutoff(started)
	n.waitUntilIdle(ctx)
	unfinished := n.inFlight()
	n.closeServers(closeReserve / 4)
	n.store.Close()
	err := n.group.StopWithin(closeReserve / 4)
	n.log.Info("node-stopped", "took", n.clock.Now().Sub(started), "cut-off", unfinished)
	return err
}

// closeServers closes listeners and connections. Connections with a request in flight may take up to the grace period.
func (n *Node) closeServers(grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	n.callers.Shutdown(ctx)
	for _, s := range n.servers {
		_ = s.ShutdownWithContext(ctx) // Connections that are still open are closed below.
	}
	n.localConns.closeAll()
	// Shutdown does not close the listener of a server that has not begun to serve.
	for _, ln := range n.listeners {
		_ = ln.Close() // Most are closed already.
	}
}

// setRequestCutoff makes the node refuse requests with a deadline after the cutoff.
func (n *Node) setRequestCutoff(cutoff time.Time) { n.requestCutoff.Store(&cutoff) }

// acceptsCall reports whether a stopping node accepts a call of another node with this deadline. The other node can send the
// call to another backend server instead.
func (n *Node) acceptsCall(deadline time.Time) bool {
	cutoff := n.callCutoff.Load()
	return cutoff != nil && !deadline.After(*cutoff)
}

// latestStart returns when a request must have started at a backend server because this node stops. It reports false if the node
// doesn't stop or the request ends before.
func (n *Node) latestStart(r *request) (time.Time, bool) {
	stop := n.stop.Load()
	if stop == nil || !r.deadline.After(stop.cutoff) {
		return time.Time{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return stop.latestStart(n.chooser.TypicalRunTime(r.route.Name)), true
}

// withdrawUnfinishable withdraws the queued calls that can't be finished before the node stops.
func (n *Node) withdrawUnfinishable() {
	stop := n.stop.Load()
	if stop == nil {
		return
	}
	now := n.clock.Now()
	var jobs []*job
	n.mu.Lock()
	for _, j := range n.jobs {
		typical := max(n.queue.MeanRunTime(), n.chooser.TypicalRunTime(j.m.Route))
		if !j.running && j.deadline.After(stop.cutoff) && !now.Before(stop.latestStart(typical)) {
			jobs = append(jobs, j)
		}
	}
	n.mu.Unlock()
	for _, j := range jobs {
		j.withdraw("stopping")
	}
}

// waitUntilIdle waits until nothing is in flight or ctx ends.
func (n *Node) waitUntilIdle(ctx context.Context) {
	for ctx.Err() == nil && n.inFlight() > 0 {
		sleep(ctx, drainCheckInterval)
	}
}

// inFlight returns the number of requests and calls in flight. A request is in flight until its answer has been written.
func (n *Node) inFlight() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.callers.Unanswered() + len(n.jobs)
}
