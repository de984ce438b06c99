package quarantine

import (
	"slices"
	"time"
)

const (
	// CrashBound is the number of backend servers that one request may crash before it is refused.
	CrashBound = 2
	// Period is how long a request is refused after its last crash or its last send.
	Period = 10 * time.Minute
	// SuspectPeriod is how long crashes are counted. It is longer than Period so that a request that is sent again after
	// its quarantine is refused after one more crash.
	SuspectPeriod = time.Hour
	// MaxDigests is the number of digests that a table holds.
	MaxDigests = 4096
	// maxCrashes is the number of crashes that are told apart for one digest.
	maxCrashes = 8
	// maxCrashID bounds the identifier of a crash, in bytes.
	maxCrashID = 96
)

// Report says that a digest was in flight at crashes of backend servers, for spreading to other nodes.
type Report struct {
	Digest uint64 `cbor:"1,keyasint"`
	// Crash identifies the crash: member id and number of the crash there, so that a report counts once.
	Crash string `cbor:"2,keyasint"`
	// Cleared means that the request has since been answered.
	Cleared bool `cbor:"3,keyasint,omitempty"`
}

type crash struct {
	id string
	// cleared stays set once it is, in whatever order reports arrive.
	cleared bool
}

type entry struct {
	crashes []crash
	// live is the number of crashes that were not cleared.
	live int
	// last is the time of the last crash, good answer or refused send.
	last time.Time
	// until is the end of the quarantine.
	until time.Time
}

func (e *entry) quarantined(now time.Time) bool { return e.live >= CrashBound && now.Before(e.until) }

// Table counts crashes by digest; its zero value is empty. The caller serializes access to it.
type Table struct {
	entries map[uint64]*entry
}

// Refuses reports whether the digest is quarantined; crashes is the count that travelled with the call. A send that is
// refused restarts the quarantine.
func (t *Table) Refuses(now time.Time, digest uint64, crashes int) bool {
	e := t.lookup(now, digest)
	if e == nil || !e.quarantined(now) {
		return crashes >= CrashBound
	}
	e.last, e.until = now, now.Add(Period)
	return true
}

// Crashed records a crash of the own backend server with these digests in flight and returns the reports to spread.
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

// Answered records a good answer and returns reports to spread when the digest was suspect.
func (t *Table) Answered(now time.Time, digest uint64) []Report {
	e := t.lookup(now, digest)
	if e == nil || e.live == 0 {
		return nil
	}
	var reports []Report
	for i, c := range e.crashes {
		if !c.cleared {
			e.crashes[i].cleared = true
			reports = append(reports, Report{Digest: digest, Crash: c.id, Cleared: true})
		}
	}
	e.live, e.last = 0, now
	return reports
}

// Merge takes a report from another node and reports whether it was new. For each crash "cleared" wins over "crashed", so
// that reports give the same counts in any order and any number; a good answer clears only crashes known where it was seen.
func (t *Table) Merge(now time.Time, r Report) bool {
	if r.Crash == "" || len(r.Crash) > maxCrashID {
		return false
	}
	e := t.lookup(now, r.Digest)
	if e == nil {
		e = t.add(now, r.Digest)
	}
	i := slices.IndexFunc(e.crashes, func(c crash) bool { return c.id == r.Crash })
	switch {
	case i < 0 && !e.room():
		return false
	case i < 0:
		e.crashes = append(e.crashes, crash{id: r.Crash, cleared: r.Cleared})
	case e.crashes[i].cleared || !r.Cleared:
		return false
	default:
		e.crashes[i].cleared = true
		e.live--
	}
	e.last = now
	if !r.Cleared {
		e.live++
		e.until = now.Add(Period)
	}
	return true
}

// Crashes returns the crashes counted for a digest, which is below CrashBound when its quarantine has ended.
func (t *Table) Crashes(now time.Time, digest uint64) int {
	e := t.lookup(now, digest)
	switch {
	case e == nil:
		return 0
	case e.quarantined(now):
		return e.live
	default:
		return min(e.live, CrashBound-1)
	}
}

// Len returns the number of digests that the table holds.
func (t *Table) Len() int { return len(t.entries) }

// room makes room for another crash by forgetting a cleared one, and reports false when there is none: the digest is then
// quarantined anyway.
func (e *entry) room() bool {
	if len(e.crashes) < maxCrashes {
		return true
	}
	i := slices.IndexFunc(e.crashes, func(c crash) bool { return c.cleared })
	if i < 0 {
		return false
	}
	e.crashes = slices.Delete(e.crashes, i, i+1)
	return true
}

// lookup returns the entry of a digest, and nil for one whose crashes are too old to count.
func (t *Table) lookup(now time.Time, digest uint64) *entry {
	e, ok := t.entries[digest]
	if ok && now.Sub(e.last) >= SuspectPeriod {
		delete(t.entries, digest)
		return nil
	}
	return e
}

func (t *Table) add(now time.Time, digest uint64) *entry {
	if t.entries == nil {
		t.entries = map[uint64]*entry{}
	}
	if len(t.entries) >= MaxDigests {
		t.evict()
	}
	e := &entry{last: now}
	t.entries[digest] = e
	return e
}

// evict forgets the digest with the fewest crashes that count, and of those the one with the oldest event.
func (t *Table) evict() {
	var victim uint64
	var least *entry
	for digest, e := range t.entries {
		if least == nil || e.live < least.live || e.live == least.live && e.last.Before(least.last) {
			victim, least = digest, e
		}
	}
	delete(t.entries, victim)
}
