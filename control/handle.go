package control

import (
	"slices"
	"time"

	"lovagelane/membership"
	"lovagelane/quarantine"
)

// handleFrame processes one frame from a peer.
func (c *Control) handleFrame(p *peer, f Frame) {
	switch f := f.(type) {
	case heartbeat:
		c.recordPeerVersion(p, f.ConfigVersion)
	case announce:
		c.mergeMembers(p, f.Members, true)
	case suspect:
		c.mergeSuspicions(p, f.Suspicions)
	case digest:
		c.handleDigest(p, membership.Digest(f.Buckets))
	case diff:
		c.handleDiff(p, f)
	case configNotice:
		c.recordPeerVersion(p, f.Version)
	case configPull:
		c.handleConfigPull(p, f.Version)
	case configText:
		c.handleConfigText(p, f)
	case crash:
		c.handleCrash(p, f.Reports)
	case hello:
		// Only the announcement of a repeated hello is used.
		c.mergeMembers(p, []membership.Member{f.Member}, true)
	}
}

func (c *Control) hello() hello {
	c.mu.Lock()
	defer c.mu.Unlock()
	return hello{Member: c.view.Self(), ConfigVersion: c.adopter.LoadedVersion()}
}

// rejectWrongPeer reports whether the peer is this node itself or another member than the wanted one. If another member
// answers, it removes the wanted one from the view.
func (c *Control) rejectWrongPeer(p *peer, h hello, wantID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.Member.ID == c.view.Self().ID {
		c.ownSeeds[p.address] = true
		return true
	}
	if wantID == "" || wantID == h.Member.ID {
		return false
	}
	if c.view.MarkDead(c.now(), wantID) {
		c.pendingFlood[wantID] = nil
	}
	c.merge(p, h.Member, true)
	return true
}

// addPeer registers a connection after the hello exchange. The side that dialed starts anti-entropy by sending its digest.
func (c *Control) addPeer(p *peer, h hello) {
	c.mu.Lock()
	c.peers[p] = struct{}{}
	c.sendCorrections(p, h.Member)
	c.merge(p, h.Member, true)
	c.sendRecentCrashes(p)
	if p.outgoing {
		p.send(digestFrame(c.view.Digest()))
	}
	c.mu.Unlock()
	c.recordPeerVersion(p, h.ConfigVersion)
	signal(c.changed)
}

func (c *Control) removePeer(p *peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peers, p)
	delete(c.pendingCrashes, p)
}

// merge merges an announcement into the view and, if flood is set, queues it for flooding. The caller must hold c.mu.
func (c *Control) merge(p *peer, m membership.Member, flood bool) {
	if !c.view.Merge(c.now(), m) {
		return
	}
	if flood {
		c.pendingFlood[m.ID] = p
	}
}

// sendCorrections sends a peer the later announcements that supersede m. The caller must hold c.mu.
func (c *Control) sendCorrections(p *peer, m membership.Member) {
	if corrections := c.view.Corrections(m); len(corrections) > 0 {
		p.send(announce{Members: corrections})
	}
}

func (c *Control) mergeMembers(p *peer, members []membership.Member, flood bool) {
	c.mu.Lock()
	peerLeft := false
	for _, m := range members {
		c.merge(p, m, flood)
		peerLeft = peerLeft || m.ID == p.id && m.State == membership.StateLeft
	}
	c.mu.Unlock()
	signal(c.changed)
	if peerLeft {
		p.cancel(errUnwanted)
	}
}

func (c *Control) mergeSuspicions(p *peer, suspicions []membership.Suspicion) {
	c.mu.Lock()
	for _, s := range suspicions {
		if c.view.MergeSuspicion(c.now(), s) {
			c.pendingFlood[s.ID] = p
		}
	}
	c.mu.Unlock()
	signal(c.changed)
}

func digestFrame(d membership.Digest) digest { return digest{Buckets: d[:]} }

func (c *Control) sendDigests() {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := digestFrame(c.view.Digest())
	for p := range c.peers {
		if p.outgoing {
			p.send(f)
		}
	}
}

func (c *Control) handleDigest(p *peer, d membership.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	members, buckets := c.view.Differing(d)
	lists := chunks(members, membersPerFrame)
	for i, list := range lists {
		p.send(diff{Buckets: buckets, Members: list, Last: i == len(lists)-1})
	}
	if len(lists) == 0 {
		p.send(diff{Buckets: buckets, Last: true})
	}
}

