package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"lovagelane/membership"
)

// watcher maintains an outgoing connection to a member.
type watcher struct {
	cancel context.CancelFunc
	// successor is set if the member is a ring successor of this node, which may then suspect it; guarded by Control.mu.
	successor bool
}

// tick runs the periodic work that does not block: timeouts, refutation, flooding, ring and watcher updates, and the adoption
// of configurations.
func (c *Control) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	// A node that knows only one other member is not isolated without a peer: otherwise it would never remove that member.
	isolated := len(c.peers) == 0 && c.view.Len() > 2
	for _, id := range c.view.Tick(now, isolated) {
		c.log.Warn("member-removed", "member", id, "reason", "suspicion not refuted")
	}
	c.updateRegionAndSlots(now)
	if now.Sub(c.refutedAt) >= c.tuning.refuteInterval && c.view.Refute(now) {
		c.refutedAt = now
		c.pendingFlood[c.view.Self().ID] = nil
		c.metrics.Add("control-refutations", 1)
	}
	c.flush()
	c.updateWatchers()
	c.adopt(now)
	signal(c.changed)
}

// updateRegionAndSlots sets this node's region and slots from the loaded configuration. Before there is one, it sets the region
// from the announcements of other members. The caller must hold c.mu.
func (c *Control) updateRegionAndSlots(now time.Time) {
	self := c.view.Self()
	if self.State == membership.StateLeft {
		return
	}
	region, slots := self.Region, self.Slots
	if cfg := c.loaded.config; cfg != nil {
		if name, ok := cfg.Region(self.AvailabilityZone); ok {
			region = name
		}
		if group, ok := cfg.BackendServers(self.Service, self.AvailabilityZone); ok {
			slots = group.Slots
		}
	} else if region == "" {
		region = c.announcedRegion()
	}
	if region != self.Region || slots != self.Slots {
		c.view.SetRegionAndSlots(now, region, slots)
		c.pendingFlood[self.ID] = nil
	}
}

// announcedRegion returns the region that another member of this node's availability zone announces, or "" if none does.
func (c *Control) announcedRegion() string {
	self := c.view.Self()
	for _, m := range c.otherMembers() {
		if m.AvailabilityZone == self.AvailabilityZone && m.Region != "" {
			return m.Region
		}
	}
	return ""
}

// regionOf returns the region of the member's availability zone in the loaded configuration, or the announced region if the
// zone is not in it. An announcement that was sent before its sender had a configuration has no region. If the rings relied on
// it, nodes that load their first configuration at the same time could form groups that exclude each other and never receive
// the later announcements.
func (c *Control) regionOf(m membership.Member) string {
	if c.loaded.config != nil {
		if name, ok := c.loaded.config.Region(m.AvailabilityZone); ok {
			return name
		}
	}
	return m.Region
}

// withConfiguredRegions sets the regions of the members by regionOf, in place, and returns them.
func (c *Control) withConfiguredRegions(members []membership.Member) []membership.Member {
	for i := range members {
		members[i].Region = c.regionOf(members[i])
	}
	return members
}

