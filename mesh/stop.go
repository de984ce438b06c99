package mesh

import (
	"context"
	"time"

	"lovagelane/directory"
)

const (
	// defaultGrace is the time to stop when the deployment states none.
	defaultGrace = 6 * time.Second
	// leaveTime is how long a stopping node goes on taking requests: callers are told by the readiness question, which is
	// asked once a second and must fail twice. After that only requests that end within the grace are taken, and none of
	// other nodes.
	leaveTime = 2800 * time.Millisecond
	// stopReserve is the end of the grace in which connections are closed. A process that gets its share of the processor in
	// quotas of 100 ms needs several of them for that.
	stopReserve = 800 * time.Millisecond
	// stopCheck is the period at which a stopping node checks whether anything is under way.
	stopCheck = 20 * time.Millisecond
)

// Stop takes the node out of service without cutting off a request: callers are told to leave, calls of other nodes are
// taken for as long if they end in time, and what is under way is finished within the grace.
func (n *Node) Stop() error {
	start := n.clock.Now()
	grace := n.settings.Grace
	if grace == 0 {
		grace = defaultGrace
	}
	end := start.Add(grace - stopReserve - answerMargin)
	if !n.stopping.CompareAndSwap(false, true) {
		return nil
	}
	n.callsEnd.Store(&end)
	n.log.Info("node-stopping", "requests", n.requests.Load(), "grace", grace)
	n.mu.Lock()
	_, state := n.tracker.Current()
	n.mu.Unlock()
	if state == directory.Leaving {
		ctx, cancel := context.WithTimeout(n.group.Context(), recordTimeout)
		n.removeNode(ctx)
		cancel()
	}
	ctx, cancel := context.WithTimeout(n.group.Context(), grace-stopReserve)
	defer cancel()
	wait(ctx, min(leaveTime, grace/2))
	n.callsEnd.Store(nil)
	n.takeUntil(end)
	n.finishAll(ctx)
	// A request that arrives from here on would lose its connection.
	n.takeUntil(start)
	n.finishAll(ctx)
	left := n.underWay()
	n.closeServers(stopReserve / 4)
	n.store.Close()
	err := n.group.StopWithin(stopReserve / 4)
	n.log.Info("node-stopped", "took", n.clock.Now().Sub(start), "cut-off", left)
	return err
}

// closeServers closes listeners and connections; those that a request is under way on get the given time.
func (n *Node) closeServers(grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	for _, s := range n.servers {
		_ = s.ShutdownWithContext(ctx) // Connections that are still open are closed with the process.
	}
	// A server that has not begun to serve doesn't know its listener yet.
	for _, ln := range n.listeners {
		_ = ln.Close() // Most are closed already.
	}
}

// takeUntil has requests refused that may end later.
func (n *Node) takeUntil(end time.Time) { n.ends.Store(&end) }

// takesCall reports whether a node that stops takes a call of another one, which has other backend servers to go to.
func (n *Node) takesCall(deadline time.Time) bool {
	end := n.callsEnd.Load()
	return end != nil && !deadline.After(*end)
}

// finishAll waits until nothing is under way or ctx ends.
func (n *Node) finishAll(ctx context.Context) {
	for ctx.Err() == nil && n.underWay() > 0 {
		wait(ctx, stopCheck)
	}
}

// underWay returns the number of requests and calls that are not finished.
func (n *Node) underWay() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return int(n.requests.Load()) + len(n.jobs)
}
