package admission

import (
	"slices"
	"time"

	"lovagelane/kernel"
)

const (
	// maxOperations bounds the table of operations.
	maxOperations = 256
	// latencyWindowSize is the number of latest calls of an operation whose median is its service time.
	latencyWindowSize = 15
	// minTrustedCalls is the number of calls from which the median of an operation is used.
	minTrustedCalls = 5
	// estimateHalfLife is the time without a finished call after which the estimate halves. Without it, an estimate from a
	// stall would refuse every call because of its deadline and never be corrected.
	estimateHalfLife = time.Second
	// doublingInterval is the time in which the service time at most doubles. After a stall, all calls in flight finish at
	// once with a latency as long as the stall; used unbounded, it would drop the waiting calls because of their deadline.
	doublingInterval = 100 * time.Millisecond
	// minStragglerBaseline is the minimum service time to which stragglers are compared.
	minStragglerBaseline = 2 * time.Millisecond
)

// operations holds the statistics of each operation.
type operations struct {
	table *kernel.LRU[string, operation]
	// all holds the statistics of all operations together.
	all operation
}

// operation holds the latest latencies and the calls in flight of one operation.
type operation struct {
	latencies [latencyWindowSize]time.Duration
	// count is the number of latencies recorded since the operation was added.
	count int
	// serviceTime is the median of latencies; it at most doubles per doublingInterval.
	serviceTime        time.Duration
	serviceTimeChanged time.Time
	lastObserved       time.Time
	// reference is the first trusted service time. Latencies are divided by it, so that operations are comparable.
	reference   time.Duration
	lastArrival time.Time
	inFlight    int
	// stragglers is the number of calls in flight that run far longer than the service time.
	stragglers int
}

func (o *operations) recordArrival(now time.Time, name string) *operation {
	op := o.table.GetOrAdd(name)
	op.lastArrival = now
	return op
}

// othersArrivedSince reports whether a call of another operation arrived after t.
func (o *operations) othersArrivedSince(op *operation, t time.Time) bool {
	found := false
	o.table.Retain(func(_ string, other *operation) bool {
		found = found || other != op && other.lastArrival.After(t)
		return true
	})
	return found
}

// observe records a latency and returns it relative to the reference, or 0 while there is no reference.
func (o *operation) observe(now time.Time, latency time.Duration) float64 {
	latency = max(latency, 1)
	o.latencies[o.count%latencyWindowSize] = latency
	o.count++
	sorted := o.latencies
	recent := sorted[:min(o.count, latencyWindowSize)]
	slices.Sort(recent)
	o.updateServiceTime(now, recent[len(recent)/2])
	if o.reference == 0 {
		if o.count < minTrustedCalls {
			return 0
		}
		o.reference = o.serviceTime
	}
	return float64(latency) / float64(o.reference)
}

// updateServiceTime sets the service time from the median and bounds its growth.
func (o *operation) updateServiceTime(now time.Time, median time.Duration) {
	switch {
	case o.count <= minTrustedCalls || median < o.serviceTime:
		o.serviceTime, o.serviceTimeChanged = median, now
	case now.Sub(o.serviceTimeChanged) >= doublingInterval:
		o.serviceTime, o.serviceTimeChanged = min(median, 2*o.serviceTime), now
	}
	o.lastObserved = now
}

// estimate returns the expected service time of a call, or 0 if it is unknown.
func (o *operation) estimate(now time.Time) time.Duration {
	age := now.Sub(o.lastObserved) / estimateHalfLife
	if o.count < minTrustedCalls || age > 30 {
		return 0
	}
	return o.serviceTime >> max(age, 0)
}

// stragglerBaseline returns the service time to which stragglers of the operation are compared.
func (o *operation) stragglerBaseline() time.Duration {
	return max(o.serviceTime, minStragglerBaseline)
}
