package retry

import "math"

const (
	// rankWeight is the value of a request relative to one of the next rank. Ranks state an order only: two requests make up for one of
	// the rank above.
	rankWeight = 2
	// levelsPerHalf is the number of levels from a value to its half, and maxLevel the level of all values that are lower.
	levelsPerHalf = 4
	maxLevel      = 32 * levelsPerHalf
)

// Saving is what a repeat is expected to save.
type Saving struct {
	// Kind names the requests that are alike, such as those of a route. Nothing is kept back for requests of the same kind and rank.
	Kind string
	// Rank is the importance of the request, where 0 is the most important.
	Rank int
	// Completes is the probability, from 0 to 1, that the whole request ends well if the repeat does.
	Completes float64
	// Spent is set if the request has already cost the work of a backend server, which is lost when it fails.
	Spent bool
	// Late is set if too little time is left, so that the repeat saves nothing.
	Late bool
}

// level orders savings by their value: that of a lower level goes first. The value is the number of requests of the most important rank
// that the repeat saves: the one that it completes, and the one that could have been served with the work that is not lost.
func (s Saving) level() int {
	value := min(s.Completes, 1) * math.Pow(rankWeight, -float64(s.Rank))
	if s.Spent {
		value *= 2
	}
	if s.Late || value <= 0 {
		return maxLevel
	}
	return int(min(math.Round(levelsPerHalf*(1-math.Log2(value))), maxLevel))
}

// valueRatio is the value of a level relative to that of another one.
func valueRatio(level, other int) float64 { return math.Exp2(float64(other-level) / levelsPerHalf) }
