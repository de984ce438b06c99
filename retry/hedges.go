package retry

const (
	// callsPerHedge limits hedged requests to 5% of the calls.
	callsPerHedge = 20
	// halvingThreshold is the number of calls at which both counts are halved, so that old calls allow no hedges and a burst
	// of hedges stays below halvingThreshold/callsPerHedge.
	halvingThreshold = 1000
)

// HedgeBudget bounds the hedged requests of a node to a share of its recent calls. Its zero value is ready to use. The caller
// serializes access to it.
type HedgeBudget struct {
	calls  int
	hedges int
}

// CountCall counts a call that may be hedged.
func (h *HedgeBudget) CountCall() {
	h.calls++
	if h.calls >= halvingThreshold {
		h.calls /= 2
		h.hedges = (h.hedges + 1) / 2
	}
}

// Withdraw reports whether the share allows one more hedge, and counts it if so.
func (h *HedgeBudget) Withdraw() bool {
	if (h.hedges+1)*callsPerHedge > h.calls {
		return false
	}
	h.hedges++
	return true
}
