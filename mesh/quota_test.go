package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/account"
	"lovagelane/allowance"
	"lovagelane/kernel"
)

// Guards against a request that runs although its caller left while it waited for a token of its quota.
// Mutation: takeQuota without the check of callerGone.
func TestRequestOfACallerThatLeftTakesNoQuota(t *testing.T) {
	clock := &kernel.ManualClock{}
	clock.Advance(time.Hour)
	n := &Node{clock: clock, group: kernel.NewGroup(t.Context())}
	member := &n.quotas.member
	*member = allowance.Member{Address: "a", Incarnation: 1}
	quota := account.Quota{Rate: 10, Burst: 1}
	member.SetNodes(n.reading(), []string{"a"})
	member.SetLimits(n.reading(), map[string]allowance.Limit{"truro": {Rate: quota.Rate, Burst: quota.Burst}})
	gone := make(chan struct{})
	r := &request{account: account.Account{Name: "truro", Quota: quota}, callerGone: gone}
	require.Nil(t, n.takeQuota(r))
	close(gone)
	clock.Advance(time.Second)
	require.Equal(t, failedResult{reason: "caller-left"}, n.takeQuota(r))
}
