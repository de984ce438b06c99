package node

import (
	"time"

	"lovagelane/retry"
)

// requests recognises resends that enter at this node and opens the retry accounts of requests.
type requests struct{}

func (r *requests) use(policy string) error { return nil }

// resend returns the number of the resend, as stated by the caller or recognised by this node.
func (r *requests) resend(now time.Time, out *outbound, id []byte, stated int) int {
	return max(stated, 0)
}

func (r *requests) account(a retry.Account) retry.Account { return a }
