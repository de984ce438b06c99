package slots

// entry is a waiting call; it is in both heaps.
type entry struct {
	call Call
	seq  uint64
	// index is the place in each heap.
	index [2]int
}

// before reports whether e starts before other.
func (e *entry) before(other *entry) bool {
	if e.call.Rank != other.call.Rank {
		return e.call.Rank < other.call.Rank
	}
	return e.seq < other.seq
}

// dueBefore reports whether e expires before other.
func (e *entry) dueBefore(other *entry) bool { return e.call.Latest.Before(other.call.Latest) }

// The heaps that an entry is in.
const (
	byOrder = iota
	byDue
)

// line is a heap of waiting calls, by their order or by their latest start.
type line struct {
	entries []*entry
	by      int
}

// Len implements heap.Interface.
func (l *line) Len() int { return len(l.entries) }

// Less implements heap.Interface.
func (l *line) Less(i, j int) bool {
	if l.by == byDue {
		return l.entries[i].dueBefore(l.entries[j])
	}
	return l.entries[i].before(l.entries[j])
}

// Swap implements heap.Interface.
func (l *line) Swap(i, j int) {
	l.entries[i], l.entries[j] = l.entries[j], l.entries[i]
	l.entries[i].index[l.by], l.entries[j].index[l.by] = i, j
}

// Push implements heap.Interface.
func (l *line) Push(x any) {
	e := x.(*entry)
	e.index[l.by] = len(l.entries)
	l.entries = append(l.entries, e)
}

// Pop implements heap.Interface.
func (l *line) Pop() any {
	last := len(l.entries) - 1
	e := l.entries[last]
	l.entries[last] = nil
	l.entries = l.entries[:last]
	return e
}
