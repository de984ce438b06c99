package quarantine

import "time"

// CrashBound is the number of backend servers that one request may crash before it is refused.
const CrashBound = 2

// Report says that a digest was in flight at crashes of backend servers, for spreading to other nodes.
type Report struct {
	Digest uint64 `cbor:"1,keyasint"`
	// Crash identifies the crash: member id and number of the crash there, so that a report counts once.
	Crash string `cbor:"2,keyasint"`
	// Cleared means that the request has since been answered.
	Cleared bool `cbor:"3,keyasint,omitempty"`
}

// Table counts crashes by digest; its zero value is empty. The caller serializes access to it.
type Table struct{}

// Refuses reports whether the digest is quarantined; crashes is the count that travelled with the call.
func (t *Table) Refuses(now time.Time, digest uint64, crashes int) bool { return crashes >= CrashBound }

// Crashed records a crash of the own backend server with these digests in flight and returns the reports to spread.
func (t *Table) Crashed(now time.Time, crash string, digests []uint64) []Report { return nil }

// Answered records a good answer and returns a report to spread when the digest was suspect.
func (t *Table) Answered(now time.Time, digest uint64) []Report { return nil }

// Merge takes a report from another node and reports whether it was new.
func (t *Table) Merge(now time.Time, r Report) bool { return false }

// Crashes returns the crashes counted for a digest.
func (t *Table) Crashes(now time.Time, digest uint64) int { return 0 }
