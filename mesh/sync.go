package mesh

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"lovagelane/directory"
)

const (
	// feedPollTimeout is how long one long poll of the change feed waits for a change.
	feedPollTimeout = 25 * time.Second
	// probeTimeout is the longest wait of a long poll of the configuration's feed by the first node of an availability zone, and
	// probeMargin is how much later the answer may come. A feed can be silent on an open connection, which only a timeout shows.
	probeTimeout = 2 * time.Second
	probeMargin  = time.Second
	// minRetryDelay and maxRetryDelay bound the exponential backoff after a failed call of the store.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// directoryBatchDelay is the longest delay between two reads of the directory's change feed. It batches changes, because the
	// store charges for each call. Meanwhile the changes also arrive by gossip from nodes that read them earlier.
	directoryBatchDelay = 2500 * time.Millisecond
	// recoveryPeerWait is how long a started node waits, after its first peer connected, for other nodes to return a
	// departure that they keep for it. It applies only if the store can't be read.
	recoveryPeerWait = 1500 * time.Millisecond
	// rewriteTime is how long after the store came back from an older copy a node is not taken as gone because its row is missing: the
	// nodes ask the store again within maxRetryDelay, and write their rows then.
	rewriteTime = 10 * time.Second
	// recoveryCheckInterval is the period at which a started node checks whether its recovery is complete.
	recoveryCheckInterval = 50 * time.Millisecond
)

// recovery is the progress of a started node in restoring the state from before its start.
type recovery struct {
	started time.Time
	// directoryRead is set once the directory was read from the store.
	directoryRead bool
	// firstPeerAt is when the first other node connected.
	firstPeerAt time.Time
	// done is set once the node knows whether its backend server was leaving before the start. Until then it sends no calls
	// to it.
	done bool
	// recordedDeparture is the backend server whose departure is recorded in the store or at another node.
	recordedDeparture directory.Incarnation
}

// tableWatch follows a table of the store.
type tableWatch struct {
	table string
	// batchDelay is the longest pause after a change.
	batchDelay time.Duration
	// probed is set if one node of each availability zone asks at short intervals.
	probed bool
	// onSnapshot gets all rows of the table, and onChange those that have changed, with the position of the store.
	onSnapshot, onChange func([]Row, directory.Position)

	// at is the position up to which the table was read.
	at directory.Position
	// retryDelay is the next pause after a failed call, and failedSince the time of the first of the last failures in a row.
	retryDelay  time.Duration
	failedSince time.Time
	// answered is how long after the start of the node the store last answered a call, in nanoseconds.
	answered atomic.Int64
}

// watchTable lists a table and then follows its change feed until ctx ends. It lists the table again when the feed no longer
// holds the changes since the last read, or is of another era.
func (n *Node) watchTable(ctx context.Context, w *tableWatch) error {
	w.retryDelay = minRetryDelay
	for ctx.Err() == nil {
		rows, at, err := n.store.List(ctx, w.table)
		if err != nil {
			n.backOff(ctx, w, "list", err)
			continue
		}
		w.at = at
		n.storeAnswered(w, "list", at)
		w.onSnapshot(rows, at)
		sleep(ctx, n.rand.Jitter(w.batchDelay, 0.5))
		for ctx.Err() == nil {
			rows, at, err := n.feed(ctx, w)
			gone := errors.Is(err, ErrHistoryGone)
			if err != nil && !gone {
				n.backOff(ctx, w, "feed", err)
				continue
			}
			n.storeAnswered(w, "feed", at)
			if gone || at.Era != w.at.Era {
				// Versions of another era don't tell which changes this node lacks.
				n.log.Info("store-history-gone", "table", w.table, "era", w.at.Era, "after", w.at.Version, "store-era", at.Era)
				sleep(ctx, n.rand.Jitter(minRetryDelay, 0.5))
				break
			}
			w.at.Version = max(w.at.Version, at.Version)
			if len(rows) > 0 {
				w.onChange(rows, at)
				sleep(ctx, n.rand.Jitter(w.batchDelay, 0.5))
			}
		}
	}
	return nil
}

