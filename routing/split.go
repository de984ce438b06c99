package routing

import (
	"slices"

	"lovagelane/kernel"
)

// maxSplits bounds the number of routes whose round robin state is stored.
const maxSplits = 4096

// TrafficSplitter distributes the requests of split routes by weight. Its zero value is ready to use. The caller serializes
// access to it.
//
// Each route uses smooth weighted round robin, because random choice deviates from the weights over few requests.
type TrafficSplitter struct {
	routes *kernel.LRU[string, weightedRoundRobin]
}

type weightedRoundRobin struct {
	// targets are the targets of the current sequence.
	targets        []Target
	currentWeights []int
}

// Next returns the service for the next request of a route. A new sequence starts at a random position, so that many nodes
// with few requests each do not all start with the same service.
func (s *TrafficSplitter) Next(r *Route, random *kernel.Rand) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	if s.routes == nil {
		s.routes = kernel.NewLRU[string, weightedRoundRobin](maxSplits)
	}
	wrr := s.routes.GetOrAdd(r.Name)
	if !slices.Equal(wrr.targets, r.Targets) {
		wrr.targets, wrr.currentWeights = slices.Clone(r.Targets), make([]int, len(r.Targets))
		for range random.IntN(r.totalWeight()) {
			wrr.pick(r)
		}
	}
	return r.Targets[wrr.pick(r)].Service
}

func (w *weightedRoundRobin) pick(r *Route) int {
	best := -1
	for i, t := range r.Targets {
		w.currentWeights[i] += t.Weight
		if t.Weight > 0 && (best < 0 || w.currentWeights[i] > w.currentWeights[best]) {
			best = i
		}
	}
	w.currentWeights[best] -= r.totalWeight()
	return best
}

func (r *Route) totalWeight() int {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	return sum
}
