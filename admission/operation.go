package admission

import (
	"slices"
	"time"

	"lovagelane/kernel"
)

const (
	// maxOperations bounds the operations that a service time is kept for.
	maxOperations = 256
	// ringSize is the number of latest calls of an operation whose median is its service time.
	ringSize = 15
	// fewCalls is the number of calls from which the median of an operation is trusted.
	fewCalls = 5
	// estimateHalfLife is the time without a finished call in which the estimate halves. Without it, an estimate taken
	// during a stall would refuse every call by its deadline and never be corrected.
	estimateHalfLife = time.Second
	// minUsual is the smallest usual time from which stragglers are judged.
	minUsual = 2 * time.Millisecond
)

// operations holds what is learned of each operation.
type operations struct {
	table *kernel.Table[string, operation]
	// all is the mix of all operations.
	all operation
}

// operation holds the latest latencies and the calls in flight of one operation.
type operation struct {
	ring     [ringSize]time.Duration
	n        int
	median   time.Duration
	observed time.Time
	// reference is the first median, the unit in which latencies of different operations are compared.
	reference time.Duration
	arrived   time.Time
	inFlight  int
	// overdue is the number of calls in flight that run far longer than usual.
	overdue int
}

func (o *operations) find(now time.Time, name string) *operation {
	op := o.table.Put(name)
	op.arrived = now
	return op
}

// othersSince reports whether a call of another operation arrived since t.
func (o *operations) othersSince(op *operation, t time.Time) bool {
	found := false
	o.table.Each(func(_ string, other *operation) bool {
		found = found || other != op && other.arrived.After(t)
		return true
	})
	return found
}

// observe records a latency and returns it relative to the operation's reference, or 0 while there is no reference.
func (o *operation) observe(now time.Time, latency time.Duration) float64 {
	latency = max(latency, 1)
	o.ring[o.n%ringSize] = latency
	o.n++
	sorted := o.ring
	known := sorted[:min(o.n, ringSize)]
	slices.Sort(known)
	o.median = known[len(known)/2]
	o.observed = now
	if o.reference == 0 {
		if o.n < fewCalls {
			return 0
		}
		o.reference = o.median
	}
	return float64(latency) / float64(o.reference)
}

// estimate returns the time that a call of the operation takes, or 0 when it is not known.
func (o *operation) estimate(now time.Time) time.Duration {
	age := now.Sub(o.observed) / estimateHalfLife
	if o.n < fewCalls || age > 30 {
		return 0
	}
	return o.median >> max(age, 0)
}

// usual returns the time from which stragglers of the operation are judged.
func (o *operation) usual() time.Duration { return max(o.median, minUsual) }
