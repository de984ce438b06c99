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

// loadedConfig is a configuration that this node has fetched and parsed, with its text to pass on to peers.
type loadedConfig struct {
	version uint64
	hash    string
	text    []byte
	config  *inventory.Config
}

func (c *Control) loadedVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.adopter.LoadedVersion()
}

// recordPeerVersion records the configuration version that a peer has loaded and pulls the text if that version is higher.
func (c *Control) recordPeerVersion(p *peer, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.adopter.SetPeerVersion(p.id, version)
	now := c.now()
	if !c.adopter.IsNewer(version) || version <= c.unreadableVersion {
		return
	}
	if version <= c.pullVersion && now.Before(c.pullDeadline) {
		return
	}
	c.pullVersion, c.pullDeadline = version, now.Add(c.tuning.pullTimeout)
	p.send(configPull{Version: version})
}

func (c *Control) handleConfigPull(p *peer, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loaded.version >= version && c.loaded.version > 0 {
		p.send(configText{Version: c.loaded.version, Hash: c.loaded.hash, Text: c.loaded.text})
	}
}

func (c *Control) handleConfigText(p *peer, f configText) {
	if rollout.Hash(f.Text) != f.Hash {
		c.metrics.Add("control-texts-damaged", 1)
		c.log.Warn("config-text-damaged", "version", f.Version, "peer", p.id)
		return
	}
	c.loadConfig(f.Version, f.Hash, f.Text)
}

// loadConfig parses the text of a higher version, stores it and notifies all peers. A text that this release cannot parse is
// skipped, so that the current configuration stays in force.
func (c *Control) loadConfig(version uint64, hash string, text []byte) {
	c.mu.Lock()
	wanted := c.adopter.IsNewer(version)
	c.mu.Unlock()
	if !wanted {
		return
	}
	config, err := parseConfig(version, text)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.unreadableVersion = max(c.unreadableVersion, version)
		c.metrics.Add("control-texts-unreadable", 1)
		c.log.Error("config-unreadable", "version", version, "error", err)
		return
	}
	if !c.adopter.SetLoadedVersion(c.now(), version) {
		return
	}
	c.loaded = loadedConfig{version: version, hash: hash, text: text, config: config}
	for p := range c.peers {
		p.send(configNotice{Version: version, Hash: hash})
	}
}

func parseConfig(version uint64, text []byte) (*inventory.Config, error) {
	files, err := rollout.Decode(text)
	if err != nil {
		return nil, err
	}
	config, problems := inventory.Parse(files)
	if len(problems) > 0 {
		return nil, problems[0]
	}
	return config.WithVersion(version), nil
}

// adopt puts the loaded version in force if the adopter allows it. The caller must hold c.mu.
func (c *Control) adopt(now time.Time) {
	if c.adopter.LoadedVersion() == c.adopter.InForce() {
		return
	}
	version, ok := c.adopter.Adopt(now, c.regionPeerIDs(), c.synced)
	if !ok {
		return
	}
	c.inForce, c.inForceAt = c.loaded, now
	c.log.Info("config-in-force", "version", version, "hash", c.loaded.hash)
}

// pollLoop polls the store for a new configuration, periodically and on PollStore.
func (c *Control) pollLoop(ctx context.Context) error {
	return c.runEvery(ctx, c.tuning.pollInterval, c.pollNow, c.poll)
}

// runEvery calls f shortly after the start, then at each interval and on each signal of trigger, until ctx ends.
func (c *Control) runEvery(ctx context.Context, interval time.Duration, trigger <-chan struct{}, f func(context.Context)) error {
	wait := c.options.Rand.Jitter(c.tuning.seedRetryDelay, 1)
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-trigger:
		case <-timer.C:
		}
		timer.Stop()
		f(ctx)
		wait = c.options.Rand.Jitter(interval, jitterFraction)
	}
}

func (c *Control) poll(ctx context.Context) {
	held := c.loadedVersion()
	accepted, ok, err := rollout.Current(ctx, c.store)
	c.recordStoreResult("poll", err)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.adopter.SetStoreVersion(accepted.Version)
	c.storeStatus.ConfigRead = true
	if accepted.Version < held && accepted.Version != c.polledVersion {
		c.log.Warn("config-ahead-of-store", "version", held, "accepted", accepted.Version)
	}
	c.polledVersion = accepted.Version
	wanted := ok && c.adopter.IsNewer(accepted.Version) && accepted.Version != c.unreadableVersion
	c.mu.Unlock()
	if !wanted {
		return
	}
	text, ok, err := c.store.Object(ctx, accepted.Hash)
	c.recordStoreResult("object", err)
	switch {
	case err != nil:
	case !ok || rollout.Hash(text) != accepted.Hash:
		c.log.Error("config-object-missing", "version", accepted.Version, "hash", accepted.Hash)
	default:
		c.loadConfig(accepted.Version, accepted.Hash, text)
	}
}

