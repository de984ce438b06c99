package control

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"lovagelane/inventory"
	"lovagelane/kernel"
	"lovagelane/membership"
	"lovagelane/rollout"
	"lovagelane/tablestore"
)

// held is a configuration whose text this node has.
type held struct {
	version uint64
	hash    string
	body    []byte
	config  *inventory.Config
}

func (c *Control) heldVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.adopter.Held()
}

// peerHolds records what a peer holds and asks it for the text of a higher version.
func (c *Control) peerHolds(p *peer, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.adopter.PeerSays(p.id, version)
	now := c.now()
	if !c.adopter.Wanted(version) || version <= c.unreadable {
		return
	}
	if version <= c.pulling && now.Before(c.pullUntil) {
		return
	}
	c.pulling, c.pullUntil = version, now.Add(c.tuning.pullWait)
	p.send(pull{Version: version})
}

func (c *Control) answerPull(p *peer, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held.version >= version && c.held.version > 0 {
		p.send(text{Version: c.held.version, Hash: c.held.hash, Body: c.held.body})
	}
}

func (c *Control) takeText(p *peer, f text) {
	if rollout.Hash(f.Body) != f.Hash {
		c.metrics.Add("control-texts-damaged", 1)
		c.log.Warn("config-text-damaged", "version", f.Version, "peer", p.id)
		return
	}
	c.hold(f.Version, f.Hash, f.Body)
}

// hold takes the text of a higher version and tells all peers. A text that this release cannot read is left alone, so that
// the configuration in force stays.
func (c *Control) hold(version uint64, hash string, body []byte) {
	c.mu.Lock()
	wanted := c.adopter.Wanted(version)
	c.mu.Unlock()
	if !wanted {
		return
	}
	config, err := parse(version, body)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.unreadable = max(c.unreadable, version)
		c.metrics.Add("control-texts-unreadable", 1)
		c.log.Error("config-unreadable", "version", version, "error", err)
		return
	}
	if !c.adopter.Hold(c.now(), version) {
		return
	}
	c.held = held{version: version, hash: hash, body: body, config: config}
	for p := range c.peers {
		p.send(notice{Version: version, Hash: hash})
	}
}

func parse(version uint64, body []byte) (*inventory.Config, error) {
	files, err := rollout.Decode(body)
	if err != nil {
		return nil, err
	}
	config, problems := inventory.Parse(files)
	if len(problems) > 0 {
		return nil, problems[0]
	}
	return config.WithVersion(version), nil
}

// adopt puts the held version in force when the adopter agrees; the caller holds the lock.
func (c *Control) adopt(now time.Time) {
	if c.adopter.Held() == c.adopter.InForce() {
		return
	}
	version, ok := c.adopter.Adopt(now, c.regionPeers(), c.synced)
	if !ok {
		return
	}
	c.inForce, c.inForceAt = c.held, now
	c.log.Info("config-in-force", "version", version, "hash", c.held.hash)
}

// pollLoop looks for a new configuration in the store, at intervals and when PollStore asks for it.
func (c *Control) pollLoop(ctx context.Context) error {
	return c.repeat(ctx, c.tuning.poll, c.pollNow, c.poll)
}

// repeat calls f soon after the start, then at intervals and whenever now has a signal, until ctx ends.
func (c *Control) repeat(ctx context.Context, interval time.Duration, now <-chan struct{}, f func(context.Context)) error {
	wait := c.options.Rand.Jitter(c.tuning.seedRetry, 1)
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-now:
		case <-timer.C:
		}
		timer.Stop()
		f(ctx)
		wait = c.options.Rand.Jitter(interval, jitter)
	}
}

func (c *Control) poll(ctx context.Context) {
	accepted, ok, err := rollout.Current(ctx, c.store)
	c.noteStore("poll", err)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.adopter.StoreSays(accepted.Version)
	c.storeState.ConfigRead = true
	wanted := ok && c.adopter.Wanted(accepted.Version) && accepted.Version > c.unreadable
	c.mu.Unlock()
	if !wanted {
		return
	}
	body, ok, err := c.store.Object(ctx, accepted.Hash)
	c.noteStore("object", err)
	switch {
	case err != nil:
	case !ok || rollout.Hash(body) != accepted.Hash:
		c.log.Error("config-object-missing", "version", accepted.Version, "hash", accepted.Hash)
	default:
		c.hold(accepted.Version, accepted.Hash, body)
	}
}

