package retry

const (
	// MaxRetriesPerSend is the maximum number of retries of one send of a request over its whole call chain.
	MaxRetriesPerSend = 3
	// MaxRetriesPerRequest is the maximum number of retries of a request over its whole call chain, including resends by the
	// caller.
	MaxRetriesPerRequest = 6
)

// Budget is the retry budget of one call. Its zero value allows no retries. The caller serializes access to it.
type Budget struct {
	remaining int
}

// NewBudget returns a budget that allows n retries.
func NewBudget(n int) Budget { return Budget{remaining: max(n, 0)} }

// Remaining returns the number of retries that remain.
func (b *Budget) Remaining() int { return b.remaining }

// Withdraw withdraws one retry and reports whether one remained.
func (b *Budget) Withdraw() bool {
	if b.remaining == 0 {
		return false
	}
	b.remaining--
	return true
}

// Share withdraws the share of an inner call, half of the remaining retries rounded up, and returns it.
func (b *Budget) Share() int {
	share := (b.remaining + 1) / 2
	b.remaining -= share
	return share
}

// Return refunds the unused part of a share, once for each Share. An answer that states more than the share is invalid, so
// the whole share counts as used.
func (b *Budget) Return(share, unused int) {
	if unused > 0 && unused <= share {
		b.remaining += unused
	}
}

// BudgetForResend returns the budget of the n-th resend (0 is the first send), and false when the request has exhausted its
// resends.
func BudgetForResend(n int) (Budget, bool) {
	switch n {
	case 0:
		return NewBudget(MaxRetriesPerSend), true
	case 1:
		return NewBudget(1), true
	case 2:
		return NewBudget(0), true
	default:
		return Budget{}, false
	}
}
