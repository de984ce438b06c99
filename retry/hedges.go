package retry

// Hedges bounds the hedged calls of a node to a share of its calls; its zero value is ready. The caller serializes access.
type Hedges struct {
	calls  int
	hedges int
}

// Called counts a call that may be hedged.
func (h *Hedges) Called() { h.calls++ }

// Take uses one hedge and reports whether the share allows it.
func (h *Hedges) Take() bool {
	if (h.hedges+1)*20 > h.calls {
		return false
	}
	h.hedges++
	return true
}
