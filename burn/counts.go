package burn

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"lovagelane/call"
)

// Kind classifies the outcome of a counted call.
type Kind uint8

const (
	// KindGood is a call that was answered within the duration of the objective.
	KindGood Kind = iota
	// KindShed is a call that was refused because of overload.
	KindShed
	// KindFailed is a call that was refused for another reason or answered with a server error.
	KindFailed
	// KindLate is a call that was answered, or cancelled by the caller, after the duration of the objective.
	KindLate
	// KindUnknown is a call that may or may not have run.
	KindUnknown
	numKinds
)

var kindNames = [numKinds]string{"good", "shed", "failed", "late", "unknown"}

// BadKinds lists the kinds that spend error budget.
var BadKinds = []Kind{KindShed, KindFailed, KindLate, KindUnknown}

// String returns the name of the kind in reports.
func (k Kind) String() string {
	if k < numKinds {
		return kindNames[k]
	}
	return fmt.Sprintf("kind-%d", uint8(k))
}

// Classify returns the kind of a call, and false if the call does not count for the objective: the caller cancelled it
// before it was late, or it was refused because of an error of the caller.
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
	case outcome == call.OutcomeNotRun && isOverloadReason(reason):
		return KindShed, true
	case outcome == call.OutcomeNotRun || reason != call.ReasonNone || status >= 500:
		return KindFailed, true
	case late:
		return KindLate, true
	default:
		return KindGood, true
	}
}

func isOverloadReason(r call.Reason) bool {
	switch r {
	case call.ReasonShed, call.ReasonQueueFull, call.ReasonDeadline, call.ReasonBusy:
		return true
	}
	return false
}

// Counts holds the number of calls of each kind.
type Counts [numKinds]int64

// Total returns the number of calls.
func (c Counts) Total() int64 {
	var n int64
	for _, v := range c {
		n += v
	}
	return n
}

// Bad returns the number of calls that spend error budget.
func (c Counts) Bad() int64 { return c.Total() - c[KindGood] }

// Plus returns the sum of both counts.
func (c Counts) Plus(other Counts) Counts {
	for i, v := range other {
		c[i] += v
	}
	return c
}

// Bucket holds the calls of one second, minute or hour. Index counts such periods from the start of 1970.
type Bucket struct {
	Index  int64
	Counts Counts
}

// Buckets is a series of buckets in ascending order of index, without empty ones.
type Buckets []Bucket

// maxBuckets bounds the buckets of one series that are accepted from a node; a recorder's rings hold fewer.
const maxBuckets = 1024

// MarshalJSON encodes each bucket as an array of the difference to the previous index and the counts without trailing
// zeros, which takes about a tenth of the space of named fields.
func (b Buckets) MarshalJSON() ([]byte, error) {
	rows := make([][]int64, len(b))
	var last int64
	for i, bucket := range b {
		n := len(bucket.Counts)
		for n > 0 && bucket.Counts[n-1] == 0 {
			n--
		}
		rows[i] = append([]int64{bucket.Index - last}, bucket.Counts[:n]...)
		last = bucket.Index
	}
	return json.Marshal(rows)
}

// UnmarshalJSON decodes the format of MarshalJSON. It rejects buckets that are out of order or negative, and more than
// maxBuckets of them.
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
		if len(row) == 0 || len(row) > 1+int(numKinds) || slices.Min(row) < 0 || last > 0 && row[0] == 0 {
			return fmt.Errorf("malformed bucket %v", row)
		}
		last += row[0]
		bucket := Bucket{Index: last}
		copy(bucket.Counts[:], row[1:])
		*b = append(*b, bucket)
	}
	return nil
}

// Plus returns the sum of both series by index.
func (b Buckets) Plus(other Buckets) Buckets {
	sum := make(Buckets, 0, max(len(b), len(other)))
	for len(b) > 0 && len(other) > 0 {
		switch {
		case b[0].Index < other[0].Index:
			sum, b = append(sum, b[0]), b[1:]
		case b[0].Index > other[0].Index:
			sum, other = append(sum, other[0]), other[1:]
		default:
			sum = append(sum, Bucket{Index: b[0].Index, Counts: b[0].Counts.Plus(other[0].Counts)})
			b, other = b[1:], other[1:]
		}
	}
	return append(append(sum, b...), other...)
}

// Sum returns the calls in the n buckets up to and including index last.
func (b Buckets) Sum(last, n int64) Counts {
	var sum Counts
	for _, bucket := range b {
		if bucket.Index <= last && bucket.Index > last-n {
			sum = sum.Plus(bucket.Counts)
		}
	}
	return sum
}

// ring is a ring buffer of the newest buckets; an unused slot has index -1.
type ring []Bucket

func newRing(n int) ring {
	r := make(ring, n)
	for i := range r {
		r[i].Index = -1
	}
	return r
}

// add counts a call in the bucket with index n. It ignores an index that is older than the bucket in its slot, which occurs
// after the clock is set back.
func (r ring) add(n int64, k Kind) {
	if n < 0 {
		return
	}
	b := &r[n%int64(len(r))]
	if n < b.Index {
		return
	}
	if n > b.Index {
		*b = Bucket{Index: n}
	}
	b.Counts[k]++
}

func (r ring) buckets(last int64) Buckets {
	var b Buckets
	for n := max(0, last-int64(len(r))+1); n <= last; n++ {
		if slot := r[n%int64(len(r))]; slot.Index == n {
			b = append(b, slot)
		}
	}
	return b
}
