package ticket_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/call"
	"lovagelane/ticket"
)

var (
	start     = time.Unix(1e6, 0)
	ranAnswer = ticket.Answer{Outcome: call.OutcomeRan, Status: 200, Body: []byte("job 7")}
)

func attemptFrom(sender string, seq uint64) call.Attempt {
	return call.Attempt{Sender: sender, Receiver: "here", Seq: seq}
}

func refusal(reason call.Reason, outcome call.Outcome) ticket.Decision {
	return ticket.Refuse{Reason: reason, Outcome: outcome}
}

// Guards against an attempt that runs twice or after it was fenced, and against a repeated attempt that is reported as "not
// run".
func TestAttemptsDecideByAttemptState(t *testing.T) {
	table := ticket.NewAttempts("here")
	require.Equal(t, ticket.Run{}, table.Receive(start, attemptFrom("a", 5)))
	require.Equal(t, ticket.Join{}, table.Receive(start, attemptFrom("a", 5)))
	require.Equal(t, ticket.ReasonAttemptRepeated, table.Admit(start, attemptFrom("a", 5)))
	require.Equal(t, ticket.State{Running: true}, table.Fence(start, attemptFrom("a", 5)))

	table.Finish(start, attemptFrom("a", 5), ranAnswer)
	table.Finish(start, attemptFrom("a", 5), ticket.Answer{Outcome: call.OutcomeNotRun})
	require.Equal(t, ticket.Replay{Answer: ranAnswer}, table.Receive(start, attemptFrom("a", 5)))
	require.Equal(t, ticket.State{Outcome: call.OutcomeRan, Answer: ranAnswer}, table.Fence(start, attemptFrom("a", 5)))

	require.Equal(t, call.OutcomeNotRun, table.Fence(start, attemptFrom("a", 3)).Outcome)
	require.Equal(t, call.ReasonFenced, table.Admit(start, attemptFrom("a", 3)))
	require.Equal(t, call.ReasonNone, table.Admit(start, attemptFrom("b", 5)), "each sender has its own numbers")

	elsewhere := call.Attempt{Sender: "a", Receiver: "before", Seq: 9}
	require.Equal(t, refusal(ticket.ReasonOtherIncarnation, call.OutcomeUnknown), table.Receive(start, elsewhere))
	require.Equal(t, call.OutcomeUnknown, table.Fence(start, elsewhere).Outcome)
	long := attemptFrom(string(make([]byte, 65)), 1)
	require.Equal(t, refusal(call.ReasonBadRequest, call.OutcomeNotRun), table.Receive(start, long))
}

// Guards against a repeated attempt that runs, or is reported as "not run", after the record of the attempt expired.
func TestAttemptsRefuseExpiredRecords(t *testing.T) {
	table := ticket.NewAttempts("here")
	table.Receive(start, attemptFrom("a", 4))
	table.Receive(start, attemptFrom("a", 5))
	table.Finish(start, attemptFrom("a", 5), ranAnswer)
	kept := start.Add(ticket.Retention - 1)
	require.Equal(t, ticket.Replay{Answer: ranAnswer}, table.Receive(kept, attemptFrom("a", 5)))
	later := start.Add(ticket.Retention)
	unknown := refusal(ticket.ReasonAttemptRepeated, call.OutcomeUnknown)
	for _, now := range []time.Time{later, start} { // The clock then jumps back.
		require.Equal(t, unknown, table.Receive(now, attemptFrom("a", 5)))
		require.Equal(t, unknown, table.Receive(now, attemptFrom("a", 3)))
		require.Equal(t, call.OutcomeUnknown, table.Fence(now, attemptFrom("a", 5)).Outcome)
		require.Equal(t, ticket.Join{}, table.Receive(now, attemptFrom("a", 4)), "a running attempt does not expire")
	}
	require.Equal(t, ticket.Run{}, table.Receive(later, attemptFrom("a", 6)))
	attempts, senders := table.Len()
	require.Equal(t, []int{2, 1}, []int{attempts, senders})
}

