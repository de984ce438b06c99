package balance

import (
	"slices"
	"time"
)

const (
	// latencyWindowSize is the number of most recent latencies in the window. The 5% above the p95 are 12 calls, which a
	// straggler rate of 2% rarely reaches.
	latencyWindowSize = 256
	// quantileInterval is the number of latencies after which the p95 and the median are recomputed.
	quantileInterval = 32
	// minLatencies is the number of latencies needed for the first p95 and median.
	minLatencies = 20
)

// latencyWindow holds the most recent latencies with their p95 and median. Its zero value is ready to use.
type latencyWindow struct {
	ring    []time.Duration
	scratch []time.Duration
	count   int
	p95     time.Duration
	median  time.Duration
}

func (w *latencyWindow) add(latency time.Duration) {
	if len(w.ring) < latencyWindowSize {
		w.ring = append(w.ring, latency)
	} else {
		w.ring[w.count%latencyWindowSize] = latency
	}
	w.count++
	if w.count < minLatencies || w.count > minLatencies && w.count%quantileInterval != 0 {
		return
	}
	w.scratch = append(w.scratch[:0], w.ring...)
	slices.Sort(w.scratch)
	w.p95 = w.scratch[len(w.scratch)*95/100]
	w.median = w.scratch[len(w.scratch)/2]
}
