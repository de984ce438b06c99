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
	// departureTimeout limits the time to record a departure. It is less than the one second that the backend server waits
	// for the response to its announcement.
	departureTimeout = 800 * time.Millisecond
	// writeRetryDelay is the longest delay between attempts to write a row.
	writeRetryDelay = 300 * time.Millisecond
	// nodesTable is the table with one row for each node, keyed by the address of the node.
	nodesTable = "lovagelane-nodes"
)

// handleAnnouncement handles announcements of the own backend server. A departure is acknowledged only once it is recorded
// in the store or at another node, so that this node still honours it after a restart.
func (n *Node) handleAnnouncement(ctx *fasthttp.RequestCtx) {
	var a Announcement
	err := kernel.Protect(func() (err error) {
		a, err = n.deployment.ReadAnnouncement(ctx)
		return err
	})
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
	recordCtx, cancel := context.WithTimeout(n.group.Context(), departureTimeout)
	defer cancel()
	if !n.applyAnnouncement(recordCtx, a) {
		ctx.Error("the leaving is not on record yet: send it again", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString("{}")
}

// applyAnnouncement applies an announcement and reports whether it may be acknowledged. It waits at most until ctx ends.
func (n *Node) applyAnnouncement(ctx context.Context, a Announcement) bool {
	if a.Deregistered && a.Backend.StartMillis == 0 {
		b, known := n.findIncarnation(ctx, a.Backend.ID)
		if !known {
			return n.departUnknown(ctx, a.Backend.ID)
		}
		a.Backend = b
	}
	n.mu.Lock()
	current, _ := n.tracker.Current()
	transition := n.tracker.Observe(a.Backend, a.Sequence, a.Deregistered || a.Leaving)
	n.recordColdStartLocked(a)
	if transition == directory.NoTransition {
		current, state := n.tracker.Current()
		recorded := state != directory.Leaving || current != a.Backend || n.recovery.recordedDeparture == current
		n.mu.Unlock()
		return recorded || n.recordDeparture(ctx, a.Backend, n.writeOwnRow)
	}
	n.setBackendLocked(a)
	peers := n.backendStateChangedLocked()
	n.mu.Unlock()
	n.transport.SetPersistentPeers(peers)
	n.log.Info("backend-server-heard", "id", a.Backend.ID, "born", a.Backend.StartMillis, "sequence", a.Sequence, "gone", a.Deregistered,
		"leaving", a.Leaving, "serving", transition == directory.BecameServing, "before", current.ID)
	if transition == directory.BecameLeaving {
		return n.recordDeparture(ctx, a.Backend, n.writeOwnRow)
	}
	n.transport.Broadcast(n.selfUpdate())
	n.writeOwnRowAsync()
	return true
}

// findIncarnation returns the incarnation of the own backend server with an id: the current one, or the one in the row of this node.
// Until its recovery is complete, a node may lack its row, so that an unknown id is looked up again until then or until ctx ends.
func (n *Node) findIncarnation(ctx context.Context, id string) (directory.Incarnation, bool) {
	for {
		n.mu.Lock()
		current, _ := n.tracker.Current()
		row, _ := n.directory.Entry(n.settings.CallsAddress)
		recovered := n.recovery.done
		n.mu.Unlock()
		switch stored := row.Node.Backend; {
		case current.ID == id:
			return current, true
		case stored.ID == id && stored.StartMillis >= current.StartMillis:
			return stored, true
		case recovered || ctx.Err() != nil:
			return directory.Incarnation{}, false
		}
		sleep(ctx, recoveryCheckInterval)
	}
}

// departUnknown records the departure of a backend server whose start is not known. It holds for each start up to now.
func (n *Node) departUnknown(ctx context.Context, id string) bool {
	if !n.isRecovered() {
		return false
	}
	b := directory.Incarnation{ID: id, StartMillis: n.clock.Now().UnixMilli()}
	n.mu.Lock()
	n.tracker.MarkLeaving(b)
	n.mu.Unlock()
	n.log.Info("unknown-backend-server-gone", "id", id)
	return n.recordDeparture(ctx, b, func(ctx context.Context) bool { return n.writeDepartedRow(ctx, b) })
}

// writeDepartedRow writes a row of this node that records a departure, unless it has a row already, and reports whether the store
// holds it.
func (n *Node) writeDepartedRow(ctx context.Context, b directory.Incarnation) bool {
	n.mu.Lock()
	self := n.selfLocked()
	entry, known := n.directory.Entry(self.Address)
	known = known && entry.Era == n.directory.Position().Era
	n.mu.Unlock()
	if known || self.State != directory.Absent {
		return false
	}
	self.State, self.Backend = directory.Leaving, b
	at, err := n.store.Write(ctx, nodesTable, Write{Key: self.Address, Value: encode(self), Expect: kernel.Some[uint64](0)})
	if err != nil {
		n.log.Warn("node-not-written", "expected", 0, "error", err)
		return false
	}
	n.mergeRows([]directory.Entry{directory.Entry{Node: self}.WithPosition(at)})
	return true
}

// selfUpdate returns an encoded gossip message with the directory record of this node.
func (n *Node) selfUpdate() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.selfLocked()
	return encode(gossipMessage{Node: &self})
}

// setBackendLocked stores the slots and the service of an announcement.
func (n *Node) setBackendLocked(a Announcement) {
	if a.Slots > 0 {
		n.slots = a.Slots
	}
	if a.Service != "" {
		n.service = a.Service
	}
}

// updateLimitLocked sets the concurrency limit of the own backend server and opens its queue.
func (n *Node) updateLimitLocked() {
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
	limit = n.learnedLimitLocked(limit)
	n.queue.Open()
	// Calls are queued only while all slots are in use, so a raised limit takes effect when a running call ends at the latest.
	n.applyEventsAsync(n.queue.SetLimit(limit))
}

// applyEventsAsync applies queue events and runs their callbacks on another goroutine. The caller holds n.mu.
func (n *Node) applyEventsAsync(events []slots.Event) {
	if callbacks := n.applyEventsLocked(n.clock.Now(), events); len(callbacks) > 0 {
		n.group.Go("tell", func(context.Context) error {
			runAll(callbacks)
			return nil
		})
	}
}

// backendStateChangedLocked updates the queue and the candidates after a change of the own backend server or of the
// configuration. If the backend server takes no calls, its queued calls are returned at once so that they can go to other
// nodes. It returns the addresses of the nodes to keep connections to.
func (n *Node) backendStateChangedLocked() []string {
	_, state := n.tracker.Current()
	if state != directory.Serving {
		n.applyEventsAsync(n.queue.Close())
	} else {
		n.updateLimitLocked()
	}
	return n.updateCandidatesLocked()
}

// recordDeparture records that the own backend server is leaving. It reports true once write has put the record into the store or
// another node keeps it, whichever comes first.
func (n *Node) recordDeparture(ctx context.Context, b directory.Incarnation, write func(context.Context) bool) bool {
	acked := n.replicateDeparture(b)
	written := make(chan struct{})
	n.group.Go("record-leaving", func(group context.Context) error {
		if write(group) {
			close(written)
		}
		return nil
	})
	where := "store"
	select {
	case <-written:
	case <-acked:
		where = "node"
	case <-ctx.Done():
		n.log.Warn("leaving-not-recorded", "id", b.ID)
		return false
	}
	n.mu.Lock()
	n.recovery.recordedDeparture = b
	delete(n.departureAcks, b)
	n.mu.Unlock()
	n.log.Info("leaving-recorded", "id", b.ID, "where", where)
	return true
}

// replicateDeparture sends a departure to other nodes. The channel is closed when the first one confirms that it keeps it.
func (n *Node) replicateDeparture(b directory.Incarnation) <-chan struct{} {
	d := directory.Departure{Address: n.settings.CallsAddress, Backend: b}
	n.mu.Lock()
	acked, ok := n.departureAcks[b]
	if !ok {
		acked = make(chan struct{})
		n.departureAcks[b] = acked
	}
	n.directory.AddPendingDeparture(d) // For nodes that connect later.
	n.mu.Unlock()
	n.transport.Broadcast(encode(gossipMessage{KeepDeparture: &d}))
	return acked
}

// writeOwnRowAsync writes the row of this node in the background.
func (n *Node) writeOwnRowAsync() {
	n.group.Go("write-node", func(ctx context.Context) error {
		n.writeOwnRow(ctx)
		return nil
	})
}

// writeOwnRow writes the row of this node and retries until the store holds its current state or ctx ends. It reports
// whether the store holds it. Each write is conditional on the known version of the row, so that a write whose answer was
// lost and that takes effect late can't overwrite a later one.
func (n *Node) writeOwnRow(ctx context.Context) bool {
	for ctx.Err() == nil {
		n.mu.Lock()
		self := n.selfLocked()
		entry, stored := n.ownRowLocked()
		n.mu.Unlock()
		if stored && entry.Node == self {
			return true
		}
		expected := entry.Version
		at, err := n.store.Write(ctx, nodesTable, Write{Key: self.Address, Value: encode(self), Expect: kernel.Some(expected)})
		if err == nil {
			n.log.Info("node-written", "state", self.State.String(), "id", self.Backend.ID, "era", at.Era, "version", at.Version)
			n.mergeRows([]directory.Entry{directory.Entry{Node: self}.WithPosition(at)})
			continue
		}
		n.log.Warn("node-not-written", "expected", expected, "error", err)
		if errors.Is(err, ErrConflict) && n.readDirectory(ctx) == nil {
			n.mu.Lock()
			entry, _ := n.ownRowLocked()
			n.mu.Unlock()
			if entry.Version != expected {
				continue
			}
		}
		sleep(ctx, n.rand.Jitter(writeRetryDelay, 0.5))
	}
	return false
}

// ownRowLocked returns the row of this node in the current era of the store. It returns false and a zero entry if there is none.
func (n *Node) ownRowLocked() (directory.Entry, bool) {
	entry, known := n.directory.Entry(n.settings.CallsAddress)
	if !known || entry.Removed || entry.Era < n.directory.Position().Era {
		return directory.Entry{}, false
	}
	return entry, true
}

// removeUnreachable removes the rows of nodes of the own region that have been unreachable for at least the given time: they
// are assumed to have stopped without deregistering. A node that still runs writes its row again when it sees that it was
// removed. Nodes of other regions are not removed here, since a partition between regions may last long.
func (n *Node) removeUnreachable(ctx context.Context, after time.Duration) {
	n.mu.Lock()
	nodes := n.directory.Nodes()
	n.mu.Unlock()
	for _, node := range nodes {
		if node.Region != n.settings.Region || node.Address == n.settings.CallsAddress {
			continue
		}
		unreachableFor := n.transport.UnreachableFor(node.Address)
		if unreachableFor < after {
			continue
		}
		n.mu.Lock()
		entry, known := n.directory.Entry(node.Address)
		lost := known && entry.Era < n.directory.Position().Era
		if lost {
			// It has not written its row again since the store lost it.
			n.directory.Forget(node.Address)
		}
		n.mu.Unlock()
		if lost {
			n.log.Info("node-forgotten", "node", node.Address, "service", node.Service, "silent", unreachableFor)
			n.handleDirectoryChange()
		}
		if !known || lost || entry.Removed {
			continue
		}
		at, err := n.store.Write(ctx, nodesTable, Write{Key: node.Address, Remove: true, Expect: kernel.Some(entry.Version)})
		if err != nil {
			n.log.Warn("node-not-forgotten", "node", node.Address, "error", err)
			continue
		}
		n.log.Info("node-forgotten", "node", node.Address, "service", node.Service, "silent", unreachableFor)
		entry.Removed = true
		n.mergeRows([]directory.Entry{entry.WithPosition(at)})
	}
}

// hasDepartedLocked reports whether the own backend server is leaving, by its announcements or by the row of this node.
func (n *Node) hasDepartedLocked() bool {
	_, state := n.tracker.Current()
	own, known := n.directory.Entry(n.settings.CallsAddress)
	return state == directory.Leaving || known && !own.Removed && own.Node.State == directory.Leaving
}

// removeOwnRow removes the row of this node, whose backend server is leaving, unless that still runs: the node may start again
// beside it, and then only the row tells that it must not be used.
func (n *Node) removeOwnRow(ctx context.Context) {
	n.mu.Lock()
	entry, stored := n.ownRowLocked()
	n.mu.Unlock()
	if !stored {
		return
	}
	if !n.backend.hasEnded() {
		n.log.Info("node-kept", "id", entry.Node.Backend.ID, "state", entry.Node.State.String())
		return
	}
	_, err := n.store.Write(ctx, nodesTable, Write{Key: n.settings.CallsAddress, Remove: true, Expect: kernel.Some(entry.Version)})
	if err != nil && !errors.Is(err, ErrConflict) {
		n.log.Warn("node-not-removed", "error", err)
		return
	}
	n.log.Info("node-removed")
}
