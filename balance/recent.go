package balance

import (
	"slices"
	"time"
)

const (
	// recentSize is the number of latest latencies kept. The 5% above the p95 are 12 calls, which 2% stragglers hardly
	// ever fill.
	recentSize = 256
	// recentStep is the number of latencies after which the p95 is computed again.
	recentStep = 32
	// recentMin is the number of latencies from which the p95 is known.
	recentMin = 20
)

// recent holds the latest latencies and their p95; its zero value is ready.
type recent struct {
	ring    []time.Duration
	scratch []time.Duration
	n       int
	p95     time.Duration
	median  time.Duration
}

func (r *recent) add(latency time.Duration) {
	if len(r.ring) < recentSize {
		r.ring = append(r.ring, latency)
	} else {
		r.ring[r.n%recentSize] = latency
	}
	r.n++
	if r.n < recentMin || r.n > recentMin && r.n%recentStep != 0 {
		return
	}
	r.scratch = append(r.scratch[:0], r.ring...)
	slices.Sort(r.scratch)
	r.p95 = r.scratch[len(r.scratch)*95/100]
	r.median = r.scratch[len(r.scratch)/2]
}
