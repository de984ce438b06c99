package call

import "fmt"

const (
	// MaxRank is the least important class rank that rules may state.
	MaxRank = 15
	// FairValues is the number of values given to callers within their fair share; values from FairValues up mark excess.
	FairValues = 128
)

// Priority orders requests for load shedding: a lower rank, then a lower value, is more important.
type Priority struct {
	Rank  uint8
	Value uint8
}

// LeastImportant is the priority that is shed first.
var LeastImportant = Priority{Rank: MaxRank, Value: 255}

// Key returns a number that is smaller for more important priorities.
func (p Priority) Key() uint16 { return uint16(p.Rank)<<8 | uint16(p.Value) }

// PriorityOf returns the priority with the given key.
func PriorityOf(key uint16) Priority {
	return Priority{Rank: uint8(key >> 8), Value: uint8(key)}
}

// AdmittedBy reports whether p is at least as important as the level.
func (p Priority) AdmittedBy(level Priority) bool { return p.Key() <= level.Key() }

// String returns the rank and the value, as in 2.117.
func (p Priority) String() string { return fmt.Sprintf("%d.%d", p.Rank, p.Value) }

// MoreImportant returns the more important of two priorities.
func MoreImportant(a, b Priority) Priority {
	if a.Key() <= b.Key() {
		return a
	}
	return b
}
