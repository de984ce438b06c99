package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// SuspicionTimeout is the time that a suspected member has for its refutation.
	SuspicionTimeout = 5 * time.Second
	// TombstoneRetention outlasts announcements that are still on their way; a longer partition may bring a dead member
	// back, which its watchers then remove again.
	TombstoneRetention = 10 * time.Minute
	// MaxMembers bounds the view, tombstones included.
	MaxMembers = 20_000
	// DigestBuckets is the number of parts that the digest compares separately, so that a difference costs only the
	// announcements of one part.
	DigestBuckets = 64

	purgeInterval = 10 * time.Second
)

// Digest summarizes a view; two views with the same live announcements have the same digest.
type Digest [DigestBuckets]uint64

// Mark is a doubt about one announcement of a member.
type Mark struct {
	ID      string `cbor:"1,keyasint"`
	Counter uint64 `cbor:"2,keyasint"`
	Dead    bool   `cbor:"3,keyasint,omitempty"`
}

type entry struct {
	m Member
	// replaced means that a later member has the same control address.
	replaced bool
	// since is the time at which this node saw the suspicion or the removal.
	since time.Time
}

func (e *entry) live() bool { return !e.m.gone() && !e.replaced }

// View is a node's knowledge of all members; its zero value is empty and has no own member. The caller serializes access.
type View struct {
	self      Member
	entries   map[string]*entry
	byControl map[string][]string
	suspects  map[string]struct{}
	digest    Digest
	liveCount int
	changes   uint64
	roster    uint64
	purgeAt   time.Time
	retention time.Duration
	timeout   time.Duration
}

// NewView returns a view that holds only the own member.
func NewView(now time.Time, self Member) *View {
	v := &View{self: self}
	v.Merge(now, self)
	return v
}

// SetTimeouts replaces the suspicion timeout and the retention of tombstones.
func (v *View) SetTimeouts(suspicion, retention time.Duration) {
	v.timeout, v.retention = suspicion, retention
}

// Changes grows with each change of the view.
func (v *View) Changes() uint64 { return v.changes }

// Roster grows when a member enters or leaves the set of live members or changes its region, which is when the rings change.
func (v *View) Roster() uint64 { return v.roster }

// Digest returns the digest of the live announcements.
func (v *View) Digest() Digest { return v.digest }

// Self returns the own announcement.
func (v *View) Self() Member { return v.self }

// Merge takes an announcement and reports whether the view changed. Merging is commutative, associative and idempotent as
// long as the view is not full.
func (v *View) Merge(now time.Time, m Member) bool {
	if !m.Valid() {
		return false
	}
	m.Suspected = m.Suspected || m.Dead
	old, known := v.entries[m.ID]
	if known && compare(m, old.m) <= 0 {
		return false
	}
	if !known && !v.makeRoom() {
		return false
	}
	v.put(now, m)
	return true
}

// MergeMark takes a doubt about an announcement that the view holds and reports whether the view changed.
func (v *View) MergeMark(now time.Time, k Mark) bool {
	e, ok := v.entries[k.ID]
	if !ok || e.m.Counter != k.Counter {
		return false
	}
	m := e.m
	m.Suspected = true
	m.Dead = m.Dead || k.Dead
	return v.Merge(now, m)
}

// Suspect records that the member cannot be reached and reports whether that is new.
func (v *View) Suspect(now time.Time, id string) bool {
	e, ok := v.entries[id]
	return ok && e.live() && v.MergeMark(now, Mark{ID: id, Counter: e.m.Counter})
}

// Remove records that another member answers at the address of this one.
func (v *View) Remove(now time.Time, id string) bool {
	e, ok := v.entries[id]
	return ok && v.MergeMark(now, Mark{ID: id, Counter: e.m.Counter, Dead: true})
}

// SetState announces a new state of the own member.
func (v *View) SetState(now time.Time, s State) {
	v.self.State = s
	v.announce(now)
}