// handleDiff merges the members in a diff. After the last frame it sends the members that the peer lacks. A joining node does
// not flood the members that it learns, because all others already know them.
func (c *Control) handleDiff(p *peer, f diff) {
	c.mu.Lock()
	joined := c.synced
	for _, m := range f.Members {
		c.sendCorrections(p, m)
		c.merge(p, m, joined)
	}
	if p.diffIDs == nil {
		p.diffIDs = map[string]struct{}{}
	}
	for _, m := range f.Members {
		p.diffIDs[m.ID] = struct{}{}
	}
	if f.Last {
		c.sendMissing(p, f.Buckets)
		c.synced, p.synced, p.diffIDs = true, true, nil
	}
	c.mu.Unlock()
	signal(c.changed)
}

// sendMissing sends the members of the buckets that the peer did not list in its diff. The caller must hold c.mu.
func (c *Control) sendMissing(p *peer, buckets []int) {
	var missing []membership.Member
	for _, m := range c.view.InBuckets(buckets) {
		if _, ok := p.diffIDs[m.ID]; !ok {
			missing = append(missing, m)
		}
	}
	for _, list := range chunks(missing, membersPerFrame) {
		p.send(announce{Members: list})
	}
}

type recentCrash struct {
	report     quarantine.Report
	receivedAt time.Time
}

// queueCrash queues a new report for flooding and for peers that connect later. The caller must hold c.mu.
func (c *Control) queueCrash(origin *peer, r quarantine.Report) {
	c.pendingCrashes[origin] = append(c.pendingCrashes[origin], r)
	if len(c.recentCrashes) == maxRecentCrashes {
		c.recentCrashes = slices.Delete(c.recentCrashes, 0, 1)
	}
	c.recentCrashes = append(c.recentCrashes, recentCrash{report: r, receivedAt: c.now()})
}

// sendRecentCrashes sends a new peer the reports within recentCrashRetention. The caller must hold c.mu.
func (c *Control) sendRecentCrashes(p *peer) {
	var reports []quarantine.Report
	for _, r := range c.recentCrashes {
		if c.now().Sub(r.receivedAt) < recentCrashRetention {
			reports = append(reports, r.report)
		}
	}
	if len(reports) > 0 {
		p.send(crash{Reports: reports})
	}
}

func (c *Control) handleCrash(p *peer, reports []quarantine.Report) {
	var newReports []quarantine.Report
	c.mu.Lock()
	for _, r := range reports {
		if c.seenCrashes.add(r) {
			newReports = append(newReports, r)
			c.queueCrash(p, r)
		}
	}
	c.flushCrashes()
	c.mu.Unlock()
	if c.options.OnCrash == nil {
		return
	}
	for _, r := range newReports {
		c.options.OnCrash(r)
	}
}

// flush sends the announcements, suspicions and deaths of the last flood interval. The caller must hold c.mu.
func (c *Control) flush() {
	for p := range c.peers {
		c.flushTo(p)
	}
	clear(c.pendingFlood)
}

func (c *Control) flushTo(p *peer) {
	var members []membership.Member
	var suspicions []membership.Suspicion
	for id, origin := range c.pendingFlood {
		m, ok := c.view.Get(id)
		if !ok || origin == p {
			continue
		}
		if m.Suspected || m.Dead {
			suspicions = append(suspicions, membership.Suspicion{ID: m.ID, Counter: m.Counter, Dead: m.Dead})
		} else {
			members = append(members, m)
		}
	}
	for _, list := range chunks(members, membersPerFrame) {
		p.send(announce{Members: list})
	}
	for _, list := range chunks(suspicions, suspicionsPerFrame) {
		p.send(suspect{Suspicions: list})
	}
}

// flushCrashes sends new crash reports without waiting for the flood interval, because a caller may resend the request to
// another node within milliseconds. The caller must hold c.mu.
func (c *Control) flushCrashes() {
	for p := range c.peers {
		var reports []quarantine.Report
		for origin, list := range c.pendingCrashes {
			if origin != p {
				reports = append(reports, list...)
			}
		}
		for _, list := range chunks(reports, reportsPerFrame) {
			p.send(crash{Reports: list})
		}
	}
	clear(c.pendingCrashes)
}
