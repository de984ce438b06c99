package retry

const (
	// Bound is the number of retries that one request may use over its whole call chain.
	Bound = 3
	// RequestBound is the number of retries over the whole chain with all resends by the caller.
	RequestBound = 6
)

// Account holds the retries that are left to one call; its zero value has none. The caller serializes access to it.
type Account struct {
	left int
}

// NewAccount returns an account with n retries.
func NewAccount(n int) Account { return Account{left: max(n, 0)} }

// Left returns the retries that are left.
func (a *Account) Left() int { return a.left }

// Take uses one retry and reports whether one was left.
func (a *Account) Take() bool {
	if a.left == 0 {
		return false
	}
	a.left--
	return true
}

// Share removes the part that an inner call gets, half of what is left rounded up.
func (a *Account) Share() int {
	share := (a.left + 1) / 2
	a.left -= share
	return share
}

// Return gives back the unused part of a share, once for each Share. An answer that claims more than the share is false, so
// the share counts as used.
func (a *Account) Return(share, unused int) {
	if unused > 0 && unused <= share {
		a.left += unused
	}
}

// ForResend returns the account of the n-th resend (0 is the first send), and false when the request has used its bound.
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
