package retry

const (
	// callsPerHedge makes hedges at most 5% of calls.
	callsPerHedge = 20
	// hedgeWindow is the number of calls at which the counts are halved, so that calls of long ago earn no hedges and a
	// burst of hedges stays below hedgeWindow/callsPerHedge.
	hedgeWindow = 1000
)

// Hedges bounds the hedged calls of a node to a share of its recent calls; its zero value is ready. The caller serializes
// access.
type Hedges struct {
	calls  int
	hedges int
}

// Called counts a call that may be hedged.
func (h *Hedges) Called() {
	h.calls++
	if h.calls >= hedgeWindow {
		h.calls /= 2
		h.hedges = (h.hedges + 1) / 2
	}
}

// Take uses one hedge and reports whether the share allows it.
func (h *Hedges) Take() bool {
	if (h.hedges+1)*callsPerHedge > h.calls {
		return false
	}
	h.hedges++
	return true
}
