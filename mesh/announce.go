package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/directory"
	"lovagelane/kernel"
	"lovagelane/slots"
)

const (
	// recordTimeout bounds the time in which a leaving is put on record; the backend server waits a second for its answer.
	recordTimeout = 800 * time.Millisecond
	// recordRetry is the pause between attempts to write a row.
	recordRetry = 300 * time.Millisecond
	// nodesTable holds one row for each node, with its address as the key.
	nodesTable = "lovagelane-nodes"
)

// handleAnnouncement takes what the own backend server says of itself. A leaving is acknowledged once it is on record, so
// that this node keeps to it after a restart too.
func (n *Node) handleAnnouncement(ctx *fasthttp.RequestCtx) {
	a, err := n.deployment.ReadAnnouncement(ctx)
	if err != nil {
		n.metrics.Add("announcements-malformed", 1)
		n.log.Warn("announcement-malformed", "error", err)
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if a.Address != "" && a.Address != n.settings.BackendServer {
		n.log.Warn("announcement-of-another", "id", a.Backend.ID, "address", a.Address)
		ctx.SetStatusCode(fasthttp.StatusOK)
		return
	}
	if !n.hear(a) {
		ctx.Error("the leaving is not on record yet: send it again", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString("{}")
}

// hear takes an announcement and reports whether it is acknowledged.
func (n *Node) hear(a Announcement) bool {
	n.mu.Lock()
	current, _ := n.tracker.Current()
	if a.Gone && a.Backend.Born == 0 {
		if a.Backend.ID != current.ID {
			n.mu.Unlock()
			return true
		}
		a.Backend = current
	}
	heard := n.tracker.Hear(a.Backend, a.Sequence, a.Gone || a.Leaving)
	if heard == directory.HeardNothing {
		current, state := n.tracker.Current()
		recorded := state != directory.Leaving || current != a.Backend || n.recovery.recorded == current
		n.mu.Unlock()
		return recorded || n.record(a.Backend)
	}
	n.backendChangedLocked(a)
	kept := n.reviewBackendLocked()
	n.mu.Unlock()
	n.transport.Connect(kept)
	n.log.Info("backend-server-heard", "id", a.Backend.ID, "born", a.Backend.Born, "sequence", a.Sequence, "gone", a.Gone,
		"leaving", a.Leaving, "serving", heard == directory.HeardServing, "before", current.ID)
	if heard == directory.HeardLeaving {
		return n.record(a.Backend)
	}
	n.transport.Broadcast(n.ownNews())
	n.writeNodeSoon()
	return true
}

// ownNews tells other nodes what the own backend server has announced.
func (n *Node) ownNews() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.selfLocked()
	return encode(notice{Node: &self})
}

// backendChangedLocked takes what a new or changed backend server states.
func (n *Node) backendChangedLocked(a Announcement) {
	if a.Slots > 0 {
		n.slots = a.Slots
	}
	if a.Service != "" {
		n.service = a.Service
	}
}

// limitLocked sets how many calls the own backend server runs at once.
func (n *Node) limitLocked() {
	_, state := n.tracker.Current()
	if state != directory.Serving || !n.recovery.done {
		return
	}
	limit := n.slots
	if cfg := n.config.Load(); cfg != nil {
		if s, ok := cfg.Service(n.service); ok && s.MaxConnections > 0 {
			limit = min(limit, s.MaxConnections)
		}
	}
	n.queue.Open()
	// Calls wait only while every slot is in use, so a higher limit starts them at the next end of a call at the latest.
	n.applyAsync(n.queue.SetLimit(limit))
}

// applyAsync carries out what the queue decided; it must be called with the lock held.
func (n *Node) applyAsync(events []slots.Event) {
	if ends := n.applyLocked(n.clock.Now(), events); len(ends) > 0 {
		n.group.Go("tell", func(context.Context) error {
			tell(ends)
			return nil
		})
	}
}

// reviewBackendLocked follows a change of the own backend server: calls that wait for one that takes none go elsewhere at
// once. It returns the nodes to keep connections to.
func (n *Node) reviewBackendLocked() []string {
	_, state := n.tracker.Current()
	if state != directory.Serving {
		n.applyAsync(n.queue.Close())
	} else {
		n.limitLocked()
	}
	return n.directoryChangedLocked()
}

// record puts the leaving of the own backend server on record: in the store, or with other nodes while the store is away.
func (n *Node) record(b directory.Incarnation) bool {
	ctx, cancel := context.WithTimeout(n.group.Context(), recordTimeout)
	defer cancel()
	held := n.askToHold(b)
	written := make(chan struct{})
	n.group.Go("record-leaving", func(group context.Context) error {
		if n.writeNode(group) {
			close(written)
		}
		return nil
	})
	where := "store"
	select {
	case <-written:
	case <-held:
		where = "node"
	case <-ctx.Done():
		n.log.Warn("leaving-not-recorded", "id", b.ID)
		return false
	}
	n.mu.Lock()
	n.recovery.recorded = b
	n.mu.Unlock()
	n.log.Info("leaving-recorded", "id", b.ID, "where", where)
	return true
}

// askToHold asks other nodes to keep a leaving; the channel is closed when one of them does.
func (n *Node) askToHold(b directory.Incarnation) <-chan struct{} {
	n.mu.Lock()
	held, ok := n.holds[b]
	if !ok {
		held = make(chan struct{})
		n.holds[b] = held
	}
	n.mu.Unlock()
	n.transport.Broadcast(encode(notice{Hold: &leaving{Address: n.settings.CallsAddress, Backend: b}}))
	return held
}

// writeNodeSoon has the row of this node written while the caller goes on.
func (n *Node) writeNodeSoon() {
	n.group.Go("write-node", func(ctx context.Context) error {
		n.writeNode(ctx)
		return nil
	})
}

// writeNode writes the row of this node until it stands in the store, and reports whether it does. Each write expects the
// version that is known, so that one whose answer was lost and that takes effect late can't undo a later one.
func (n *Node) writeNode(ctx context.Context) bool {
	for ctx.Err() == nil {
		n.mu.Lock()
		self := n.selfLocked()
		entry, known := n.directory.Entry(self.Address)
		n.mu.Unlock()
		if known && !entry.Removed && entry.Node == self {
			return true
		}
		expected := uint64(0)
		if known && !entry.Removed {
			expected = entry.Version
		}
		version, err := n.store.Write(ctx, nodesTable, Write{Key: self.Address, Value: encode(self), Expect: kernel.Some(expected)})
		if err == nil {
			n.log.Info("node-written", "state", self.State.String(), "id", self.Backend.ID, "version", version)
			n.mergeRows([]directory.Entry{{Node: self, Version: version}})
			continue
		}
		n.log.Warn("node-not-written", "expected", expected, "error", err)
		if errors.Is(err, ErrConflict) {
			if err := n.readDirectory(ctx); err == nil {
				continue
			}
		}
		wait(ctx, n.rand.Jitter(recordRetry, 0.5))
	}
	return false
}

// forget removes the rows of nodes of the own region that could not be reached for so long that they are taken to have ended
// without a word. One that lives after all sees that its row is gone and writes it again. Nodes of other regions are left to
// their own region, since regions may be apart for long.
func (n *Node) forget(ctx context.Context, after time.Duration) {
	n.mu.Lock()
	nodes := n.directory.Nodes()
	n.mu.Unlock()
	for _, node := range nodes {
		if node.Region != n.settings.Region || node.Address == n.settings.CallsAddress {
			continue
		}
		silent := n.transport.Unreachable(node.Address)
		if silent < after {
			continue
		}
		n.mu.Lock()
		entry, known := n.directory.Entry(node.Address)
		n.mu.Unlock()
		if !known || entry.Removed {
			continue
		}
		version, err := n.store.Write(ctx, nodesTable, Write{Key: node.Address, Remove: true, Expect: kernel.Some(entry.Version)})
		if err != nil {
			n.log.Warn("node-not-forgotten", "node", node.Address, "error", err)
			continue
		}
		n.log.Info("node-forgotten", "node", node.Address, "service", node.Service, "silent", silent)
		entry.Version, entry.Removed = version, true
		n.mergeRows([]directory.Entry{entry})
	}
}

// removeNode removes the row of this node, as its backend server has left.
func (n *Node) removeNode(ctx context.Context) {
	n.mu.Lock()
	entry, known := n.directory.Entry(n.settings.CallsAddress)
	n.mu.Unlock()
	if !known || entry.Removed {
		return
	}
	_, err := n.store.Write(ctx, nodesTable, Write{Key: n.settings.CallsAddress, Remove: true, Expect: kernel.Some(entry.Version)})
	if err != nil && !errors.Is(err, ErrConflict) {
		n.log.Warn("node-not-removed", "error", err)
		return
	}
	n.log.Info("node-removed")
}
