package call

import "fmt"

const (
	// MaxRank is the rank of the least important class that rules may define.
	MaxRank = 15
	// FairShareValues is the number of values for callers within their fair share; callers above it get values from
	// FairShareValues up.
	FairShareValues = 128
)

// Priority orders requests for load shedding: the lower rank is more important, and within a rank the lower value.
type Priority struct {
	Rank  uint8
	Value uint8
}

// LeastImportant is the priority that is shed first.
var LeastImportant = Priority{Rank: MaxRank, Value: 255}

// Key returns a sort key that is lower for more important priorities.
func (p Priority) Key() uint16 { return uint16(p.Rank)<<8 | uint16(p.Value) }

// PriorityFromKey returns the priority with the given key.
func PriorityFromKey(key uint16) Priority {
	return Priority{Rank: uint8(key >> 8), Value: uint8(key)}
}

// AdmittedBy reports whether the admission level admits p, which holds when p is at least as important.
func (p Priority) AdmittedBy(level Priority) bool { return p.Key() <= level.Key() }

// String returns the rank and the value, for example "2.117".
func (p Priority) String() string { return fmt.Sprintf("%d.%d", p.Rank, p.Value) }

// MoreImportant returns the more important of two priorities.
func MoreImportant(a, b Priority) Priority {
	if a.Key() <= b.Key() {
		return a
	}
	return b
}
