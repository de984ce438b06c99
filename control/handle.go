package control

import (
	"slices"
	"time"

	"lovagelane/membership"
	"lovagelane/quarantine"
)

// handle takes one frame of a peer.
func (c *Control) handle(p *peer, f Frame) {
	switch f := f.(type) {
	case heartbeat:
		c.peerHolds(p, f.Held)
	case announce:
		c.takeMembers(p, f.Members, true)
	case suspect:
		c.takeMarks(p, f.Marks)
	case digest:
		c.answerDigest(p, membership.Digest(f.Parts))
	case diff:
		c.takeDiff(p, f)
	case notice:
		c.peerHolds(p, f.Version)
	case pull:
		c.answerPull(p, f.Version)
	case text:
		c.takeText(p, f)
	case crash:
		c.takeCrash(p, f.Reports)
	case hello:
		// A second hello carries nothing but the announcement.
		c.takeMembers(p, []membership.Member{f.Member}, true)
	}
}

func (c *Control) hello() hello {
	c.mu.Lock()
	defer c.mu.Unlock()
	return hello{Member: c.view.Self(), Held: c.adopter.Held()}
}

// refusesPeer reports whether another member than the wanted one answered at an address, and removes the wanted one then.
func (c *Control) refusesPeer(p *peer, h hello, want string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.Member.ID == c.view.Self().ID {
		c.ownSeeds[p.address] = true
		return true
	}
	if want == "" || want == h.Member.ID {
		return false
	}
	if c.view.Remove(c.now(), want) {
		c.pending[want] = nil
	}
	c.merge(p, h.Member, true)
	return true
}

// welcome takes a greeted connection into use. The side that dialled starts the comparison of the views.
func (c *Control) welcome(p *peer, h hello) {
	c.mu.Lock()
	c.peers[p] = struct{}{}
	c.correct(p, h.Member)
	c.merge(p, h.Member, true)
	c.sendRecentCrashes(p)
	if p.outgoing {
		p.send(digestFrame(c.view.Digest()))
	}
	c.mu.Unlock()
	c.peerHolds(p, h.Held)
	signal(c.changed)
}

func (c *Control) farewell(p *peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peers, p)
	delete(c.crashes, p)
}

// merge takes an announcement into the view and queues it for flooding; the caller holds the lock.
func (c *Control) merge(p *peer, m membership.Member, flood bool) {
	if !c.view.Merge(c.now(), m) {
		return
	}
	if flood {
		c.pending[m.ID] = p
	}
}

// correct tells a peer what it lacks about a member; the caller holds the lock.
func (c *Control) correct(p *peer, m membership.Member) {
	if later := c.view.Corrections(m); len(later) > 0 {
		p.send(announce{Members: later})
	}
}

func (c *Control) takeMembers(p *peer, members []membership.Member, flood bool) {
	c.mu.Lock()
	left := false
	for _, m := range members {
		c.merge(p, m, flood)
		left = left || m.ID == p.id && m.State == membership.StateLeft
	}
	c.mu.Unlock()
	signal(c.changed)
	if left {
		p.cancel(errUnwanted)
	}
}

func (c *Control) takeMarks(p *peer, marks []membership.Mark) {
	c.mu.Lock()
	for _, k := range marks {
		if c.view.MergeMark(c.now(), k) {
			c.pending[k.ID] = p
		}
	}
	c.mu.Unlock()
	signal(c.changed)
}

func digestFrame(d membership.Digest) digest { return digest{Parts: d[:]} }

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

func (c *Control) answerDigest(p *peer, d membership.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	members, parts := c.view.Differing(d)
	lists := chunks(members, membersPerFrame)
	for i, list := range lists {
		p.send(diff{Parts: parts, Members: list, Last: i == len(lists)-1})
	}
	if len(lists) == 0 {
		p.send(diff{Parts: parts, Last: true})
	}
}

// takeDiff merges the members of a peer. After the last part it sends back what the peer lacks. A node that joins does not
// flood what it learns, because all others know it already.
func (c *Control) takeDiff(p *peer, f diff) {
	c.mu.Lock()
	joined := c.synced
	for _, m := range f.Members {
		c.correct(p, m)
		c.merge(p, m, joined)
	}
	if p.diffed == nil {
		p.diffed = map[string]struct{}{}
	}
	for _, m := range f.Members {
		p.diffed[m.ID] = struct{}{}
	}
	if f.Last {
		c.sendLacking(p, f.Parts)
		c.synced, p.synced, p.diffed = true, true, nil
	}
	c.mu.Unlock()
	signal(c.changed)
}

// sendLacking sends the members of the parts that the peer did not name; the caller holds the lock.
func (c *Control) sendLacking(p *peer, parts []int) {
	var lacking []membership.Member
	for _, m := range c.view.InParts(parts) {
		if _, ok := p.diffed[m.ID]; !ok {
			lacking = append(lacking, m)
		}
	}
	for _, list := range chunks(lacking, membersPerFrame) {
		p.send(announce{Members: list})
	}
}

type recentCrash struct {
	report quarantine.Report
	at     time.Time
}

// queueCrash queues a new report for flooding and for peers that connect later; the caller holds the lock.
func (c *Control) queueCrash(origin *peer, r quarantine.Report) {
	c.crashes[origin] = append(c.crashes[origin], r)
	if len(c.recent) == recentCrashes {
		c.recent = slices.Delete(c.recent, 0, 1)
	}
	c.recent = append(c.recent, recentCrash{report: r, at: c.now()})
}

// sendRecentCrashes tells a new peer the reports that may still matter; the caller holds the lock.
func (c *Control) sendRecentCrashes(p *peer) {
	var reports []quarantine.Report
	for _, r := range c.recent {
		if c.now().Sub(r.at) < recentSpan {
			reports = append(reports, r.report)
		}
	}
	if len(reports) > 0 {
		p.send(crash{Reports: reports})
	}
}

func (c *Control) takeCrash(p *peer, reports []quarantine.Report) {
	var fresh []quarantine.Report
	c.mu.Lock()
	for _, r := range reports {
		if c.seen.add(r) {
			fresh = append(fresh, r)
			c.queueCrash(p, r)
		}
	}
	c.flushCrashes()
	c.mu.Unlock()
	if c.options.OnCrash == nil {
		return
	}
	for _, r := range fresh {
		c.options.OnCrash(r)
	}
}

// flush sends the announcements and doubts of the last interval; the caller holds the lock.
func (c *Control) flush() {
	for p := range c.peers {
		c.flushTo(p)
	}
	clear(c.pending)
}

func (c *Control) flushTo(p *peer) {
	var members []membership.Member
	var marks []membership.Mark
	for id, origin := range c.pending {
		m, ok := c.view.Get(id)
		if !ok || origin == p {
			continue
		}
		if m.Suspected || m.Dead {
			marks = append(marks, membership.Mark{ID: m.ID, Counter: m.Counter, Dead: m.Dead})
		} else {
			members = append(members, m)
		}
	}
	for _, list := range chunks(members, membersPerFrame) {
		p.send(announce{Members: list})
	}
	for _, list := range chunks(marks, marksPerFrame) {
		p.send(suspect{Marks: list})
	}
}

// flushCrashes sends new crash reports at once, since a caller may send the request again to another node within
// milliseconds; the caller holds the lock.
func (c *Control) flushCrashes() {
	for p := range c.peers {
		var reports []quarantine.Report
		for origin, list := range c.crashes {
			if origin != p {
				reports = append(reports, list...)
			}
		}
		for _, list := range chunks(reports, reportsPerFrame) {
			p.send(crash{Reports: list})
		}
	}
	clear(c.crashes)
}
