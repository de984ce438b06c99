package retry

import (
	"time"

	"lovagelane/kernel"
)

const (
	// windowParts is the number of parts in which a window is counted.
	windowParts = 10
	// windowUse is the part of the allowed repeats that is used. The rest is for repeats that nodes can't see, as when a
	// backend server repeats its own calls, and for nodes whose windows don't begin at the same moment.
	windowUse = 0.5
	// maxServices bounds the services that are counted.
	maxServices = 1024
)

// Windows bounds the repeats that all nodes together send to each service, without asking each other: every node uses the
// part that its own requests allow, and its part of the fixed allowance. The caller serializes access to it; its zero
// value allows none.
type Windows struct {
	// Ratio is the part of the requests of a window that may be repeats.
	Ratio float64
	// Fixed is the number of repeats of all nodes that are allowed beyond it.
	Fixed float64
	// Length is the length of a window.
	Length time.Duration

	services *kernel.Table[string, window]
}

type window struct {
	began    time.Time
	part     int
	requests [windowParts]float64
	repeats  [windowParts]float64
}

// Requested counts a request for a service.
func (w *Windows) Requested(now time.Time, service string) {
	if s := w.at(now, service); s != nil {
		s.requests[s.part]++
	}
}

// Take counts a repeat that costs a number of arrivals at a service, and reports whether the budget allows it. Nodes is
// the number of nodes that share the fixed allowance.
func (w *Windows) Take(now time.Time, service string, cost float64, nodes int) bool {
	s := w.at(now, service)
	if s == nil {
		return false
	}
	requests, repeats := 0.0, 0.0
	for i := range windowParts {
		requests += s.requests[i]
		repeats += s.repeats[i]
	}
	if repeats+cost > windowUse*(w.Ratio*requests+w.Fixed/float64(max(nodes, 1))) {
		return false
	}
	s.repeats[s.part] += cost
	return true
}

// at returns the counts of a service with the parts that have ended taken out.
func (w *Windows) at(now time.Time, service string) *window {
	if w.Length <= 0 {
		return nil
	}
	if w.services == nil {
		w.services = kernel.NewTable[string, window](maxServices)
	}
	s := w.services.Put(service)
	length := w.Length / windowParts
	if s.began.IsZero() {
		s.began = now
	}
	ended := int(now.Sub(s.began) / length)
	for range min(ended, windowParts) {
		s.part = (s.part + 1) % windowParts
		s.requests[s.part], s.repeats[s.part] = 0, 0
	}
	s.began = s.began.Add(time.Duration(ended) * length)
	return s
}
