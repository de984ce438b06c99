package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Snapshot is the content of a Table, which nodes send to those that lack a part of it.
type Snapshot struct {
	// Crashes are the identifiers of crashes, to which the records refer by their index.
	Crashes []string `cbor:"1,keyasint,omitempty"`
	Records []Record `cbor:"2,keyasint,omitempty"`
}

// Record is what a Table holds of one digest. Its times are relative, since nodes share no clock.
type Record struct {
	_      struct{} `cbor:",toarray"`
	Digest uint64
	// IdleMS is the time since the last event of the digest, in milliseconds.
	IdleMS int64
	// QuarantineMS is the rest of the quarantine, in milliseconds. It counts only with MaxCrashes crashes that are not cleared.
	QuarantineMS int64
	// Uncleared and Cleared are the indexes of the digest's crashes.
	Uncleared, Cleared []uint16
}

// Snapshot returns the content of the table, which fits into one Snapshot.
func (t *Table) Snapshot(now time.Time) Snapshot {
	t.removeExpired(now)
	var s Snapshot
	index := map[string]uint16{}
	for digest, e := range t.entries {
		r := Record{Digest: digest, IdleMS: now.Sub(e.lastEvent).Milliseconds(),
			QuarantineMS: max(0, e.quarantinedUntil.Sub(now).Milliseconds())}
		for _, c := range e.crashes {
			i, known := index[c.id]
			if !known {
				i = uint16(len(s.Crashes))
				index[c.id] = i
				s.Crashes = append(s.Crashes, c.id)
			}
			if c.cleared {
				r.Cleared = append(r.Cleared, i)
			} else {
				r.Uncleared = append(r.Uncleared, i)
			}
		}
		s.Records = append(s.Records, r)
	}
	slices.SortFunc(s.Records, func(a, b Record) int { return cmp.Compare(a.Digest, b.Digest) })
	return s
}

// MergeSnapshot adds a snapshot of another node to the table and returns the number of crashes and clearings that were new. Crashes
// keep their age, so that passing them on doesn't make a quarantine longer. Invalid records are skipped.
func (t *Table) MergeSnapshot(now time.Time, s Snapshot) int {
	added := 0
	for _, r := range s.Records[:min(len(s.Records), MaxDigests)] {
		if !r.valid(len(s.Crashes)) {
			continue
		}
		seen := moment{lastEvent: now.Add(-time.Duration(r.IdleMS) * time.Millisecond),
			quarantinedUntil: now.Add(time.Duration(r.QuarantineMS) * time.Millisecond)}
		for _, list := range []struct {
			indexes []uint16
			cleared bool
		}{{r.Cleared, true}, {r.Uncleared, false}} {
			for _, i := range list.indexes {
				if t.merge(now, Report{Digest: r.Digest, Crash: s.Crashes[i], Cleared: list.cleared}, seen) {
					added++
				}
			}
		}
		// A quarantine that refused sends have prolonged is prolonged here too.
		if e := t.lookup(now, r.Digest); e != nil {
			e.advance(seen)
		}
	}
	return added
}

// valid reports whether the times are within their bounds and the indexes are below a number of crashes.
func (r Record) valid(crashes int) bool {
	inRange := func(i uint16) bool { return int(i) < crashes }
	return r.IdleMS >= 0 && r.IdleMS < CrashTTL.Milliseconds() && r.QuarantineMS >= 0 && r.QuarantineMS <= Period.Milliseconds() &&
		len(r.Uncleared)+len(r.Cleared) <= maxCrashesPerDigest &&
		!slices.ContainsFunc(r.Uncleared, func(i uint16) bool { return !inRange(i) }) &&
		!slices.ContainsFunc(r.Cleared, func(i uint16) bool { return !inRange(i) })
}

// Sum returns a hash of the crashes in the table, whatever their order and age. It is 0 for an empty table.
func (t *Table) Sum(now time.Time) uint64 {
	t.removeExpired(now)
	if t.summed {
		return t.sum
	}
	t.sum, t.summed = 0, true
	var b []byte
	for digest, e := range t.entries {
		for _, c := range e.crashes {
			b = append(binary.BigEndian.AppendUint64(b[:0], digest), c.id...)
			if c.cleared {
				b = append(b, 0)
			}
			t.sum ^= xxhash.Sum64(b)
		}
	}
	return t.sum
}

// removeExpired removes the entries whose last event is at least CrashTTL ago. It looks at them only when one may have expired.
func (t *Table) removeExpired(now time.Time) {
	if len(t.entries) == 0 || now.Before(t.nextExpiry) {
		return
	}
	t.nextExpiry = now.Add(CrashTTL)
	for digest, e := range t.entries {
		expiry := e.lastEvent.Add(CrashTTL)
		if !now.Before(expiry) {
			delete(t.entries, digest)
			t.summed = false
		} else if expiry.Before(t.nextExpiry) {
			t.nextExpiry = expiry
		}
	}
}
