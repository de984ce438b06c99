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
	// SuspicionTimeout is the time within which a suspected member must refute the suspicion.
	SuspicionTimeout = 5 * time.Second
	// TombstoneRetention is longer than announcements stay in transit. After a longer partition a dead member can reappear;
	// its watchers then remove it again.
	TombstoneRetention = 10 * time.Minute
	// MaxMembers bounds the number of entries in the view, including tombstones.
	MaxMembers = 20_000
	// DigestBuckets is the number of buckets that anti-entropy compares separately, so that one difference costs only the
	// announcements of one bucket.
	DigestBuckets = 64

	purgeInterval = 10 * time.Second
)

// Digest holds a hash for each bucket of a view's live announcements. Views with equal live announcements have equal digests.
type Digest [DigestBuckets]uint64

// Suspicion states that a member is suspected or dead, as of the announcement with the given counter.
type Suspicion struct {
	ID      string `cbor:"1,keyasint"`
	Counter uint64 `cbor:"2,keyasint"`
	Dead    bool   `cbor:"3,keyasint,omitempty"`
}

type entry struct {
	member Member
	// replaced means that a member that started later has the same control address.
	replaced bool
	// timerStart is the start of the suspicion timeout or of the tombstone retention.
	timerStart time.Time
}

func (e *entry) live() bool { return !e.member.deadOrLeft() && !e.replaced }

// View is a node's view of all members; its zero value is empty and has no own member. The caller serializes access to it.
type View struct {
	self               Member
	entries            map[string]*entry
	idsByControl       map[string][]string
	suspects           map[string]struct{}
	digest             Digest
	liveCount          int
	changeCount        uint64
	rosterVersion      uint64
	nextPurge          time.Time
	tombstoneRetention time.Duration
	suspicionTimeout   time.Duration
}

// NewView returns a view that contains only the own member.
func NewView(now time.Time, self Member) *View {
	v := &View{self: self}
	v.Merge(now, self)
	return v
}

// SetTimeouts sets the suspicion timeout and the tombstone retention.
func (v *View) SetTimeouts(suspicion, retention time.Duration) {
	v.suspicionTimeout, v.tombstoneRetention = suspicion, retention
}

// ChangeCount returns the number of changes of the view.
func (v *View) ChangeCount() uint64 { return v.changeCount }

// RosterVersion returns a version that increases when the set of live members or the region of a member changes, which is
// when the rings must be rebuilt.
func (v *View) RosterVersion() uint64 { return v.rosterVersion }

// Digest returns the digest of the live announcements in the view.
func (v *View) Digest() Digest { return v.digest }

// Self returns the announcement of the own member.
func (v *View) Self() Member { return v.self }

// Merge merges an announcement into the view and reports whether the view changed. It is commutative, associative and
// idempotent as long as the view is not full.
func (v *View) Merge(now time.Time, m Member) bool {
	if !m.Valid() {
		return false
	}
	m.Suspected = m.Suspected || m.Dead
	old, known := v.entries[m.ID]
	if known && compareAnnouncements(m, old.member) <= 0 {
		return false
	}
	if !known && !v.ensureCapacity() {
		return false
	}
	v.putEntry(now, m)
	return true
}

// MergeSuspicion merges a suspicion or death of a member and reports whether the view changed. It has no effect unless the
// view contains the announcement that the suspicion refers to.
func (v *View) MergeSuspicion(now time.Time, s Suspicion) bool {
	e, ok := v.entries[s.ID]
	if !ok || e.member.Counter != s.Counter {
		return false
	}
	m := e.member
	m.Suspected = true
	m.Dead = m.Dead || s.Dead
	return v.Merge(now, m)
}

// Suspect marks a live member as suspected because it is unreachable, and reports whether the view changed.
func (v *View) Suspect(now time.Time, id string) bool {
	e, ok := v.entries[id]
	return ok && e.live() && v.MergeSuspicion(now, Suspicion{ID: id, Counter: e.member.Counter})
}

// MarkDead marks a member as dead because another member answers at its address, and reports whether the view changed.
func (v *View) MarkDead(now time.Time, id string) bool {
	e, ok := v.entries[id]
	return ok && v.MergeSuspicion(now, Suspicion{ID: id, Counter: e.member.Counter, Dead: true})
}

