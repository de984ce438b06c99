package mesh

import (
	"time"

	"lovagelane/quarantine"
)

const (
	// crashSettleTime is how long crash records may differ from those of a connected node before they are pulled. A report of a new
	// crash reaches all connected nodes meanwhile.
	crashSettleTime = 2 * time.Second
	// crashPullTimeout is how long the answer to a pull may take before the same records are asked for again.
	crashPullTimeout = 2 * time.Second
	// crashPullPause is how long records that were pulled are not asked for again. They still differ from the merged ones if this node
	// has more of them, which the other node pulls, or if a table is full.
	crashPullPause = time.Minute
	// maxCrashPulls limits the tables of other nodes that are remembered.
	maxCrashPulls = 64
)

// crashTable holds the crash records of a node.
type crashTable struct {
	// Sum is the sum of the table that the snapshot was taken from.
	Sum      uint64              `cbor:"1,keyasint"`
	Snapshot quarantine.Snapshot `cbor:"2,keyasint"`
}

// crashPull is the state of pulling the crash records with one sum.
type crashPull struct {
	// differsSince is when a node with that sum was first heard of.
	differsSince time.Time
	// notBefore is when the records may be asked for.
	notBefore time.Time
}

// pullCrashes asks another node for its crash records if they have differed from those of this node for at least the settle time.
func (n *Node) pullCrashes(theirs uint64, reply func([]byte), settle time.Duration) {
	now := n.clock.Now()
	n.mu.Lock()
	if theirs == 0 || theirs == n.quarantine.Sum(now) {
		n.mu.Unlock()
		return
	}
	p := n.crashPulls.GetOrAdd(theirs)
	if p.differsSince.IsZero() {
		p.differsSince = now
	}
	due := now.Sub(p.differsSince) >= settle && !now.Before(p.notBefore)
	if due {
		p.notBefore = now.Add(crashPullTimeout)
	}
	n.mu.Unlock()
	if due {
		reply(encode(gossipMessage{PullCrashes: true}))
	}
}

// sendCrashes sends the crash records of this node.
func (n *Node) sendCrashes(reply func([]byte)) {
	now := n.clock.Now()
	n.mu.Lock()
	t := crashTable{Sum: n.quarantine.Sum(now), Snapshot: n.quarantine.Snapshot(now)}
	n.mu.Unlock()
	reply(encode(gossipMessage{CrashTable: &t}))
}

// mergeCrashes merges the crash records of another node.
func (n *Node) mergeCrashes(t crashTable) {
	now := n.clock.Now()
	n.mu.Lock()
	added := n.quarantine.MergeSnapshot(now, t.Snapshot)
	n.crashPulls.GetOrAdd(t.Sum).notBefore = now.Add(crashPullPause)
	n.mu.Unlock()
	if added > 0 {
		n.log.Info("crash-records-pulled", "requests", len(t.Snapshot.Records), "new", added)
	}
}

// isQuarantined reports whether requests with this digest are quarantined for crashing backend servers.
func (n *Node) isQuarantined(digest uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.quarantine.Refuses(n.clock.Now(), digest, 0)
}
