package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"lovagelane/account"
	"lovagelane/chain"
	"lovagelane/kernel"
	"lovagelane/retry"
	"lovagelane/routing"
	"lovagelane/settings"
)

// Guards against calls of the own backend server that come after every request for want of an account, repeats for requests that
// can't end in time, and callers that leave and count as failed calls. Mutation: any of the conditions left out.
func TestSavingOfARepeat(t *testing.T) {
	clock := &kernel.ManualClock{}
	clock.Advance(time.Hour)
	now := clock.Now()
	n := &Node{clock: clock, settings: settings.Mesh{WholeChains: true, RepeatsByValue: true}, chains: &chains{}}
	nested := &request{route: &routing.Route{Name: "index", Rank: 1}, rank: 7, deadline: now.Add(time.Minute)}
	outside := &request{route: &routing.Route{Name: "page"}, rank: 2, deadline: now.Add(time.Minute)}
	n.chains.gate.Report(now, nested.class(), "10.1.0.8:8300", 0, false)
	n.chains.gate.Report(now, outside.class(), "10.1.0.8:8300", 0, true)
	for range 100 {
		n.chains.ends.Record(now, "log", true)
	}
	for range 11 {
		n.chains.ends.Record(now, "log", false)
	}
	for range 20 {
		n.recordCallEnd(nested, servedResult{answer: answerMessage{Status: fasthttp.StatusOK}})
		n.recordCallEnd(nested, refusedResult{})
		n.recordCallEnd(nested, failedResult{reason: callerLeftReason})
	}
	saving := n.savingLocked(now, nested)
	require.True(t, saving.Spent)
	require.Equal(t, 1, saving.Rank, "no account is known")
	require.InDelta(t, 0.37, saving.Completes, 0.04)
	require.Equal(t, retry.Saving{Kind: "page", Rank: 2, Completes: 1}, n.savingLocked(now, outside))

	unknown := &request{route: &routing.Route{Name: "other"}, rank: 3, deadline: now.Add(time.Minute)}
	require.Equal(t, retry.Saving{Kind: "other", Rank: 3, Completes: 1}, n.savingLocked(now, unknown))
	nested.account = account.Account{Name: "truro"}
	require.Equal(t, retry.Saving{Kind: "index", Rank: 7, Completes: 1}, n.savingLocked(now, nested), "an account calls from outside")
	outside.deadline = now.Add(time.Millisecond)
	require.True(t, n.savingLocked(now, outside).Late)
}

// Guards against a setting that changes something while it is off.
func TestRepeatsInOrderByDefault(t *testing.T) {
	n := &Node{clock: &kernel.ManualClock{}, chains: &chains{}}
	r := &request{route: &routing.Route{Name: "index"}}
	for range 10 {
		n.recordCallEnd(r, refusedResult{})
	}
	require.Equal(t, chain.Report(0), n.chains.calls.Report(n.clock.Now(), "index"))
}
