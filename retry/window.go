package retry

import (
	"time"

	"lovagelane/kernel"
)

const (
	// windowBuckets is the number of buckets of a sliding window.
	windowBuckets = 10
	// usableShare is the share of the allowed repeats that nodes use. The rest is reserved for repeats that nodes cannot see,
	// such as a backend server that repeats its own calls, and for nodes whose windows start at different times.
	usableShare = 0.5
	// maxWindowServices bounds the number of services that have a window.
	maxWindowServices = 1024
)

// WindowBudgets bounds the repeats that all nodes together send to each service in a sliding window. A repeat is a further
// attempt of a request by a node. The nodes do not coordinate: every node uses the part that its own requests allow, and its
// part of the fixed allowance. The caller serializes access to it. Its zero value allows no repeats.
type WindowBudgets struct {
	// Ratio is the allowed number of repeats relative to the number of requests in a window.
	Ratio float64
	// Fixed is the number of repeats that all nodes together may send in a window in addition to the ratio.
	Fixed float64
	// Length is the length of a window.
	Length time.Duration

	services *kernel.LRU[string, window]
}

type window struct {
	bucketStart time.Time
	bucket      int
	requests    [windowBuckets]float64
	repeats     [windowBuckets]float64
}

// CountRequest counts a request for a service.
func (w *WindowBudgets) CountRequest(now time.Time, service string) {
	if s := w.advance(now, service); s != nil {
		s.requests[s.bucket]++
	}
}

// Withdraw reports whether the budget allows a repeat, and counts it if so. The cost is the number of calls that the repeat
// causes at the service, and nodes is the number of nodes that share the fixed allowance.
func (w *WindowBudgets) Withdraw(now time.Time, service string, cost float64, nodes int) bool {
	s := w.advance(now, service)
	if s == nil {
		return false
	}
	requests, repeats := 0.0, 0.0
	for i := range windowBuckets {
		requests += s.requests[i]
		repeats += s.repeats[i]
	}
	if repeats+cost > usableShare*(w.Ratio*requests+w.Fixed/float64(max(nodes, 1))) {
		return false
	}
	s.repeats[s.bucket] += cost
	return true
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
	bucketLength := w.Length / windowBuckets
	if s.bucketStart.IsZero() {
		s.bucketStart = now
	}
	elapsedBuckets := int(now.Sub(s.bucketStart) / bucketLength)
	for range min(elapsedBuckets, windowBuckets) {
		s.bucket = (s.bucket + 1) % windowBuckets
		s.requests[s.bucket], s.repeats[s.bucket] = 0, 0
	}
	s.bucketStart = s.bucketStart.Add(time.Duration(elapsedBuckets) * bucketLength)
	return s
}