// SetState announces a new state of the own member.
func (v *View) SetState(now time.Time, state State) {
	v.self.State = state
	v.announce(now)
}

// SetRegionAndSlots announces the region and slots of the own member, which a node reads from the configuration.
func (v *View) SetRegionAndSlots(now time.Time, region string, slots int) {
	v.self.Region, v.self.Slots = region, slots
	v.announce(now)
}

// Refute announces the own member again with a higher counter while the view has it as suspected, dead or replaced, and
// reports whether it did.
func (v *View) Refute(now time.Time) bool {
	refuted := false
	for v.needsRefutation() {
		if replacement, ok := v.replacementOf(v.entries[v.self.ID]); ok {
			v.self.Started = replacement.Started + 1
		}
		v.announce(now)
		refuted = true
	}
	return refuted
}

func (v *View) needsRefutation() bool {
	e, ok := v.entries[v.self.ID]
	return ok && e.member.State != StateLeft && (!e.live() || e.member.suspicionRank() > 0)
}

func (v *View) announce(now time.Time) {
	m := v.self
	if e, ok := v.entries[m.ID]; ok {
		m.Counter = max(m.Counter, e.member.Counter)
	}
	m.Counter++
	v.self = m
	v.Merge(now, m)
}

// Tick marks members as dead whose suspicion timeout has passed, purges old tombstones, and returns the ids of the members
// that it marked. An isolated node cannot receive refutations, so it restarts the suspicion timeouts.
func (v *View) Tick(now time.Time, isolated bool) []string {
	var removed []string
	for id := range v.suspects {
		e := v.entries[id]
		switch {
		case isolated:
			e.timerStart = now
		case now.Sub(e.timerStart) >= cmp.Or(v.suspicionTimeout, SuspicionTimeout):
			m := e.member
			m.Dead = true
			v.putEntry(now, m)
			removed = append(removed, id)
		}
	}
	if !now.Before(v.nextPurge) {
		v.nextPurge = now.Add(purgeInterval)
		v.purge(now)
	}
	slices.Sort(removed)
	return removed
}

// Get returns the announcement of a member, also when the member is dead, replaced or has left.
func (v *View) Get(id string) (Member, bool) {
	e, ok := v.entries[id]
	if !ok {
		return Member{}, false
	}
	return e.member, true
}

// IsLive reports whether the id is a live member.
func (v *View) IsLive(id string) bool {
	e, ok := v.entries[id]
	return ok && e.live()
}

// Len returns the number of live members, including the own one.
func (v *View) Len() int { return v.liveCount }