// SetPlace announces the region and slots of the own member, which a node only learns from the configuration.
func (v *View) SetPlace(now time.Time, region string, slots int) {
	v.self.Region, v.self.Slots = region, slots
	v.announce(now)
}

// Refute announces the own member again when the view doubts it, and reports whether it did.
func (v *View) Refute(now time.Time) bool {
	refuted := false
	for v.doubted() {
		if w, ok := v.replacement(v.entries[v.self.ID]); ok {
			v.self.Started = w.Started + 1
		}
		v.announce(now)
		refuted = true
	}
	return refuted
}

func (v *View) doubted() bool {
	e, ok := v.entries[v.self.ID]
	return ok && e.m.State != StateLeft && (!e.live() || e.m.doubt() > 0)
}

func (v *View) announce(now time.Time) {
	m := v.self
	if e, ok := v.entries[m.ID]; ok {
		m.Counter = max(m.Counter, e.m.Counter)
	}
	m.Counter++
	v.self = m
	v.Merge(now, m)
}

// Tick removes members whose suspicion was not refuted and old tombstones, and returns the ids that were removed. An
// isolated node cannot hear refutations, so for it the time does not count.
func (v *View) Tick(now time.Time, isolated bool) []string {
	var removed []string
	for id := range v.suspects {
		e := v.entries[id]
		switch {
		case isolated:
			e.since = now
		case now.Sub(e.since) >= cmp.Or(v.timeout, SuspicionTimeout):
			m := e.m
			m.Dead = true
			v.put(now, m)
			removed = append(removed, id)
		}
	}
	if !now.Before(v.purgeAt) {
		v.purgeAt = now.Add(purgeInterval)
		v.purge(now)
	}
	slices.Sort(removed)
	return removed
}

// Get returns what the view holds of an id, also when that member is dead or has left.
func (v *View) Get(id string) (Member, bool) {
	e, ok := v.entries[id]
	if !ok {
		return Member{}, false
	}
	return e.m, true
}

// IsLive reports whether the id is a live member.
func (v *View) IsLive(id string) bool {
	e, ok := v.entries[id]
	return ok && e.live()
}

// Len returns the number of live members, the own one included.
func (v *View) Len() int { return v.liveCount }

