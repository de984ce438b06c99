package quarantine

import (
	"slices"
	"time"
)

const (
	// MaxCrashes is the number of backend servers that one request may crash before it is refused.
	MaxCrashes = 2
	// Period is the duration of a quarantine, from the last crash or the last refused send.
	Period = 10 * time.Minute
	// CrashTTL is how long the crashes of a digest are counted after its last event. It is longer than Period so that one more
	// crash after a quarantine has ended starts the next one.
	CrashTTL = time.Hour
	// MaxDigests is the maximum number of digests in a table.
	MaxDigests = 4096
	// maxCrashesPerDigest is the maximum number of distinct crashes stored for one digest.
	maxCrashesPerDigest = 8
	// maxCrashIDBytes is the maximum length of the identifier of a crash.
	maxCrashIDBytes = 96
)

// Report states that the request with this digest was in flight when a backend server crashed. Nodes gossip reports.
type Report struct {
	Digest uint64 `cbor:"1,keyasint"`
	// Crash identifies the crash by the member ID and the number of the crash there, so that repeated reports count once.
	Crash string `cbor:"2,keyasint"`
	// Cleared means that the request has been answered since the crash.
	Cleared bool `cbor:"3,keyasint,omitempty"`
}

type crash struct {
	id string
	// cleared is never reset, so that the order of reports does not matter.
	cleared bool
}

type entry struct {
	crashes []crash
	// uncleared is the number of crashes that are not cleared.
	uncleared int
	// lastEvent is the time of the last crash, good answer or refused send.
	lastEvent time.Time
	// quarantinedUntil is the end of the quarantine.
	quarantinedUntil time.Time
}

func (e *entry) quarantined(now time.Time) bool {
	return e.uncleared >= MaxCrashes && now.Before(e.quarantinedUntil)
}

// moment holds the times that an entry takes over from a report where they are later than its own.
type moment struct{ lastEvent, quarantinedUntil time.Time }

// advance moves the times of the entry forward to those of a report.
func (e *entry) advance(m moment) {
	if e.lastEvent.Before(m.lastEvent) {
		e.lastEvent = m.lastEvent
	}
	if e.quarantinedUntil.Before(m.quarantinedUntil) {
		e.quarantinedUntil = m.quarantinedUntil
	}
}

// Table counts crashes by request digest. Its zero value is empty. The caller serializes access to it.
type Table struct {
	entries map[uint64]*entry
	// sum is the result of Sum, if summed is set.
	sum    uint64
	summed bool
	// nextExpiry is when the first entry may expire.
	nextExpiry time.Time
}

// Refuses reports whether a call with the digest must be refused; crashes is the count received with the call. A refused send
// of a quarantined digest restarts its quarantine.
func (t *Table) Refuses(now time.Time, digest uint64, crashes int) bool {
	e := t.lookup(now, digest)
	if e == nil || !e.quarantined(now) {
		return crashes >= MaxCrashes
	}
	e.lastEvent, e.quarantinedUntil = now, now.Add(Period)
	return true
}

// Crashed records a crash of the node's own backend server with these digests in flight, and returns the reports to gossip.
func (t *Table) Crashed(now time.Time, crash string, digests []uint64) []Report {
	var reports []Report
	for _, digest := range digests {
		r := Report{Digest: digest, Crash: crash}
		if t.Merge(now, r) {
			reports = append(reports, r)
		}
	}
	return reports
}

// Answered records a good answer, which clears the crashes of the digest, and returns the reports to gossip.
func (t *Table) Answered(now time.Time, digest uint64) []Report {
	e := t.lookup(now, digest)
	if e == nil || e.uncleared == 0 {
		return nil
	}
	var reports []Report
	for i, c := range e.crashes {
		if !c.cleared {
			e.crashes[i].cleared = true
			t.summed = false
			reports = append(reports, Report{Digest: digest, Crash: c.id, Cleared: true})
		}
	}
	e.uncleared, e.lastEvent = 0, now
	return reports
}