// noteStore keeps the store's state for the admin page and logs when it changes.
func (c *Control) noteStore(request string, err error) {
	c.mu.Lock()
	was := c.storeState.Error
	c.storeState.Error = ""
	if err != nil {
		c.storeState.Error = err.Error()
		c.storeState.Failures++
	} else {
		c.storeState.LastAnswer = c.now()
	}
	c.mu.Unlock()
	switch {
	case err != nil:
		c.metrics.Add("store-failures", 1, request)
		if was == "" {
			c.log.Warn("store-unavailable", "request", request, "error", err)
		}
	case was != "":
		c.log.Info("store-available", "request", request)
	}
}

// announcement is the value of a row in the members table.
type announcement struct {
	Member membership.Member `json:"member"`
	// LeaseMillis is the age up to which a node that does not know the member yet may count on it.
	LeaseMillis int64 `json:"lease-ms"`
}

// announceLoop writes the own row soon after the start, at intervals and after changes of the own state.
func (c *Control) announceLoop(ctx context.Context) error {
	pause := c.tuning.seedRetry
	return c.repeat(ctx, c.tuning.renew, c.renewNow, func(ctx context.Context) {
		// Changes of the state that come during the pause share one write.
		if !sleep(ctx, c.options.Rand.Jitter(pause, 1)) {
			return
		}
		pause = c.tuning.gather
		select {
		case <-c.renewNow:
		default:
		}
		c.writeRow(ctx)
	})
}

func (c *Control) writeRow(ctx context.Context) {
	c.mu.Lock()
	self := c.view.Self()
	c.mu.Unlock()
	if self.State == membership.StateLeft {
		return
	}
	value, err := json.Marshal(announcement{Member: self, LeaseMillis: c.tuning.lease.Milliseconds()})
	if err != nil {
		c.log.Error("announcement-not-encoded", "error", err)
		return
	}
	_, err = c.store.Transact(ctx, tablestore.MembersTable, []tablestore.Write{{Key: self.ID, Value: string(value)}})
	c.noteStore("announce", err)
}

// deleteRow takes the own row out of the table on a planned stop. Its failure does no harm, because the lease lapses.
func (c *Control) deleteRow() {
	if c.store == nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.group.Context(), c.tuning.stopWait)
	defer cancel()
	_, err := c.store.Transact(ctx, tablestore.MembersTable, []tablestore.Write{{Key: c.selfID(), Delete: true}})
	c.noteStore("withdraw", err)
}

func (c *Control) selfID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Self().ID
}

// listLoop reads the members table, first as a whole and then what changed.
func (c *Control) listLoop(ctx context.Context) error {
	var since uint64
	var listed time.Time
	wait := c.options.Rand.Jitter(c.tuning.seedRetry, 1)
	for sleep(ctx, wait) {
		wait = c.options.Rand.Jitter(c.tuning.list, jitter)
		if !c.listDue(listed) {
			continue
		}
		revision, rows, err := c.store.Rows(ctx, tablestore.MembersTable, since)
		c.noteStore("list", err)
		switch {
		case err != nil:
		case revision < since:
			// A table with a lower revision was set up anew.
			since = 0
		default:
			if since == 0 {
				c.deleteLapsed(ctx, rows)
			}
			since = revision
			listed = c.now()
			c.takeRows(rows)
		}
	}
	return nil
}

// listDue reports whether to list now. Renewals change every row twice a minute, so each listing carries the whole table:
// about 250 KB at the target size. The link nodes of a region list each minute and flood what is new; the others do so
// only now and then, or while they have no peers to hear from.
func (c *Control) listDue(listed time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.synced || len(c.peers) == 0 || c.rings.HoldsLinks(c.view.Self()) {
		return true
	}
	return c.now().Sub(listed) >= c.tuning.listRare
}

// deleteLapsed removes a few rows of nodes that ended without notice long ago, which nobody else would remove.
func (c *Control) deleteLapsed(ctx context.Context, rows []tablestore.Row) {
	var writes []tablestore.Write
	for _, row := range rows {
		if !row.Deleted && row.Age() > lapsedLeases*c.tuning.lease && len(writes) < lapsedRows {
			writes = append(writes, tablestore.Write{Key: row.Key, Delete: true, IfVersion: kernel.Some(row.Version)})
		}
	}
	if len(writes) == 0 {
		return
	}
	_, err := c.store.Transact(ctx, tablestore.MembersTable, writes)
	var conflict *tablestore.ConflictError
	if !errors.As(err, &conflict) {
		c.noteStore("delete-lapsed", err)
	}
}

func (c *Control) takeRows(rows []tablestore.Row) {
	c.mu.Lock()
	for _, row := range rows {
		var a announcement
		if row.Deleted || json.Unmarshal([]byte(row.Value), &a) != nil || a.Member.ID != row.Key {
			continue
		}
		if row.Age() <= time.Duration(a.LeaseMillis)*time.Millisecond {
			c.merge(nil, a.Member, c.synced)
		}
	}
	c.mu.Unlock()
	signal(c.changed)
}
