package directory

import "cmp"

// Position is a point in the history of the store. A new era begins when the store comes back from a copy that lacks its last
// changes: its versions go back and are given out again, so that a version says nothing without its era.
type Position struct {
	// Era is 0 if the store states none.
	Era     uint64
	Version uint64
}

// Compare returns a negative number if p is before q, zero if they are equal, and a positive number otherwise.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version))
}
