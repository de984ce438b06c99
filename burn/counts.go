package burn

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"lovagelane/call"
)

// Kind is what became of a counted call.
type Kind uint8

const (
	// KindGood marks calls that were answered within the duration of the objective.
	KindGood Kind = iota
	// KindShed marks calls that were refused because of load.
	KindShed
	// KindFailed marks calls that were refused for another reason or answered with a server error.
	KindFailed
	// KindLate marks calls that were answered after the duration of the objective.
	KindLate
	// KindUnknown marks calls that may or may not have run.
	KindUnknown
	kinds
)

var kindNames = [kinds]string{"good", "shed", "failed", "late", "unknown"}

// BadKinds are the kinds that burn an objective.
var BadKinds = []Kind{KindShed, KindFailed, KindLate, KindUnknown}

// String returns the kind as it is written in reports.
func (k Kind) String() string {
	if k < kinds {
		return kindNames[k]
	}
	return fmt.Sprintf("kind-%d", uint8(k))
}

// Classify returns the kind of a call and false for a call that says nothing about the service: one that the caller
// cancelled in time or that was refused for a fault of the caller.
func Classify(outcome call.Outcome, reason call.Reason, status int, took, within time.Duration) (Kind, bool) {
	late := within > 0 && took > within
	switch reason {
	case call.ReasonCancelled:
		return KindLate, late
	case call.ReasonUnknownService, call.ReasonTicketRequired, call.ReasonTicketInvalid, call.ReasonTicketExpired,
		call.ReasonBodyTooLarge, call.ReasonBodyTooSlow, call.ReasonBadRequest:
		return KindFailed, false
	}
	switch {
	case outcome == call.OutcomeUnknown:
		return KindUnknown, true
	case outcome == call.OutcomeNotRun && isLoad(reason):
		return KindShed, true
	case outcome == call.OutcomeNotRun || reason != call.ReasonNone || status >= 500:
		return KindFailed, true
	case late:
		return KindLate, true
	default:
		return KindGood, true
	}
}

func isLoad(r call.Reason) bool {
	switch r {
	case call.ReasonShed, call.ReasonQueueFull, call.ReasonDeadline, call.ReasonBusy:
		return true
	}
	return false
}

// Counts are calls by kind.
type Counts [kinds]int64

// Total returns the number of calls.
func (c Counts) Total() int64 {
	var n int64
	for _, v := range c {
		n += v
	}
	return n
}

// Bad returns the number of calls that burn an objective.
func (c Counts) Bad() int64 { return c.Total() - c[KindGood] }

// With returns the sum of both counts.
func (c Counts) With(other Counts) Counts {
	for i, v := range other {
		c[i] += v
	}
	return c
}

// Bucket holds the calls of one minute, hour or second, numbered since 1970.
type Bucket struct {
	N      int64
	Counts Counts
}

// Buckets are in order of their numbers, without empty ones.
type Buckets []Bucket

// maxBuckets bounds what is accepted from a node for one series; its rings hold less.
const maxBuckets = 1024

// MarshalJSON writes each bucket as an array of the distance to the number before and the counts without the zeros at
// the end, which takes about a tenth of the space of named fields.
func (b Buckets) MarshalJSON() ([]byte, error) {
	rows := make([][]int64, len(b))
	var last int64
	for i, bucket := range b {
		n := len(bucket.Counts)
		for n > 0 && bucket.Counts[n-1] == 0 {
			n--
		}
		rows[i] = append([]int64{bucket.N - last}, bucket.Counts[:n]...)
		last = bucket.N
	}
	return json.Marshal(rows)
}

// UnmarshalJSON reads what MarshalJSON wrote and refuses disordered, negative or too many buckets.
func (b *Buckets) UnmarshalJSON(text []byte) error {
	var rows [][]int64
	if err := json.Unmarshal(text, &rows); err != nil {
		return err
	}
	if len(rows) > maxBuckets {
		return fmt.Errorf("%d buckets exceed the limit of %d", len(rows), maxBuckets)
	}
	*b = make(Buckets, 0, len(rows))
	var last int64
	for _, row := range rows {
		if len(row) == 0 || len(row) > 1+int(kinds) || slices.Min(row) < 0 || last > 0 && row[0] == 0 {
			return fmt.Errorf("malformed bucket %v", row)
		}
		last += row[0]
		bucket := Bucket{N: last}
		copy(bucket.Counts[:], row[1:])
		*b = append(*b, bucket)
	}
	return nil
}

// With returns the sums of both by number.
func (b Buckets) With(other Buckets) Buckets {
	sum := make(Buckets, 0, max(len(b), len(other)))
	for len(b) > 0 && len(other) > 0 {
		switch {
		case b[0].N < other[0].N:
			sum, b = append(sum, b[0]), b[1:]
		case b[0].N > other[0].N:
			sum, other = append(sum, other[0]), other[1:]
		default:
			sum = append(sum, Bucket{N: b[0].N, Counts: b[0].Counts.With(other[0].Counts)})
			b, other = b[1:], other[1:]
		}
	}
	return append(append(sum, b...), other...)
}

// Sum returns the calls in the n buckets up to and including the one numbered last.
func (b Buckets) Sum(last, n int64) Counts {
	var sum Counts
	for _, bucket := range b {
		if bucket.N <= last && bucket.N > last-n {
			sum = sum.With(bucket.Counts)
		}
	}
	return sum
}

// ring keeps the newest buckets.
type ring []Bucket

func newRing(n int) ring {
	r := make(ring, n)
	for i := range r {
		r[i].N = -1
	}
	return r
}

// add ignores times that are older than the ring, as after a clock was set back.
func (r ring) add(n int64, k Kind) {
	if n < 0 {
		return
	}
	b := &r[n%int64(len(r))]
	if n < b.N {
		return
	}
	if n > b.N {
		*b = Bucket{N: n}
	}
	b.Counts[k]++
}

func (r ring) buckets(last int64) Buckets {
	var b Buckets
	for n := max(0, last-int64(len(r))+1); n <= last; n++ {
		if slot := r[n%int64(len(r))]; slot.N == n {
			b = append(b, slot)
		}
	}
	return b
}
