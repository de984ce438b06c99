package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"lovagelane/membership"
)

// watcher keeps one outgoing connection to a member.
type watcher struct {
	cancel context.CancelFunc
	// ring means that this node watches the member as a successor and may suspect it; guarded by Control.mu.
	ring bool
}

// tick does the short periodic work: time-outs, rings, the choice of peers, flooding and the adoption of configurations.
func (c *Control) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	isolated := len(c.peers) == 0 && c.view.Len() > 2
	for _, id := range c.view.Tick(now, isolated) {
		c.log.Warn("member-removed", "member", id, "reason", "suspicion not refuted")
	}
	c.learnPlace(now)
	if now.Sub(c.refutedAt) >= c.tuning.refuteGap && c.view.Refute(now) {
		c.refutedAt = now
		c.pending[c.view.Self().ID] = nil
		c.metrics.Add("control-refutations", 1)
	}
	c.flush()
	c.choosePeers()
	c.adopt(now)
	signal(c.changed)
}

// learnPlace takes the region of the own availability zone and the slots from the configuration, or before that the region
// from other members; the caller holds the lock.
func (c *Control) learnPlace(now time.Time) {
	self := c.view.Self()
	if self.State == membership.StateLeft {
		return
	}
	region, slots := self.Region, self.Slots
	if cfg := c.held.config; cfg != nil {
		if name, ok := cfg.Region(self.AvailabilityZone); ok {
			region = name
		}
		if group, ok := cfg.BackendServers(self.Service, self.AvailabilityZone); ok {
			slots = group.Slots
		}
	} else if region == "" {
		region = c.regionOfPeers()
	}
	if region != self.Region || slots != self.Slots {
		c.view.SetPlace(now, region, slots)
		c.pending[self.ID] = nil
	}
}

// regionOfPeers returns the region that other members of the own availability zone announce.
func (c *Control) regionOfPeers() string {
	self := c.view.Self()
	for _, m := range c.others() {
		if m.AvailabilityZone == self.AvailabilityZone && m.Region != "" {
			return m.Region
		}
	}
	return ""
}

// regionOf returns the region that the held configuration gives the member's availability zone, or the announced one. An
// announcement from before its sender had a configuration has no region; if the rings relied on it, nodes that take their
// first configuration at the same time could form groups that leave each other out and never hear the later announcement.
func (c *Control) regionOf(m membership.Member) string {
	if c.held.config != nil {
		if name, ok := c.held.config.Region(m.AvailabilityZone); ok {
			return name
		}
	}
	return m.Region
}

// placed gives the members the regions of the held configuration.
func (c *Control) placed(members []membership.Member) []membership.Member {
	for i := range members {
		members[i].Region = c.regionOf(members[i])
	}
	return members
}

// regionPeers returns the ids of the other members of the own region, or of all others while the region is unknown.
func (c *Control) regionPeers() []string {
	self := c.view.Self()
	var ids []string
	for _, m := range c.others() {
		if self.Region == "" || c.regionOf(m) == self.Region {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// choosePeers starts and ends watchers so that they fit the rings; the caller holds the lock.
func (c *Control) choosePeers() {
	self := c.view.Self()
	if self.State == membership.StateLeft {
		// Stop still needs the connections to announce it.
		return
	}
	if c.view.Roster() != c.roster || c.held.version != c.placedBy {
		c.roster, c.placedBy = c.view.Roster(), c.held.version
		c.rings = membership.NewRings(c.placed(c.view.Live()))
		c.adopter.Forget(c.view.IsLive)
	}
	wanted := map[string]membership.Member{}
	ring := map[string]bool{}
	self = c.placed([]membership.Member{self})[0]
	for _, m := range c.rings.Watched(self) {
		wanted[m.ID], ring[m.ID] = m, true
	}
	for _, m := range c.rings.Links(self) {
		wanted[m.ID] = m
	}
	for _, m := range c.askFor() {
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
		w.ring = ring[id]
	}
	c.dropSeeds()
}

// askFor returns more peers to ask while this node has no configuration and cannot read the store.
func (c *Control) askFor() []membership.Member {
	if c.adopter.InForce() > 0 || c.storeState.ConfigRead {
		return nil
	}
	var asked []membership.Member
	for _, id := range c.regionPeers() {
		m, ok := c.view.Get(id)
		if ok && !m.Suspected && !c.adopter.Answered(id) {
			asked = append(asked, m)
		}
		if len(asked) == askedPeers {
			break
		}
	}
	return asked
}

// dropSeeds closes connections that only served to join once the rings provide others.
func (c *Control) dropSeeds() {
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

// watch keeps a connection to a member. Two failures in a row make it suspected: of a first dial and its repeat, or of a
// connection and the dial after it.
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
		case d.answered:
			failures = 0
		default:
			failures++
		}
		if failures > 1 {
			c.suspect(w, m, d.err)
		}
		if d.lasted >= c.tuning.stable {
			pause.reset()
		}
		sleep(ctx, pause.next())
	}
}

func (c *Control) suspect(w *watcher, m membership.Member, reason error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current, _ := c.view.Get(m.ID)
	if !w.ring || c.regionOf(current) != c.view.Self().Region || !c.view.Suspect(c.now(), m.ID) {
		return
	}
	c.pending[m.ID] = nil
	c.metrics.Add("control-suspicions", 1)
	c.log.Warn("member-suspected", "member", m.ID, "address", m.Control, "error", reason)
}

// seedLoop joins by a seed while there is no connection, and later looks for seeds that the view does not know, so that two
// groups of nodes which started apart find each other.
func (c *Control) seedLoop(ctx context.Context) error {
	pause := backoff{min: c.tuning.seedRetry, max: c.tuning.backoffMax, rand: c.options.Rand}
	wait := c.options.Rand.Jitter(c.tuning.seedRetry, 1)
	for sleep(ctx, wait) {
		seeds := c.seedsToDial()
		alone := c.peerCount() == 0
		if len(seeds) > 0 {
			d := c.connect(ctx, seeds[c.options.Rand.IntN(len(seeds))], "", true)
			if d.established {
				pause.reset()
			} else if alone && !errors.Is(d.err, errUnwanted) {
				c.metrics.Add("control-seed-failures", 1)
			}
		}
		wait = pause.next()
		if c.peerCount() > 0 {
			wait = c.options.Rand.Jitter(c.tuning.seedCheck, jitter)
		}
	}
	return nil
}

func (c *Control) seedsToDial() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := map[string]bool{}
	if len(c.peers) > 0 {
		for _, m := range c.others() {
			known[m.Control] = true
		}
	}
	known[c.view.Self().Control] = true
	return slices.DeleteFunc(slices.Clone(c.options.Seeds), func(s string) bool { return known[s] || c.ownSeeds[s] })
}