// feed waits for changes of a table. One node of each availability zone asks for the configuration at short intervals and tells the
// others of a newer one, so that it reaches all of them soon even if the store leaves all feeds without an answer.
func (n *Node) feed(ctx context.Context, w *tableWatch) ([]Row, directory.Position, error) {
	wait := feedPollTimeout
	switch {
	case !w.failedSince.IsZero():
		// The store may have come back in another era, and only an answer tells.
		wait = 0
	case w.probed && n.isFirstInZone():
		wait = n.rand.Jitter(probeTimeout, 0.5)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait+probeMargin)
		defer cancel()
	}
	return n.store.Feed(ctx, w.table, w.at.Version, wait)
}

// isFirstInZone reports whether this node is the first of its availability zone that can be reached.
func (n *Node) isFirstInZone() bool {
	n.mu.Lock()
	nodes, self := n.directory.Nodes(), n.selfLocked()
	n.mu.Unlock()
	return directory.IsFirstInZone(nodes, self, func(address string) bool { return !n.transport.IsUnreachable(address) })
}

// backOff logs a failed call and pauses. The pause doubles with each failure in a row.
func (n *Node) backOff(ctx context.Context, w *tableWatch, call string, err error) {
	if w.failedSince.IsZero() {
		w.failedSince = n.clock.Now()
	}
	n.log.Warn("store-failed", "table", w.table, "call", call, "error", err, "pause", w.retryDelay)
	n.metrics.Add("store-failures", 1, call)
	sleep(ctx, n.rand.Jitter(w.retryDelay, 0.5))
	w.retryDelay = min(maxRetryDelay, 2*w.retryDelay)
}

// storeAnswered records an answer of the store with its position.
func (n *Node) storeAnswered(w *tableWatch, call string, at directory.Position) {
	now := n.clock.Now()
	w.answered.Store(int64(now.Sub(n.recovery.started)))
	w.retryDelay = minRetryDelay
	n.mu.Lock()
	n.noteEraLocked(at.Era)
	n.mu.Unlock()
	n.metrics.Set("store-era", int64(at.Era))
	if at.Version > 0 { // An answer without the history that was asked for states no version.
		n.metrics.Set("store-version", int64(at.Version), w.table)
	}
	if w.failedSince.IsZero() {
		return
	}
	n.log.Info("store-available", "table", w.table, "call", call, "failed-for", now.Sub(w.failedSince), "era", at.Era, "version", at.Version,
		"after", w.at.Version)
	w.failedSince = time.Time{}
}

