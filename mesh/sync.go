package mesh

import (
	"context"
	"errors"
	"time"

	"lovagelane/directory"
)

const (
	// feedWait is how long the store is asked to wait for a change.
	feedWait = 25 * time.Second
	// firstPause and longestPause bound the pause after a failed call of the store.
	firstPause   = 200 * time.Millisecond
	longestPause = 2 * time.Second
	// gather is the pause between two reads of the directory's feed, so that changes that come together are read together.
	// Calls of the store are paid, and nodes that read it sooner tell their neighbours meanwhile.
	gather = 2500 * time.Millisecond
	// recoveryWait is how long a node that has started waits for other nodes to tell what they hold for it, when the
	// store can't be read.
	recoveryWait = 1500 * time.Millisecond
	// recoveryCheck is the period at which a node that has started checks whether it knows enough.
	recoveryCheck = 50 * time.Millisecond
)

// recovery is what a node has learned since its start of what it did before.
type recovery struct {
	started time.Time
	// listed is set when the directory was read from the store.
	listed bool
	// greeted is when the first other node connected.
	greeted time.Time
	// done is set when the node knows whether its backend server was leaving; until then it sends it nothing.
	done bool
	// recorded is the leaving that is on record.
	recorded directory.Incarnation
}

// follow reads a table and then its changes, until ctx ends.
func (n *Node) follow(ctx context.Context, table string, gather time.Duration, all func([]Row, uint64), changed func([]Row)) error {
	pause := firstPause
	failed := func(what string, err error) {
		n.log.Warn("store-failed", "table", table, "call", what, "error", err, "pause", pause)
		n.metrics.Add("store-failures", 1, what)
		wait(ctx, n.rand.Jitter(pause, 0.5))
		pause = min(longestPause, 2*pause)
	}
	for ctx.Err() == nil {
		rows, version, err := n.store.List(ctx, table)
		if err != nil {
			failed("list", err)
			continue
		}
		pause = firstPause
		all(rows, version)
		wait(ctx, n.rand.Jitter(gather, 0.5))
		for ctx.Err() == nil {
			rows, next, err := n.store.Feed(ctx, table, version, feedWait)
			if errors.Is(err, ErrHistoryGone) {
				n.log.Info("store-history-gone", "table", table, "after", version)
				break
			}
			if err != nil {
				failed("feed", err)
				continue
			}
			pause = firstPause
			version = max(version, next)
			if len(rows) > 0 {
				changed(rows)
				wait(ctx, n.rand.Jitter(gather, 0.5))
			}
		}
	}
	return nil
}

// wait pauses until a time has passed or ctx ends.
func wait(ctx context.Context, d time.Duration) {
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

// syncConfig puts the operators' configuration in force as the store holds it.
func (n *Node) syncConfig(ctx context.Context) error {
	table, key := n.deployment.ConfigRow()
	take := func(rows []Row) {
		for _, row := range rows {
			if row.Key == key && !row.Removed {
				n.adopt(row.Value, "store")
			}
		}
	}
	return n.follow(ctx, table, 0, func(rows []Row, _ uint64) { take(rows) }, take)
}

// syncDirectory follows the rows of the nodes.
func (n *Node) syncDirectory(ctx context.Context) error {
	return n.follow(ctx, nodesTable, gather, n.replaceDirectory, func(rows []Row) { n.mergeRows(n.entriesOf(rows)) })
}

// readDirectory reads all rows of the nodes.
func (n *Node) readDirectory(ctx context.Context) error {
	rows, version, err := n.store.List(ctx, nodesTable)
	if err != nil {
		return err
	}
	n.replaceDirectory(rows, version)
	return nil
}

func (n *Node) replaceDirectory(rows []Row, version uint64) {
	entries := n.entriesOf(rows)
	n.mu.Lock()
	n.directory.Replace(entries, version)
	n.recovery.listed = true
	n.mu.Unlock()
	n.directoryChanged()
}

// entriesOf reads rows of the nodes' table; a row that can't be read names no node.
func (n *Node) entriesOf(rows []Row) []directory.Entry {
	var entries []directory.Entry
	for _, row := range rows {
		e := directory.Entry{Node: directory.Node{Address: row.Key}, Version: row.Version, Removed: row.Removed}
		if !row.Removed {
			if err := decode(row.Value, &e.Node); err != nil || e.Node.Address != row.Key {
				n.log.Warn("node-row-malformed", "key", row.Key, "error", err)
				continue
			}
		}
		entries = append(entries, e)
	}
	return entries
}

// mergeRows takes rows of the directory from the store or from another node.
func (n *Node) mergeRows(entries []directory.Entry) {
	news := 0
	n.mu.Lock()
	for _, e := range entries {
		if n.directory.Merge(e) {
			news++
		}
	}
	n.mu.Unlock()
	if news > 0 {
		n.directoryChanged()
	}
}

// directoryChanged follows a change of the known nodes.
func (n *Node) directoryChanged() {
	n.mu.Lock()
	n.behind.directory = time.Time{}
	kept := n.directoryChangedLocked()
	own, known := n.directory.Entry(n.settings.CallsAddress)
	if known && own.Node.State == directory.Leaving {
		n.leftLocked(own.Node.Backend)
	}
	_, state := n.tracker.Current()
	// A row that another writer has removed or replaced is written again.
	rewrite := known && state != directory.Absent && (own.Removed || own.Node.State != state) && !n.stopping.Load()
	count := len(n.directory.Nodes())
	n.mu.Unlock()
	n.transport.Connect(kept)
	n.metrics.Set("nodes", int64(count))
	if rewrite {
		n.writeNodeSoon()
	}
}

// leftLocked takes a leaving of the own backend server that is on record.
func (n *Node) leftLocked(b directory.Incarnation) {
	n.recovery.recorded = b
	if n.tracker.Left(b) {
		n.applyAsync(n.queue.Close())
	}
}

// recover waits until the node knows whether its backend server was leaving before the node started: from the store, or
// from the nodes that connect while the store is away.
func (n *Node) recover(ctx context.Context) error {
	for {
		now := n.clock.Now()
		n.mu.Lock()
		done := n.recovery.listed || !n.recovery.greeted.IsZero() && now.Sub(n.recovery.greeted) > recoveryWait
		var kept []string
		if done {
			n.recovery.done = true
			kept = n.reviewBackendLocked()
		}
		source := "store"
		if !n.recovery.listed {
			source = "nodes"
		}
		n.mu.Unlock()
		if done {
			n.transport.Connect(kept)
			n.log.Info("recovered", "source", source, "took", now.Sub(n.recovery.started))
			return nil
		}
		wait(ctx, recoveryCheck)
		if ctx.Err() != nil {
			return nil
		}
	}
}

// recovered reports whether the node knows what it did before its start.
func (n *Node) recovered() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.recovery.done
}
