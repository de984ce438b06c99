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
	// riseInterval is the time in which the service time at most doubles. After a stall all calls in flight finish at once
	// with its length; taken at face value, that would refuse the calls that wait by their deadline.
	riseInterval = 100 * time.Millisecond
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
	ring [ringSize]time.Duration
	n    int
	// typical is the median of the ring, bounded in its rise.
	typical  time.Duration
	raised   time.Time
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
	o.follow(now, known[len(known)/2])
	if o.reference == 0 {
		if o.n < fewCalls {
			return 0
		}
		o.reference = o.typical
	}
	return float64(latency) / float64(o.reference)
}

// follow sets the typical latency from the median.
func (o *operation) follow(now time.Time, median time.Duration) {
	switch {
	case o.n <= fewCalls || median < o.typical:
		o.typical, o.raised = median, now
	case now.Sub(o.raised) >= riseInterval:
		o.typical, o.raised = min(median, 2*o.typical), now
	}
	o.observed = now
}

// estimate returns the time that a call of the operation takes, or 0 when it is not known.
func (o *operation) estimate(now time.Time) time.Duration {
	age := now.Sub(o.observed) / estimateHalfLife
	if o.n < fewCalls || age > 30 {
		return 0
	}
	return o.typical >> max(age, 0)
}

// usual returns the time from which stragglers of the operation are judged.
func (o *operation) usual() time.Duration { return max(o.typical, minUsual) }
