package routing

import (
	"slices"

	"lovagelane/kernel"
)

// maxSplits bounds the routes whose shares are kept.
const maxSplits = 4096

// Splits spreads the requests of split routes by weight; its zero value is ready. The caller serializes access to it.
//
// Each route is dealt by smooth weighted round robin, so that the shares are right over few requests too, where random
// choice would miss them.
type Splits struct {
	routes *kernel.Table[string, split]
}

type split struct {
	// targets are those that the sequence is for.
	targets []Target
	current []int
}

// Next returns the service for the next request of a route. The start of a new sequence is random, so that many nodes
// with few requests each do not all begin with the same service.
func (s *Splits) Next(r *Route, random *kernel.Rand) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	if s.routes == nil {
		s.routes = kernel.NewTable[string, split](maxSplits)
	}
	state := s.routes.Put(r.Name)
	if !slices.Equal(state.targets, r.Targets) {
		state.targets, state.current = slices.Clone(r.Targets), make([]int, len(r.Targets))
		for range random.IntN(r.weights()) {
			state.next(r)
		}
	}
	return r.Targets[state.next(r)].Service
}

func (s *split) next(r *Route) int {
	best := -1
	for i, t := range r.Targets {
		s.current[i] += t.Weight
		if t.Weight > 0 && (best < 0 || s.current[i] > s.current[best]) {
			best = i
		}
	}
	s.current[best] -= r.weights()
	return best
}

func (r *Route) weights() int {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	return sum
}