// reportStore updates the gauges of how long the store has not answered.
func (n *Node) reportStore() {
	table, _ := n.deployment.ConfigRow()
	uptime := n.clock.Now().Sub(n.recovery.started)
	n.metrics.Set("store-answer-age-ms", (uptime - time.Duration(n.configWatch.answered.Load())).Milliseconds(), table)
	n.metrics.Set("store-answer-age-ms", (uptime - time.Duration(n.directoryWatch.answered.Load())).Milliseconds(), nodesTable)
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// syncConfig watches the operators' configuration in the store and applies it.
func (n *Node) syncConfig(ctx context.Context) error {
	table, key := n.deployment.ConfigRow()
	applyRows := func(rows []Row, at directory.Position) {
		for _, row := range rows {
			switch {
			case row.Key != key || row.Removed:
			case row.Err != nil:
				n.log.Error("config-refused", "source", "store", "error", row.Err)
			default:
				n.log.Info("config-read", "era", at.Era, "row-version", row.Version)
				n.applyConfig(row.Value, "store")
			}
		}
	}
	w := &n.configWatch
	w.table, w.probed, w.onSnapshot, w.onChange = table, true, applyRows, applyRows
	return n.watchTable(ctx, w)
}

// syncDirectory watches the table of nodes in the store and updates the directory.
func (n *Node) syncDirectory(ctx context.Context) error {
	w := &n.directoryWatch
	w.table, w.batchDelay, w.onSnapshot = nodesTable, directoryBatchDelay, n.replaceDirectory
	w.onChange = func(rows []Row, at directory.Position) {
		entries, _ := n.entriesOf(rows, at.Era)
		n.mergeRows(entries)
	}
	return n.watchTable(ctx, w)
}

// readDirectory reads the whole table of nodes.
func (n *Node) readDirectory(ctx context.Context) error {
	rows, at, err := n.store.List(ctx, nodesTable)
	if err != nil {
		return err
	}
	n.replaceDirectory(rows, at)
	return nil
}

func (n *Node) replaceDirectory(rows []Row, at directory.Position) {
	entries, malformed := n.entriesOf(rows, at.Era)
	n.mu.Lock()
	n.noteEraLocked(at.Era)
	keepEarlier := n.clock.Now().Sub(n.eraSeen) < rewriteTime
	n.directory.Replace(entries, malformed, at, keepEarlier)
	n.recovery.directoryRead = true
	n.mu.Unlock()
	n.handleDirectoryChange()
}

// noteEraLocked records the era of the store. In a later one than before, the store has lost changes, so that the table of nodes is read
// again now and once its nodes have had the time to write their rows again.
func (n *Node) noteEraLocked(era uint64) {
	if era <= n.era {
		return
	}
	before := n.era
	n.era = era
	if !n.recovery.directoryRead {
		return
	}
	n.log.Info("store-restored", "era", era, "known-era", before, "known-version", n.directory.Position().Version)
	n.metrics.Add("store-restored", 1)
	n.eraSeen = n.clock.Now()
	if !n.rereading {
		n.rereading = true
		n.group.Go("reread-directory", n.rereadDirectory)
	}
}

// rereadDirectory reads the table of nodes until it was read rewriteTime after the store came back from an older copy. It does not rely
// on the feed, which may wait on a connection that is silent.
func (n *Node) rereadDirectory(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := n.readDirectory(ctx); err != nil {
			n.log.Warn("store-failed", "table", nodesTable, "call", "list", "error", err, "pause", maxRetryDelay)
			sleep(ctx, n.rand.Jitter(maxRetryDelay, 0.5))
			continue
		}
		n.mu.Lock()
		remaining := rewriteTime - n.clock.Now().Sub(n.eraSeen)
		n.rereading = remaining > 0
		n.mu.Unlock()
		if remaining <= 0 {
			break
		}
		sleep(ctx, remaining)
	}
	return nil
}

// isLostLocked reports whether a row is of an era before the store came back from an older copy.
func (n *Node) isLostLocked(e directory.Entry) bool { return e.Era < n.era }

// entriesOf decodes rows of the table of nodes. It skips malformed rows, which another writer may leave, and returns their
// keys: they name no node to use, and what was known of the node at that key holds. In place of the row of this node it
// returns an entry without a backend server, whose version allows this node to write its row again.
func (n *Node) entriesOf(rows []Row, era uint64) (entries []directory.Entry, malformed []string) {
	for _, row := range rows {
		e := directory.Entry{Node: directory.Node{Address: row.Key}, Era: era, Version: row.Version, Removed: row.Removed}
		err := row.Err
		if err == nil && !row.Removed {
			err = decode(row.Value, &e.Node)
		}
		if err == nil && (e.Node.Address != row.Key || !e.Node.Valid()) {
			err = Err.New("the address, the state or another field is not valid: remove the row")
		}
		if err == nil {
			entries = append(entries, e)
			continue
		}
		n.logMalformedRow(row, err)
		if row.Key == n.settings.CallsAddress && row.Version > 0 {
			entries = append(entries, directory.Entry{Node: directory.Node{Address: row.Key}, Era: era, Version: row.Version})
		} else {
			malformed = append(malformed, row.Key)
		}
	}
	return entries, malformed
}