// Merge adds a report to the table and returns whether it was new. For each crash, "cleared" takes precedence over "crashed",
// so that reports give the same counts in any order and when repeated. A good answer clears only the crashes that are known
// to the node that received it.
func (t *Table) Merge(now time.Time, r Report) bool {
	seen := moment{lastEvent: now}
	if !r.Cleared {
		seen.quarantinedUntil = now.Add(Period)
	}
	return t.merge(now, r, seen)
}

// merge adds a report that was made at another moment.
func (t *Table) merge(now time.Time, r Report, seen moment) bool {
	if r.Crash == "" || len(r.Crash) > maxCrashIDBytes {
		return false
	}
	e := t.lookup(now, r.Digest)
	if e == nil {
		e = t.add(r.Digest, seen.lastEvent)
	}
	i := slices.IndexFunc(e.crashes, func(c crash) bool { return c.id == r.Crash })
	switch {
	case i < 0 && !e.makeRoom(now):
		return false
	case i < 0:
		e.crashes = append(e.crashes, crash{id: r.Crash, cleared: r.Cleared})
		if !r.Cleared {
			e.uncleared++
		}
	case e.crashes[i].cleared || !r.Cleared:
		return false
	default:
		e.crashes[i].cleared = true
		e.uncleared--
	}
	t.summed = false
	e.advance(seen)
	return true
}

// Crashes returns the number of uncleared crashes of a digest. It is below MaxCrashes unless the digest is quarantined.
func (t *Table) Crashes(now time.Time, digest uint64) int {
	e := t.lookup(now, digest)
	switch {
	case e == nil:
		return 0
	case e.quarantined(now):
		return e.uncleared
	default:
		return min(e.uncleared, MaxCrashes-1)
	}
}

// Len returns the number of digests in the table.
func (t *Table) Len() int { return len(t.entries) }

// makeRoom ensures that another crash can be stored, if necessary by removing a cleared one, or the oldest one when the
// quarantine has ended and the new crash is to start the next. It returns false when all stored crashes are uncleared and the
// digest is quarantined anyway.
func (e *entry) makeRoom(now time.Time) bool {
	if len(e.crashes) < maxCrashesPerDigest {
		return true
	}
	i := slices.IndexFunc(e.crashes, func(c crash) bool { return c.cleared })
	if i < 0 && e.quarantined(now) {
		return false
	}
	if i < 0 {
		i = 0
		e.uncleared--
	}
	e.crashes = slices.Delete(e.crashes, i, i+1)
	return true
}

// lookup returns the entry of a digest, or nil. It removes an entry whose last event is at least CrashTTL ago.
func (t *Table) lookup(now time.Time, digest uint64) *entry {
	e, ok := t.entries[digest]
	if ok && now.Sub(e.lastEvent) >= CrashTTL {
		delete(t.entries, digest)
		t.summed = false
		return nil
	}
	return e
}

func (t *Table) add(digest uint64, lastEvent time.Time) *entry {
	if t.entries == nil {
		t.entries = map[uint64]*entry{}
	}
	if len(t.entries) >= MaxDigests {
		t.evict()
	}
	if expiry := lastEvent.Add(CrashTTL); len(t.entries) == 0 || expiry.Before(t.nextExpiry) {
		t.nextExpiry = expiry
	}
	e := &entry{lastEvent: lastEvent}
	t.entries[digest] = e
	return e
}

// evict removes the digest with the fewest uncleared crashes. The oldest last event breaks ties.
func (t *Table) evict() {
	var victim uint64
	var least *entry
	for digest, e := range t.entries {
		if least == nil || e.uncleared < least.uncleared || e.uncleared == least.uncleared && e.lastEvent.Before(least.lastEvent) {
			victim, least = digest, e
		}
	}
	delete(t.entries, victim)
	t.summed = false
}
