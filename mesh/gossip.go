package mesh

import (
	"time"

	"lovagelane/directory"
)

// storeLead is how long the store is given to bring what another node knows already, before that node is asked.
const storeLead = 400 * time.Millisecond

// Greeting implements link.Handler.
func (n *Node) Greeting() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return encode(greeting{Node: n.selfLocked(), Status: n.statusLocked()})
}

// Greeted implements link.Handler: a node that has started learns from those that connect to it.
func (n *Node) Greeted(b []byte, reply func([]byte)) {
	var g greeting
	if err := decode(b, &g); err != nil {
		n.log.Warn("greeting-malformed", "error", err)
		return
	}
	n.mu.Lock()
	if n.recovery.greeted.IsZero() {
		n.recovery.greeted = n.clock.Now()
	}
	n.seenLocked(g.Node)
	held, holding := n.directory.Held(g.Node.Address)
	n.mu.Unlock()
	if holding {
		reply(encode(notice{Left: &leaving{Address: g.Node.Address, Backend: held}}))
	}
	n.compare(g.Status, reply, 0)
}

// seenLocked takes what another node says of itself. One that has just started knows nothing of its backend server yet.
func (n *Node) seenLocked(node directory.Node) {
	if node.State == directory.Absent {
		return
	}
	if n.directory.Seen(node) {
		n.directoryChangedLocked()
	}
	if node.State == directory.Serving {
		n.chooser.Usable(node.Address)
	}
}

// Status implements link.Handler.
func (n *Node) Status() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return encode(n.statusLocked())
}

func (n *Node) statusLocked() status {
	s := status{DirectoryVersion: n.directory.Version()}
	if cfg := n.config.Load(); cfg != nil {
		s.ConfigVersion = cfg.Version()
	}
	return s
}

// Heard implements link.Handler.
func (n *Node) Heard(b []byte, reply func([]byte)) {
	var s status
	if err := decode(b, &s); err != nil {
		n.log.Warn("status-malformed", "error", err)
		return
	}
	n.compare(s, reply, storeLead)
}

// compare asks another node for what it knows more of, unless the store brings it within a time.
func (n *Node) compare(theirs status, reply func([]byte), lead time.Duration) {
	now := n.clock.Now()
	n.mu.Lock()
	ours := n.statusLocked()
	want := isBehind(&n.behind.config, now, lead, ours.ConfigVersion < theirs.ConfigVersion)
	want = isBehind(&n.behind.directory, now, lead, ours.DirectoryVersion < theirs.DirectoryVersion) || want
	n.mu.Unlock()
	if want {
		reply(encode(notice{Want: &ours}))
	}
}

// isBehind notes since when a node is behind, and reports whether that is longer than the lead.
func isBehind(since *time.Time, now time.Time, lead time.Duration, behind bool) bool {
	if !behind {
		return false
	}
	if since.IsZero() {
		*since = now
	}
	return now.Sub(*since) >= lead
}

// Notice implements link.Handler.
func (n *Node) Notice(b []byte, reply func([]byte)) {
	var m notice
	if err := decode(b, &m); err != nil {
		n.log.Warn("notice-malformed", "error", err)
		return
	}
	if m.Want != nil {
		n.tellNews(*m.Want, reply)
	}
	if len(m.Rows) > 0 {
		n.mergeRows(m.Rows)
	}
	if len(m.Config) > 0 {
		n.adopt(m.Config, "node")
	}
	if m.Hold != nil {
		n.mu.Lock()
		n.directory.Hold(m.Hold.Address, m.Hold.Backend)
		n.mu.Unlock()
		reply(encode(notice{Holding: m.Hold}))
	}
	if m.Holding != nil {
		n.held(m.Holding.Backend)
	}
	if m.Left != nil && m.Left.Address == n.settings.CallsAddress {
		n.log.Info("leaving-told", "id", m.Left.Backend.ID)
		n.mu.Lock()
		n.leftLocked(m.Left.Backend)
		n.mu.Unlock()
	}
	if m.Node != nil {
		n.mu.Lock()
		n.seenLocked(*m.Node)
		n.mu.Unlock()
	}
	if len(m.Crashes) > 0 {
		n.mu.Lock()
		for _, r := range m.Crashes {
			n.poison.Merge(n.clock.Now(), r)
		}
		n.mu.Unlock()
	}
}

// tellNews sends what the other node lacks.
func (n *Node) tellNews(theirs status, reply func([]byte)) {
	n.mu.Lock()
	var m notice
	if n.directory.Version() > theirs.DirectoryVersion {
		m.Rows = n.directory.Since(theirs.DirectoryVersion)
	}
	if cfg := n.config.Load(); cfg != nil && cfg.Version() > theirs.ConfigVersion {
		m.ConfigVersion, m.Config = cfg.Version(), n.configText
	}
	n.mu.Unlock()
	reply(encode(m))
}

// held notes that another node keeps a leaving of the own backend server.
func (n *Node) held(b directory.Incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if held, ok := n.holds[b]; ok {
		select {
		case <-held:
		default:
			close(held)
		}
	}
}

// quarantined reports whether a request crashes backend servers.
func (n *Node) quarantined(digest uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.poison.Refuses(n.clock.Now(), digest, 0)
}
