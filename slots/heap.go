package slots

// entry is a waiting call. It is in both heaps of the Queue.
type entry struct {
	call Call
	seq  uint64
	// index holds the position in each heap, by byStart and byExpiry.
	index [2]int
}

// startsBefore reports whether e starts before other.
func (e *entry) startsBefore(other *entry) bool {
	if e.call.Rank != other.call.Rank {
		return e.call.Rank < other.call.Rank
	}
	return e.seq < other.seq
}

// expiresBefore reports whether e expires before other.
func (e *entry) expiresBefore(other *entry) bool {
	return e.call.LatestStart.Before(other.call.LatestStart)
}

// The orders of the heaps that hold an entry.
const (
	byStart = iota
	byExpiry
)

// callHeap is a heap of waiting calls, ordered by start or by expiry.
type callHeap struct {
	entries []*entry
	order   int
}

// Len implements heap.Interface.
func (h *callHeap) Len() int { return len(h.entries) }

// Less implements heap.Interface.
func (h *callHeap) Less(i, j int) bool {
	if h.order == byExpiry {
		return h.entries[i].expiresBefore(h.entries[j])
	}
	return h.entries[i].startsBefore(h.entries[j])
}

// Swap implements heap.Interface.
func (h *callHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].index[h.order], h.entries[j].index[h.order] = i, j
}

// Push implements heap.Interface.
func (h *callHeap) Push(x any) {
	e := x.(*entry)
	e.index[h.order] = len(h.entries)
	h.entries = append(h.entries, e)
}

// Pop implements heap.Interface.
func (h *callHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	return e
}