// Guards against a full table that grows beyond its bound, and against an attempt that is refused as "not run" by a full
// table and runs when a copy of it arrives after the table has capacity again.
func TestAttemptsNeverRunAfterBusyRefusal(t *testing.T) {
	table := ticket.NewAttempts("here")
	table.SetCapacity(2, 2)
	busy := refusal(call.ReasonBusy, call.OutcomeNotRun)
	unknown := refusal(ticket.ReasonAttemptRepeated, call.OutcomeUnknown)
	table.Receive(start, attemptFrom("a", 1))
	table.Receive(start, attemptFrom("b", 1))
	require.Equal(t, busy, table.Receive(start, attemptFrom("a", 2)), "no attempt has ended")
	require.Equal(t, call.OutcomeNotRun, table.Fence(start, attemptFrom("a", 3)).Outcome)

	table.Finish(start, attemptFrom("a", 1), ranAnswer)
	require.Equal(t, unknown, table.Receive(start, attemptFrom("a", 2)))
	require.Equal(t, unknown, table.Receive(start, attemptFrom("a", 3)))
	require.Equal(t, ticket.Run{}, table.Receive(start, attemptFrom("b", 2)), "replaces the attempt that ended first")
	require.Equal(t, unknown, table.Receive(start, attemptFrom("a", 1)))

	table = ticket.NewAttempts("here")
	table.SetCapacity(100, 2)
	table.Receive(start, attemptFrom("a", 1))
	table.Receive(start, attemptFrom("b", 1))
	require.Equal(t, busy, table.Receive(start, attemptFrom("c", 7)), "both senders have records")
	table.Finish(start, attemptFrom("b", 1), ranAnswer)
	later := start.Add(ticket.Retention)
	require.Equal(t, unknown, table.Receive(later, attemptFrom("c", 7)))
	require.Equal(t, ticket.Run{}, table.Receive(later, attemptFrom("c", 8)), "replaces b, which has no records")
	require.Equal(t, ticket.Join{}, table.Receive(later, attemptFrom("a", 1)))
	_, senders := table.Len()
	require.Equal(t, 2, senders)
}

// Guards against an old attempt of an evicted sender that runs again, also after the sender was added again.
func TestAttemptsRefuseOldAttemptsOfEvictedSenders(t *testing.T) {
	table := ticket.NewAttempts("here")
	table.SetCapacity(100, 2)
	unknown := refusal(ticket.ReasonAttemptRepeated, call.OutcomeUnknown)
	for i, sender := range []string{"a", "b"} {
		table.Receive(start, attemptFrom(sender, uint64(10+i)))
		table.Finish(start, attemptFrom(sender, uint64(10+i)), ranAnswer)
	}
	later := start.Add(ticket.Retention)
	require.Equal(t, ticket.Run{}, table.Receive(later, attemptFrom("c", 30)), "replaces a, which has the lowest watermark")
	require.Equal(t, unknown, table.Receive(later, attemptFrom("a", 10)))
	require.Equal(t, call.OutcomeUnknown, table.Fence(later, attemptFrom("a", 10)).Outcome)
	require.Equal(t, ticket.Run{}, table.Receive(later, attemptFrom("a", 11)), "replaces b")
	require.Equal(t, unknown, table.Receive(later, attemptFrom("a", 10)))
	require.Equal(t, unknown, table.Receive(later, attemptFrom("b", 11)))
	require.Equal(t, unknown, table.Receive(later, attemptFrom("b", 10)))
}

// Guards against a sequence that repeats a number, or whose numbers after a restart are not above those before it:
// receivers that evicted the earlier incarnation would refuse them.
func TestSequenceIncreasesAcrossRestarts(t *testing.T) {
	earlier, later := ticket.NewSequence(start), ticket.NewSequence(start.Add(time.Second))
	last := earlier.Next()
	for range 1000 {
		require.Greater(t, earlier.Next(), last)
		last++
	}
	require.Greater(t, later.Next(), last)
}

// Guards against stored bodies that exceed their total bound or change when the transport reuses its buffer, and against a
// dropped body that is not marked as truncated.
func TestStoredBodiesAreBounded(t *testing.T) {
	table := ticket.NewAttempts("here")
	buffer := make([]byte, ticket.MaxBodyBytes)
	n := uint64(2*ticket.MaxTotalBodyBytes/ticket.MaxBodyBytes + 1)
	for seq := uint64(1); seq <= n; seq++ {
		table.Receive(start, attemptFrom("a", seq))
		buffer[0] = byte(seq)
		table.Finish(start, attemptFrom("a", seq), ticket.Answer{Outcome: call.OutcomeRan, Body: buffer})
	}
	table.Receive(start, attemptFrom("a", n+1))
	table.Finish(start, attemptFrom("a", n+1), ticket.Answer{Outcome: call.OutcomeRan, Body: make([]byte, ticket.MaxBodyBytes+1)})
	total := 0
	for seq := uint64(1); seq <= n+1; seq++ {
		a := table.Fence(start, attemptFrom("a", seq)).Answer
		require.Equal(t, len(a.Body) == 0, a.Truncated, fmt.Sprint(seq))
		if total += len(a.Body); len(a.Body) > 0 {
			require.Equal(t, byte(seq), a.Body[0])
		}
	}
	require.Equal(t, ticket.MaxTotalBodyBytes, total)
	require.Empty(t, table.Fence(start, attemptFrom("a", 1)).Answer.Body, "the oldest body is dropped first")

	later := start.Add(ticket.Retention)
	table.Receive(later, attemptFrom("a", n+2))
	table.Finish(later, attemptFrom("a", n+2), ranAnswer)
	for seq := n + 3; seq < n+3+ticket.MaxTotalBodyBytes/ticket.MaxBodyBytes-1; seq++ {
		table.Receive(later, attemptFrom("a", seq))
		table.Finish(later, attemptFrom("a", seq), ticket.Answer{Body: buffer})
	}
	require.Equal(t, ranAnswer.Body, table.Fence(later, attemptFrom("a", n+2)).Answer.Body, "dropped records free their bytes")
}
