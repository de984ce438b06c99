package mesh

import (
	"context"
	"time"

	"lovagelane/directory"
)

// storeGrace is how long a node that is behind another one waits for the update from the store before it pulls from it.
const storeGrace = 400 * time.Millisecond

// Hello implements link.Handler.
func (n *Node) Hello() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return encode(helloMessage{Node: n.selfLocked(), Versions: n.versionsLocked()})
}

// HandleHello implements link.Handler. It returns a kept departure to the node that it belongs to, passes on the others and pulls newer
// state at once, so that a node that has just started recovers from its peers.
func (n *Node) HandleHello(b []byte, reply func([]byte)) {
	var hello helloMessage
	if err := decode(b, &hello); err != nil {
		n.log.Warn("greeting-malformed", "error", err)
		return
	}
	n.mu.Lock()
	if n.recovery.firstPeerAt.IsZero() {
		n.recovery.firstPeerAt = n.clock.Now()
	}
	n.updateNodeLocked(hello.Node)
	departed := n.directory.PendingDepartures(hello.Node.Address)
	unstored := n.directory.UnstoredDepartures()
	n.mu.Unlock()
	for _, b := range departed {
		reply(encode(gossipMessage{RecordedDeparture: &directory.Departure{Address: hello.Node.Address, Backend: b}}))
	}
	if len(unstored) > 0 {
		reply(encode(gossipMessage{Departures: unstored}))
	}
	n.pullIfBehind(hello.Versions, reply, 0)
	n.pullCrashes(hello.Versions.CrashesSum, reply, 0)
}

// updateNodeLocked applies the directory record that another node sent of itself. A record in state Absent is ignored: a node
// that has just started has no announcement of its backend server yet.
func (n *Node) updateNodeLocked(node directory.Node) {
	if node.State == directory.Absent {
		return
	}
	if n.directory.MergeReport(node) {
		n.updateCandidatesLocked()
	}
	if node.State == directory.Serving {
		n.chooser.MarkUsable(node.Address)
	}
}

// Status implements link.Handler.
func (n *Node) Status() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return encode(n.versionsLocked())
}

func (n *Node) versionsLocked() versions {
	at := n.directory.Position()
	v := versions{DirectoryEra: at.Era, DirectoryVersion: at.Version, CrashesSum: n.quarantine.Sum(n.clock.Now())}
	if cfg := n.config.Load(); cfg != nil {
		v.ConfigVersion = cfg.Version()
	}
	return v
}

// HandleStatus implements link.Handler.
func (n *Node) HandleStatus(b []byte, reply func([]byte)) {
	var theirs versions
	if err := decode(b, &theirs); err != nil {
		n.log.Warn("status-malformed", "error", err)
		return
	}
	n.pullIfBehind(theirs, reply, storeGrace)
	n.pullCrashes(theirs.CrashesSum, reply, crashSettleTime)
}

// pullIfBehind pulls newer state from another node once this node has been behind it for at least the grace period. A newer
// configuration is pulled at the end of that period, without another message of the other node.
func (n *Node) pullIfBehind(theirs versions, reply func([]byte), grace time.Duration) {
	now := n.clock.Now()
	n.mu.Lock()
	ours := n.versionsLocked()
	learned := ours.ConfigVersion < theirs.ConfigVersion && ours.ConfigVersion >= n.configLag.at.Version
	pull := n.configLag.exceeds(grace, now, directory.Position{Version: ours.ConfigVersion}, directory.Position{Version: theirs.ConfigVersion})
	pull = n.directoryLag.exceeds(grace, now, ours.directory(), theirs.directory()) || pull
	n.mu.Unlock()
	if learned {
		n.log.Info("config-behind", "version", ours.ConfigVersion, "other", theirs.ConfigVersion)
	}
	switch {
	case pull:
		if ours.ConfigVersion < theirs.ConfigVersion {
			n.log.Info("config-pulled", "version", ours.ConfigVersion, "other", theirs.ConfigVersion)
		}
		reply(encode(gossipMessage{PullSince: &ours}))
	case learned:
		n.group.Go("pull-config", func(ctx context.Context) error {
			sleep(ctx, grace)
			n.pullIfBehind(theirs, reply, grace)
			return nil
		})
	}
}