// regionPeerIDs returns the ids of the other members of this node's region, or of all others while the region is unknown.
func (c *Control) regionPeerIDs() []string {
	self := c.view.Self()
	var ids []string
	for _, m := range c.otherMembers() {
		if self.Region == "" || c.regionOf(m) == self.Region {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// updateWatchers starts and stops watchers so that they match the rings. The caller must hold c.mu.
func (c *Control) updateWatchers() {
	self := c.view.Self()
	if self.State == membership.StateLeft {
		// Stop still needs the connections to announce that the node has left.
		return
	}
	if c.view.RosterVersion() != c.ringsRosterVersion || c.loaded.version != c.ringsConfigVersion {
		c.ringsRosterVersion, c.ringsConfigVersion = c.view.RosterVersion(), c.loaded.version
		c.rings = membership.NewRings(c.withConfiguredRegions(c.view.Live()))
		c.adopter.RetainPeers(c.view.IsLive)
	}
	wanted := map[string]membership.Member{}
	successors := map[string]bool{}
	self = c.withConfiguredRegions([]membership.Member{self})[0]
	for _, m := range c.rings.Watched(self) {
		wanted[m.ID], successors[m.ID] = m, true
	}
	for _, m := range c.rings.Links(self) {
		wanted[m.ID] = m
	}
	for _, m := range c.bootstrapPeers() {
		wanted[m.ID] = m
	}
	for id, w := range c.watchers {
		if _, ok := wanted[id]; !ok {
			w.cancel()
			delete(c.watchers, id)
		}
	}
	for id, m := range wanted {
		w, ok := c.watchers[id]
		if !ok {
			w = c.startWatcher(m)
		}
		w.successor = successors[id]
	}
	c.closeSeedConnections()
}

// bootstrapPeers returns further members to query for a configuration, while this node has none and cannot read the store.
func (c *Control) bootstrapPeers() []membership.Member {
	if c.adopter.InForce() > 0 || c.storeStatus.ConfigRead {
		return nil
	}
	var candidates []membership.Member
	for _, id := range c.regionPeerIDs() {
		m, ok := c.view.Get(id)
		if ok && !m.Suspected && !c.adopter.HasPeerVersion(id) {
			candidates = append(candidates, m)
		}
		if len(candidates) == maxBootstrapPeers {
			break
		}
	}
	return candidates
}

// closeSeedConnections closes synced connections to seeds once this node has an outgoing connection to another peer.
func (c *Control) closeSeedConnections() {
	established := 0
	for p := range c.peers {
		if p.outgoing && !p.seed {
			established++
		}
	}
	for p := range c.peers {
		if p.seed && p.synced && established > 0 {
			p.cancel(errUnwanted)
		}
	}
}

func (c *Control) startWatcher(m membership.Member) *watcher {
	ctx, cancel := context.WithCancel(c.group.Context())
	w := &watcher{cancel: cancel}
	c.watchers[m.ID] = w
	c.group.Go("control-watch", func(context.Context) error {
		defer cancel()
		c.watch(ctx, w, m)
		return nil
	})
	return w
}

// watch maintains a connection to a member. It suspects the member after two consecutive failures: the first dial and its
// retry, or an established connection and the dial after it.
func (c *Control) watch(ctx context.Context, w *watcher, m membership.Member) {
	pause := backoff{min: c.tuning.backoffMin, max: c.tuning.backoffMax, rand: c.options.Rand}
	failures := 0
	for ctx.Err() == nil {
		d := c.connect(ctx, m.Control, m.ID, false)
		if ctx.Err() != nil {
			return
		}
		switch {
		case d.established:
			failures = 1
			c.log.Info("control-connection-lost", "member", m.ID, "address", m.Control, "error", d.err)
		case d.reachable:
			failures = 0
		default:
			failures++
		}
		if failures > 1 {
			c.suspect(w, m, d.err)
		}
		if d.duration >= c.tuning.stableDuration {
			pause.reset()
		}
		sleep(ctx, pause.nextDelay())
	}
}

func (c *Control) suspect(w *watcher, m membership.Member, reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current, _ := c.view.Get(m.ID)
	if !w.successor || c.regionOf(current) != c.view.Self().Region || !c.view.Suspect(c.now(), m.ID) {
		return
	}
	c.pendingFlood[m.ID] = nil
	c.metrics.Add("control-suspicions", 1)
	c.log.Warn("member-suspected", "member", m.ID, "address", m.Control, "error", reason)
}

// seedLoop joins through a seed while there is no connection, and later dials seeds that are not in the view, so that two
// groups of nodes that started separately merge.
func (c *Control) seedLoop(ctx context.Context) error {
	pause := backoff{min: c.tuning.seedRetryDelay, max: c.tuning.backoffMax, rand: c.options.Rand}
	wait := c.options.Rand.Jitter(c.tuning.seedRetryDelay, 1)
	for sleep(ctx, wait) {
		seeds := c.seedsToDial()
		isolated := c.peerCount() == 0
		if len(seeds) > 0 {
			d := c.connect(ctx, seeds[c.options.Rand.IntN(len(seeds))], "", true)
			if d.established {
				pause.reset()
			} else if isolated && !errors.Is(d.err, errUnwanted) {
				c.metrics.Add("control-seed-failures", 1)
			}
		}
		wait = pause.nextDelay()
		if c.peerCount() > 0 {
			wait = c.options.Rand.Jitter(c.tuning.seedCheckInterval, jitterFraction)
		}
	}
	return nil
}

func (c *Control) seedsToDial() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := map[string]bool{}
	if len(c.peers) > 0 {
		for _, m := range c.otherMembers() {
			known[m.Control] = true
		}
	}
	known[c.view.Self().Control] = true
	return slices.DeleteFunc(slices.Clone(c.options.Seeds), func(s string) bool { return known[s] || c.ownSeeds[s] })
}