// logMalformedRow counts a malformed row and logs it once for each of its versions.
func (n *Node) logMalformedRow(row Row, err error) {
	n.mu.Lock()
	logged := n.malformedRows.GetOrAdd(row.Key)
	known := *logged == row.Version+1
	*logged = row.Version + 1
	n.mu.Unlock()
	if !known {
		n.metrics.Add("malformed-node-rows", 1)
		n.log.Warn("node-row-malformed", "key", row.Key, "version", row.Version, "error", err)
	}
}

// mergeRows merges rows from the store or from another node into the directory.
func (n *Node) mergeRows(entries []directory.Entry) {
	changed := 0
	n.mu.Lock()
	for _, e := range entries {
		n.noteEraLocked(e.Era)
		if n.directory.Merge(e) {
			changed++
		}
	}
	n.mu.Unlock()
	if changed > 0 {
		n.handleDirectoryChange()
	}
}

// handleDirectoryChange updates candidates and connections after a change of the directory, and writes the row of this node
// again if needed.
func (n *Node) handleDirectoryChange() {
	n.mu.Lock()
	n.setQuotaNodesLocked()
	peers := n.updateCandidatesLocked()
	own, known := n.directory.Entry(n.settings.CallsAddress)
	if known && own.Node.State == directory.Leaving {
		n.setDepartedLocked(own.Node.Backend)
	}
	record := n.ownRecordLocked()
	// Another writer has removed the row of this node or replaced it with another state, or the store has lost it.
	differs := own.Removed || n.isLostLocked(own) || own.Node.State != record.State || own.Node.Backend != record.Backend
	rewrite := known && record.State != directory.Absent && differs && !n.stopping.Load() && n.rowWriters.Load() == 0
	count := len(n.directory.Nodes())
	n.mu.Unlock()
	n.transport.SetPersistentPeers(peers)
	n.metrics.Set("nodes", int64(count))
	if rewrite {
		n.writeOwnRowAsync()
	}
}

// ownRecordLocked returns what the row of this node has to say. Until its backend server was heard, that is a departure recorded before
// the node started.
func (n *Node) ownRecordLocked() directory.Node {
	self := n.selfLocked()
	departed := n.recovery.recordedDeparture
	own, _ := n.directory.Entry(self.Address)
	if self.Backend == (directory.Incarnation{}) && departed != (directory.Incarnation{}) &&
		(n.isLostLocked(own) || own.Node.Backend.StartMillis <= departed.StartMillis) {
		self.State, self.Backend = directory.Leaving, departed
	}
	return self
}

// setDepartedLocked applies a recorded departure of the own backend server.
func (n *Node) setDepartedLocked(b directory.Incarnation) {
	n.recovery.recordedDeparture = b
	n.directory.AddPendingDeparture(directory.Departure{Address: n.settings.CallsAddress, Backend: b})
	if n.tracker.MarkLeaving(b) {
		n.applyEventsAsync(n.queue.Close())
	}
}

// awaitRecovery waits until the node knows whether its backend server was leaving before the node started. It learns this
// from the store or, while the store is unavailable, from the nodes that connect to it.
func (n *Node) awaitRecovery(ctx context.Context) error {
	for {
		now := n.clock.Now()
		n.mu.Lock()
		done := n.recovery.directoryRead || !n.recovery.firstPeerAt.IsZero() && now.Sub(n.recovery.firstPeerAt) > recoveryPeerWait
		var peers []string
		if done {
			n.recovery.done = true
			peers = n.backendStateChangedLocked()
		}
		source := "store"
		if !n.recovery.directoryRead {
			source = "nodes"
		}
		n.mu.Unlock()
		if done {
			n.transport.SetPersistentPeers(peers)
			n.log.Info("recovered", "source", source, "took", now.Sub(n.recovery.started))
			return nil
		}
		sleep(ctx, recoveryCheckInterval)
		if ctx.Err() != nil {
			return nil
		}
	}
}

// isRecovered reports whether the recovery after the start of the node is complete.
func (n *Node) isRecovered() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.recovery.done
}
