package retry

import (
	"time"

	"lovagelane/kernel"
)

const (
	// windowBuckets is the number of buckets of a sliding window, without the one that is being filled.
	windowBuckets = 10
	// recentBuckets is the number of buckets, with the one being filled, whose runs predict the calls that runs make now.
	recentBuckets = 3
	// usableShare is the share of the allowed repeats that nodes use. The rest is reserved for repeats that arrive later than they
	// were counted, so that more of them arrive in some window.
	usableShare = 0.92
	// maxWindowServices bounds the number of services that have a window.
	maxWindowServices = 1024
)

// WindowBudgets bounds the repeats that all nodes together send to each service in a sliding window. A repeat is a further
// attempt of a request by a node. The nodes do not coordinate: every node uses the part that its own requests allow, and its
// part of the fixed allowance. The caller serializes access to it. Its zero value allows no repeats.
//
// The calls that a repeated run makes are repeats too, at the services that are called. Nothing links a call to the run that made
// it. So each call counts as a repeat by the probability that a run of the node's own backend server was one.
type WindowBudgets struct {
	// Ratio is the allowed number of repeats relative to the number of requests in a window.
	Ratio float64
	// Fixed is the number of repeats that all nodes together may send in a window in addition to the ratio.
	Fixed float64
	// Length is the length of a window.
	Length time.Duration

	services *kernel.LRU[string, window]
	// runs counts the runs of the own backend server as requests, and the repeated ones among them as repeats.
	runs window
}

// window counts in buckets. The oldest bucket counts for repeats alone, since the window may begin within it.
type window struct {
	bucketStart time.Time
	bucket      int
	requests    [windowBuckets + 1]float64
	repeats     [windowBuckets + 1]float64
	// demand is empty unless repeats are taken by what they save.
	demand demand
}

// Decision is the result of WithdrawFor.
type Decision int

const (
	// Allowed means that the repeat may be sent, and is counted.
	Allowed Decision = iota
	// Exhausted means that the budget allows no repeat.
	Exhausted
	// KeptBack means that what is left of the budget is needed for repeats that save more.
	KeptBack
)

// String returns the name that logs show.
func (d Decision) String() string { return [...]string{"allowed", "exhausted", "kept-back"}[d] }

// CountRequest counts a request for a service.
func (w *WindowBudgets) CountRequest(now time.Time, service string) {
	if s := w.advance(now, service); s != nil {
		s.requests[s.bucket]++
	}
}

// CountCall counts a request for a service that may be a call of the own backend server. It returns the probability that the call
// was made by a repeated run, from 0 to 1, by which it counts as a repeat.
func (w *WindowBudgets) CountCall(now time.Time, service string) float64 {
	s := w.advance(now, service)
	if s == nil {
		return 0
	}
	w.runs.advance(now, w.Length)
	repeated := w.runs.repeatedShare()
	s.requests[s.bucket]++
	s.repeats[s.bucket] += repeated
	return repeated
}

// CountRun counts a run of the own backend server and the probability, from 0 to 1, that it is a repeat or was called by one.
func (w *WindowBudgets) CountRun(now time.Time, repeated float64) {
	if w.Length <= 0 {
		return
	}
	w.runs.advance(now, w.Length)
	w.runs.requests[w.runs.bucket]++
	w.runs.repeats[w.runs.bucket] += repeated
}

// Withdraw reports whether the budget allows a repeat, and counts it if so. The cost is the number of calls that the repeat
// causes at the service, and nodes is the number of nodes that share the fixed allowance.
func (w *WindowBudgets) Withdraw(now time.Time, service string, cost float64, nodes int) bool {
	s := w.advance(now, service)
	if s == nil || w.left(s, nodes) < cost {
		return false
	}
	s.repeats[s.bucket] += cost
	return true
}

// WithdrawFor is Withdraw for a repeat that is known to save something. As long as repeats that save more are expected to use up the
// budget before it comes back, the repeat is not allowed.
func (w *WindowBudgets) WithdrawFor(now time.Time, service string, cost float64, nodes int, saving Saving) Decision {
	s := w.advance(now, service)
	if s == nil {
		return Exhausted
	}
	s.demand.add(now, s.bucket, saving, cost)
	left := w.left(s, nodes) - cost
	if left < 0 {
		return Exhausted
	}
	if s.lowest(now, left, s.demand.before(now, saving), w.Length) < 0 {
		return KeptBack
	}
	s.repeats[s.bucket] += cost
	return Allowed
}

// left returns what is left of the budget of a service.
func (w *WindowBudgets) left(s *window, nodes int) float64 {
	requests, repeats := s.sums(windowBuckets)
	repeats += s.repeats[s.oldest()]
	return usableShare*(w.Ratio*requests+w.Fixed/float64(max(nodes, 1))) - repeats
}

// lowest returns the lowest that is left of a budget within one window if the expected repeats are taken and the number of requests
// stays as it is. The repeats of a bucket come back when it expires.
func (s *window) lowest(now time.Time, left float64, takes []expected, length time.Duration) float64 {
	bucketLength := length / windowBuckets
	low, from := left, time.Duration(0)
	to := s.bucketStart.Add(bucketLength).Sub(now)
	for i := 0; from < length; i++ {
		for _, e := range takes {
			left -= e.perSecond * max(min(e.lasts, to)-from, 0).Seconds()
		}
		low = min(low, left)
		left += s.repeats[(s.oldest()+i)%len(s.repeats)]
		from, to = to, to+bucketLength
	}
	return low
}

// advance returns the window of a service after it discards the expired buckets.
func (w *WindowBudgets) advance(now time.Time, service string) *window {
	if w.Length <= 0 {
		return nil
	}
	if w.services == nil {
		w.services = kernel.NewLRU[string, window](maxWindowServices)
	}
	s := w.services.GetOrAdd(service)
	s.advance(now, w.Length)
	return s
}

// advance discards the expired buckets.
func (s *window) advance(now time.Time, length time.Duration) {
	bucketLength := length / windowBuckets
	if s.bucketStart.IsZero() {
		s.bucketStart = now
	}
	elapsedBuckets := int(now.Sub(s.bucketStart) / bucketLength)
	for range min(elapsedBuckets, len(s.requests)) {
		s.bucket = (s.bucket + 1) % len(s.requests)
		s.requests[s.bucket], s.repeats[s.bucket] = 0, 0
		s.demand.clearBucket(s.bucket)
	}
	s.bucketStart = s.bucketStart.Add(time.Duration(elapsedBuckets) * bucketLength)
}

func (s *window) oldest() int { return (s.bucket + 1) % len(s.requests) }

// sums returns the requests and repeats of the newest buckets.
func (s *window) sums(buckets int) (requests, repeats float64) {
	for i := range buckets {
		bucket := (s.bucket + len(s.requests) - i) % len(s.requests)
		requests += s.requests[bucket]
		repeats += s.repeats[bucket]
	}
	return requests, repeats
}

// repeatedShare returns the share of repeats in the last seconds or in the whole window, whichever is higher.
func (s *window) repeatedShare() float64 {
	share := 0.0
	for _, buckets := range []int{recentBuckets, windowBuckets} {
		if requests, repeats := s.sums(buckets); requests > 0 {
			share = max(share, repeats/requests)
		}
	}
	return share
}