// Live returns the live members, the own one included, ordered by id.
func (v *View) Live() []Member {
	members := make([]Member, 0, v.liveCount)
	for _, e := range v.entries {
		if e.live() {
			members = append(members, e.m)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// Differing returns the live members in the parts in which the other digest differs, and these parts.
func (v *View) Differing(other Digest) ([]Member, []int) {
	var parts []int
	for i := range v.digest {
		if v.digest[i] != other[i] {
			parts = append(parts, i)
		}
	}
	return v.InParts(parts), parts
}

// InParts returns the live members of some parts of the digest, ordered by id.
func (v *View) InParts(parts []int) []Member {
	if len(parts) == 0 {
		return nil
	}
	var wanted [DigestBuckets]bool
	for _, i := range parts {
		if i >= 0 && i < DigestBuckets {
			wanted[i] = true
		}
	}
	return slices.DeleteFunc(v.Live(), func(m Member) bool { return !wanted[bucket(m.ID)] })
}

// Corrections returns the announcements that the sender of m lacks: a later one of the same member, and the member that
// replaced it.
func (v *View) Corrections(m Member) []Member {
	e, ok := v.entries[m.ID]
	if !ok {
		return nil
	}
	var later []Member
	if compare(e.m, m) > 0 {
		later = append(later, e.m)
	}
	if w, ok := v.replacement(e); ok {
		later = append(later, w)
	}
	return later
}

func (v *View) put(now time.Time, m Member) {
	if v.entries == nil {
		v.entries, v.byControl, v.suspects = map[string]*entry{}, map[string][]string{}, map[string]struct{}{}
	}
	e, known := v.entries[m.ID]
	if !known {
		e = &entry{}
		v.entries[m.ID] = e
	}
	before, region, wasLive := e.m.Control, e.m.Region, known && e.live()
	v.count(e, known, -1)
	e.m, e.since = m, now
	v.count(e, true, 1)
	v.changes++
	if wasLive != e.live() || region != m.Region {
		v.roster++
	}
	if !known || before != m.Control {
		v.unindex(before, m.ID)
		if m.Control != "" {
			v.byControl[m.Control] = append(v.byControl[m.Control], m.ID)
		}
	}
	v.settle(now, before)
	v.settle(now, m.Control)
	v.trackSuspect(e)
}

// settle marks all members at an address but the latest as replaced. Tombstones count too, so that the result does not
// depend on the order in which announcements arrive.
func (v *View) settle(now time.Time, control string) {
	ids := v.byControl[control]
	var latest *entry
	for _, id := range ids {
		if e := v.entries[id]; latest == nil || later(e.m, latest.m) {
			latest = e
		}
	}
	for _, id := range ids {
		e := v.entries[id]
		replaced := e != latest
		if replaced == e.replaced {
			continue
		}
		wasLive := e.live()
		v.count(e, true, -1)
		e.replaced, e.since = replaced, now
		v.count(e, true, 1)
		if wasLive != e.live() {
			v.roster++
		}
		v.changes++
		v.trackSuspect(e)
	}
}

func later(a, b Member) bool {
	return cmp.Or(cmp.Compare(a.Started, b.Started), strings.Compare(a.ID, b.ID)) > 0
}

func (v *View) replacement(e *entry) (Member, bool) {
	if !e.replaced {
		return Member{}, false
	}
	w := e.m
	for _, id := range v.byControl[e.m.Control] {
		if m := v.entries[id].m; later(m, w) {
			w = m
		}
	}
	return w, w.ID != e.m.ID
}

func (v *View) trackSuspect(e *entry) {
	if e.live() && e.m.Suspected {
		v.suspects[e.m.ID] = struct{}{}
	} else {
		delete(v.suspects, e.m.ID)
	}
}

// count adds an entry to the digest and the number of live members, or takes it out with sign -1.
func (v *View) count(e *entry, known bool, sign int) {
	if !known || !e.live() {
		return
	}
	v.liveCount += sign
	v.digest[bucket(e.m.ID)] ^= fingerprint(e.m)
}

func (v *View) unindex(control, id string) {
	ids := slices.DeleteFunc(v.byControl[control], func(other string) bool { return other == id })
	if len(ids) == 0 {
		delete(v.byControl, control)
	} else {
		v.byControl[control] = ids
	}
}

func (v *View) drop(now time.Time, id string) {
	e := v.entries[id]
	v.count(e, true, -1)
	delete(v.entries, id)
	delete(v.suspects, id)
	v.unindex(e.m.Control, id)
	v.settle(now, e.m.Control)
}

func (v *View) purge(now time.Time) {
	for id, e := range v.entries {
		if id != v.self.ID && !e.live() && now.Sub(e.since) >= cmp.Or(v.retention, TombstoneRetention) {
			v.drop(now, id)
		}
	}
}

// makeRoom drops the oldest tombstone of a full view; live members are never dropped for new ones.
func (v *View) makeRoom() bool {
	if len(v.entries) < MaxMembers {
		return true
	}
	var oldest *entry
	for _, e := range v.entries {
		if !e.live() && e.m.ID != v.self.ID && (oldest == nil || e.since.Before(oldest.since)) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	v.drop(oldest.since, oldest.m.ID)
	return true
}

func bucket(id string) int { return int(xxhash.Sum64String(id) % DigestBuckets) }

func fingerprint(m Member) uint64 {
	b := make([]byte, 0, maxIDBytes+9)
	b = binary.BigEndian.AppendUint64(b, m.Counter)
	b = append(b, byte(m.doubt()))
	return xxhash.Sum64(append(b, m.ID...))
}
