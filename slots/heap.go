package slots

// callHeap is a heap of waiting calls, the first to expire on top.
type callHeap struct{ entries []*entry }

// Len implements heap.Interface.
func (h *callHeap) Len() int { return len(h.entries) }

// Less implements heap.Interface.
func (h *callHeap) Less(i, j int) bool {
	return h.entries[i].call.LatestStart.Before(h.entries[j].call.LatestStart)
}

// Swap implements heap.Interface.
func (h *callHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].index, h.entries[j].index = i, j
}

// Push implements heap.Interface.
func (h *callHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(h.entries)
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

// flowHeap is a heap of the flows that have waiting calls, the first to start on top.
type flowHeap struct{ flows []*flow }

// Len implements heap.Interface.
func (h *flowHeap) Len() int { return len(h.flows) }

// Less implements heap.Interface.
func (h *flowHeap) Less(i, j int) bool { return h.flows[i].startsBefore(h.flows[j]) }

// Swap implements heap.Interface.
func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].index, h.flows[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	return f
}