// Live returns the live members, including the own one, ordered by id.
func (v *View) Live() []Member {
	members := make([]Member, 0, v.liveCount)
	for _, e := range v.entries {
		if e.live() {
			members = append(members, e.member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// Differing returns the live members in the buckets in which the other digest differs, and the indexes of these buckets.
func (v *View) Differing(other Digest) ([]Member, []int) {
	var buckets []int
	for i := range v.digest {
		if v.digest[i] != other[i] {
			buckets = append(buckets, i)
		}
	}
	return v.InBuckets(buckets), buckets
}

// InBuckets returns the live members in the given digest buckets, ordered by id.
func (v *View) InBuckets(buckets []int) []Member {
	if len(buckets) == 0 {
		return nil
	}
	var wanted [DigestBuckets]bool
	for _, i := range buckets {
		if i >= 0 && i < DigestBuckets {
			wanted[i] = true
		}
	}
	return slices.DeleteFunc(v.Live(), func(m Member) bool { return !wanted[bucket(m.ID)] })
}

// Corrections returns the announcements that supersede m and that its sender therefore lacks: a later one of the same member,
// and that of the member that replaced it.
func (v *View) Corrections(m Member) []Member {
	e, ok := v.entries[m.ID]
	if !ok {
		return nil
	}
	var corrections []Member
	if compareAnnouncements(e.member, m) > 0 {
		corrections = append(corrections, e.member)
	}
	if replacement, ok := v.replacementOf(e); ok {
		corrections = append(corrections, replacement)
	}
	return corrections
}

func (v *View) putEntry(now time.Time, m Member) {
	if v.entries == nil {
		v.entries, v.idsByControl, v.suspects = map[string]*entry{}, map[string][]string{}, map[string]struct{}{}
	}
	e, known := v.entries[m.ID]
	if !known {
		e = &entry{}
		v.entries[m.ID] = e
	}
	oldControl, oldRegion, wasLive := e.member.Control, e.member.Region, known && e.live()
	v.addToTotals(e, known, -1)
	e.member, e.timerStart = m, now
	v.addToTotals(e, true, 1)
	v.changeCount++
	if wasLive != e.live() || oldRegion != m.Region {
		v.rosterVersion++
	}
	if !known || oldControl != m.Control {
		v.unindex(oldControl, m.ID)
		if m.Control != "" {
			v.idsByControl[m.Control] = append(v.idsByControl[m.Control], m.ID)
		}
	}
	v.updateReplaced(now, oldControl)
	v.updateReplaced(now, m.Control)
	v.trackSuspect(e)
}

// updateReplaced marks all members with a control address as replaced, except the one that started last. Tombstones are
// included, so that the result does not depend on the order in which announcements arrive.
func (v *View) updateReplaced(now time.Time, control string) {
	ids := v.idsByControl[control]
	var latest *entry
	for _, id := range ids {
		if e := v.entries[id]; latest == nil || startedLater(e.member, latest.member) {
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
		v.addToTotals(e, true, -1)
		e.replaced, e.timerStart = replaced, now
		v.addToTotals(e, true, 1)
		if wasLive != e.live() {
			v.rosterVersion++
		}
		v.changeCount++
		v.trackSuspect(e)
	}
}

func startedLater(a, b Member) bool {
	return cmp.Or(cmp.Compare(a.Started, b.Started), strings.Compare(a.ID, b.ID)) > 0
}

func (v *View) replacementOf(e *entry) (Member, bool) {
	if !e.replaced {
		return Member{}, false
	}
	latest := e.member
	for _, id := range v.idsByControl[e.member.Control] {
		if m := v.entries[id].member; startedLater(m, latest) {
			latest = m
		}
	}
	return latest, latest.ID != e.member.ID
}

func (v *View) trackSuspect(e *entry) {
	if e.live() && e.member.Suspected {
		v.suspects[e.member.ID] = struct{}{}
	} else {
		delete(v.suspects, e.member.ID)
	}
}

// addToTotals adds a live entry to the digest and to the number of live members, or removes it with sign -1.
func (v *View) addToTotals(e *entry, known bool, sign int) {
	if !known || !e.live() {
		return
	}
	v.liveCount += sign
	v.digest[bucket(e.member.ID)] ^= fingerprint(e.member)
}

func (v *View) unindex(control, id string) {
	ids := slices.DeleteFunc(v.idsByControl[control], func(other string) bool { return other == id })
	if len(ids) == 0 {
		delete(v.idsByControl, control)
	} else {
		v.idsByControl[control] = ids
	}
}

func (v *View) dropEntry(now time.Time, id string) {
	e := v.entries[id]
	v.addToTotals(e, true, -1)
	delete(v.entries, id)
	delete(v.suspects, id)
	v.unindex(e.member.Control, id)
	v.updateReplaced(now, e.member.Control)
}

func (v *View) purge(now time.Time) {
	for id, e := range v.entries {
		if id != v.self.ID && !e.live() && now.Sub(e.timerStart) >= cmp.Or(v.tombstoneRetention, TombstoneRetention) {
			v.dropEntry(now, id)
		}
	}
}

// ensureCapacity drops the oldest tombstone of a full view and reports whether another entry fits. Live members are never
// dropped for new ones.
func (v *View) ensureCapacity() bool {
	if len(v.entries) < MaxMembers {
		return true
	}
	var oldest *entry
	for _, e := range v.entries {
		if !e.live() && e.member.ID != v.self.ID && (oldest == nil || e.timerStart.Before(oldest.timerStart)) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	v.dropEntry(oldest.timerStart, oldest.member.ID)
	return true
}

func bucket(id string) int { return int(xxhash.Sum64String(id) % DigestBuckets) }

func fingerprint(m Member) uint64 {
	b := make([]byte, 0, maxIDBytes+9)
	b = binary.BigEndian.AppendUint64(b, m.Counter)
	b = append(b, byte(m.suspicionRank()))
	return xxhash.Sum64(append(b, m.ID...))
}