// recordStoreResult updates the store status for the admin page and logs when the store becomes available or unavailable.
func (c *Control) recordStoreResult(request string, err error) {
	c.mu.Lock()
	previous := c.storeStatus.Error
	c.storeStatus.Error = ""
	if err != nil {
		c.storeStatus.Error = err.Error()
		c.storeStatus.Failures++
	} else {
		c.storeStatus.LastAnswer = c.now()
	}
	c.mu.Unlock()
	switch {
	case err != nil:
		c.metrics.Add("store-failures", 1, request)
		if previous == "" {
			c.log.Warn("store-unavailable", "request", request, "error", err)
		}
	case previous != "":
		c.log.Info("store-available", "request", request)
	}
}

// announceLoop writes this node's row shortly after the start, at intervals and after changes of its state.
func (c *Control) announceLoop(ctx context.Context) error {
	pause := c.tuning.seedRetryDelay
	return c.runEvery(ctx, c.tuning.renewInterval, c.renewNow, func(ctx context.Context) {
		// State changes during the pause are batched into one write.
		if !sleep(ctx, c.options.Rand.Jitter(pause, 1)) {
			return
		}
		pause = c.tuning.maxWriteDelay
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
	value, err := json.Marshal(membership.Row{Member: self, LeaseMillis: c.tuning.leaseDuration.Milliseconds()})
	if err != nil {
		c.log.Error("announcement-not-encoded", "error", err)
		return
	}
	_, err = c.store.Transact(ctx, tablestore.MembersTable, []tablestore.Write{{Key: self.ID, Value: string(value)}})
	c.recordStoreResult("announce", err)
}

// deleteRow deletes this node's row on a planned stop. A failure does no harm, because the lease expires.
func (c *Control) deleteRow() {
	if c.store == nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.group.Context(), c.tuning.stopTimeout)
	defer cancel()
	_, err := c.store.Transact(ctx, tablestore.MembersTable, []tablestore.Write{{Key: c.selfID(), Delete: true}})
	c.recordStoreResult("withdraw", err)
}

func (c *Control) selfID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Self().ID
}

// listLoop reads the members table, first all rows and then only those changed since the last listing.
func (c *Control) listLoop(ctx context.Context) error {
	var since tablestore.Mark
	var lastListed time.Time
	wait := c.options.Rand.Jitter(c.tuning.seedRetryDelay, 1)
	for sleep(ctx, wait) {
		wait = c.options.Rand.Jitter(c.tuning.listInterval, jitterFraction)
		if !c.listDue(lastListed) {
			continue
		}
		mark, rows, err := c.store.Rows(ctx, tablestore.MembersTable, since)
		c.recordStoreResult("list", err)
		if err != nil {
			continue
		}
		if since == (tablestore.Mark{}) {
			c.deleteExpired(ctx, rows)
		} else if mark.Era != since.Era {
			c.log.Warn("store-restored", "era", mark.Era, "revision", mark.Revision, "revision-before", since.Revision)
		}
		since = mark
		lastListed = c.now()
		c.mergeRows(rows)
	}
	return nil
}

// listDue reports whether to list the members table now. Lease renewals change every row twice a minute, so each listing
// transfers the whole table: about 250 KB at the target size. The link nodes of a region list each minute and flood what is
// new. The other nodes list at rareListInterval, or each minute while they have no peers or have not synced with one.
func (c *Control) listDue(lastListed time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.synced || len(c.peers) == 0 || c.rings.IsLinkNode(c.view.Self()) {
		return true
	}
	return c.now().Sub(lastListed) >= c.tuning.rareListInterval
}

// deleteExpired deletes a few rows of nodes that ended long ago without deleting their row; nothing else deletes them.
func (c *Control) deleteExpired(ctx context.Context, rows []tablestore.Row) {
	var writes []tablestore.Write
	for _, row := range rows {
		if !row.Deleted && row.Age() > expiredRowLeases*c.tuning.leaseDuration && len(writes) < maxExpiredRowDeletes {
			writes = append(writes, tablestore.Write{Key: row.Key, Delete: true, IfVersion: kernel.Some(row.Version)})
		}
	}
	if len(writes) == 0 {
		return
	}
	_, err := c.store.Transact(ctx, tablestore.MembersTable, writes)
	var conflict *tablestore.ConflictError
	if !errors.As(err, &conflict) {
		c.recordStoreResult("delete-lapsed", err)
	}
}

// mergeRows adds the live members of rows to the view. It skips rows that can't be read, which another writer may leave.
func (c *Control) mergeRows(rows []tablestore.Row) {
	c.mu.Lock()
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		decoded, err := membership.Row{}, row.Err
		if err == nil {
			decoded, err = membership.DecodeRow(row.Key, row.Value)
		}
		switch {
		case err != nil:
			c.logMalformedRowLocked(row, err)
		case decoded.IsLive(row.Age()):
			c.merge(nil, decoded.Member, c.synced)
		}
	}
	c.mu.Unlock()
	signal(c.changed)
}

// logMalformedRowLocked counts a malformed row and logs it once for each of its versions.
func (c *Control) logMalformedRowLocked(row tablestore.Row, err error) {
	logged := c.malformedRows.GetOrAdd(row.Key)
	if *logged == row.Version+1 {
		return
	}
	*logged = row.Version + 1
	c.metrics.Add("malformed-member-rows", 1)
	c.log.Warn("member-row-malformed", "key", row.Key, "version", row.Version, "error", err)
}
