package retry

const (
	// Bound is the maximum number of retries of one send of a request over its whole call chain.
	Bound = 3
	// RequestBound is the maximum number of retries of a request over its whole call chain, including resends by the caller.
	RequestBound = 6
)

// Account is the retry budget of one call. Its zero value allows no retries. The caller serializes access to it.
type Account struct {
	remaining int
}

// NewAccount returns an account that allows n retries.
func NewAccount(n int) Account { return Account{remaining: max(n, 0)} }

// Left returns the number of retries that remain.
func (a *Account) Left() int { return a.remaining }

// Take withdraws one retry and reports whether one remained.
func (a *Account) Take() bool {
	if a.remaining == 0 {
		return false
	}
	a.remaining--
	return true
}

// Share withdraws the share of an inner call, half of the remaining retries rounded up, and returns it.
func (a *Account) Share() int {
	share := (a.remaining + 1) / 2
	a.remaining -= share
	return share
}

// Return refunds the unused part of a share, once for each Share. An answer that states more than the share is invalid, so
// the whole share counts as used.
func (a *Account) Return(share, unused int) {
	if unused > 0 && unused <= share {
		a.remaining += unused
	}
}

// ForResend returns the account of the n-th resend (0 is the first send), and false when the request has exhausted its
// resends.
func ForResend(n int) (Account, bool) {
	switch n {
	case 0:
		return NewAccount(Bound), true
	case 1:
		return NewAccount(1), true
	case 2:
		return NewAccount(0), true
	default:
		return Account{}, false
	}
}
