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
	// asked once a second and must fail twice.
	leaveTime = 3 * time.Second
	// stopReserve is the end of the grace in which connections are closed.
	stopReserve = 500 * time.Millisecond
	// stopCheck is the period at which a stopping node checks whether anything is under way.
	stopCheck = 20 * time.Millisecond
)

// Stop takes the node out of service without cutting off a request: other nodes are refused at once and go elsewhere,
// callers are told to leave, and what is under way is finished within the grace.
func (n *Node) Stop() error {
	start := n.clock.Now()
	if !n.stopping.CompareAndSwap(false, true) {
		return nil
	}
	grace := n.settings.Grace
	if grace == 0 {
		grace = defaultGrace
	}
	n.log.Info("node-stopping", "requests", n.requests.Load(), "grace", grace)
	n.mu.Lock()
	_, state := n.tracker.Current()
	n.mu.Unlock()
	if state == directory.Leaving {
		ctx, cancel := context.WithTimeout(n.group.Context(), recordTimeout)
		n.removeNode(ctx)
		cancel()
	}
	ctx, cancel := context.WithDeadline(n.group.Context(), time.Now().Add(grace-stopReserve))
	defer cancel()
	wait(ctx, leaveTime)
	for ctx.Err() == nil && n.underWay() > 0 {
		wait(ctx, stopCheck)
	}
	left := n.underWay()
	n.closing.Store(true)
	closing, cancelClosing := context.WithTimeout(context.Background(), stopReserve/2)
	defer cancelClosing()
	for _, s := range n.servers {
		_ = s.ShutdownWithContext(closing) // Connections that are still open are closed with the process.
	}
	err := n.group.Stop()
	n.log.Info("node-stopped", "took", n.clock.Now().Sub(start), "cut-off", left)
	return err
}

// underWay returns the number of requests and calls that are not finished.
func (n *Node) underWay() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return int(n.requests.Load()) + len(n.jobs)
}