// lag records since when this node lacks what another node has, up to a position.
type lag struct {
	at    directory.Position
	since time.Time
}

// exceeds reports whether this node has lacked what another node has for at least the grace period.
func (l *lag) exceeds(grace time.Duration, now time.Time, ours, theirs directory.Position) bool {
	if ours.Compare(theirs) >= 0 {
		return false
	}
	if ours.Compare(l.at) >= 0 {
		l.at, l.since = theirs, now
	}
	return now.Sub(l.since) >= grace
}

// HandleNotice implements link.Handler.
func (n *Node) HandleNotice(b []byte, reply func([]byte)) {
	var m gossipMessage
	if err := decode(b, &m); err != nil {
		n.log.Warn("notice-malformed", "error", err)
		return
	}
	if m.Allowance != nil {
		n.handleAllowance(*m.Allowance, reply)
	}
	if m.PullSince != nil {
		n.sendUpdates(*m.PullSince, reply)
	}
	if len(m.Rows) > 0 {
		n.mergeRows(m.Rows)
	}
	if at := (directory.Position{Era: m.DirectoryEra, Version: m.DirectoryVersion}); at != (directory.Position{}) {
		n.mu.Lock()
		n.noteEraLocked(at.Era)
		n.directory.AdvancePosition(at)
		n.mu.Unlock()
	}
	switch {
	case len(m.Config) > 0:
		n.applyConfig(m.Config, "node")
	case m.ConfigVersion > 0:
		n.pullIfBehind(versions{ConfigVersion: m.ConfigVersion}, reply, storeGrace)
	}
	if m.KeepDeparture != nil {
		n.mu.Lock()
		kept := n.directory.AddPendingDeparture(*m.KeepDeparture)
		n.mu.Unlock()
		if kept {
			reply(encode(gossipMessage{DepartureKept: m.KeepDeparture}))
		}
	}
	if m.DepartureKept != nil {
		n.confirmDeparture(m.DepartureKept.Backend)
	}
	if m.RecordedDeparture != nil && m.RecordedDeparture.Address == n.settings.CallsAddress {
		n.log.Info("leaving-told", "id", m.RecordedDeparture.Backend.ID)
		n.mu.Lock()
		n.setDepartedLocked(m.RecordedDeparture.Backend)
		n.mu.Unlock()
	}
	if len(m.Departures) > 0 {
		n.mu.Lock()
		for _, d := range m.Departures {
			n.directory.AddPendingDeparture(d)
		}
		n.mu.Unlock()
	}
	if m.Node != nil {
		n.mu.Lock()
		n.updateNodeLocked(*m.Node)
		n.mu.Unlock()
	}
	if len(m.Crashes) > 0 {
		n.mu.Lock()
		for _, r := range m.Crashes {
			n.quarantine.Merge(n.clock.Now(), r)
		}
		n.mu.Unlock()
	}
	if m.PullCrashes {
		n.sendCrashes(reply)
	}
	if m.CrashTable != nil {
		n.mergeCrashes(*m.CrashTable)
	}
}

// sendUpdates sends the rows and the configuration that are newer than the versions of the other node.
func (n *Node) sendUpdates(theirs versions, reply func([]byte)) {
	n.mu.Lock()
	var m gossipMessage
	if at := n.directory.Position(); at.Compare(theirs.directory()) > 0 {
		m.Rows, m.DirectoryEra, m.DirectoryVersion = n.directory.Since(theirs.directory()), at.Era, at.Version
	}
	if cfg := n.config.Load(); cfg != nil && cfg.Version() > theirs.ConfigVersion {
		m.ConfigVersion, m.Config = cfg.Version(), n.configText
	}
	n.mu.Unlock()
	reply(encode(m))
}

// confirmDeparture signals that another node keeps a departure of the own backend server.
func (n *Node) confirmDeparture(b directory.Incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if acked, ok := n.departureAcks[b]; ok {
		select {
		case <-acked:
		default:
			close(acked)
		}
	}
}
