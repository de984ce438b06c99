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
	start = time.Unix(1e6, 0)
	ran   = ticket.Answer{Outcome: call.OutcomeRan, Status: 200, Body: []byte("job 7")}
)

func from(sender string, seq uint64) call.Attempt {
	return call.Attempt{Sender: sender, Receiver: "here", Seq: seq}
}

func refused(reason call.Reason, outcome call.Outcome) ticket.Verdict {
	return ticket.Refuse{Reason: reason, Outcome: outcome}
}

// Guards against an attempt that runs twice, or after a fence, or whose repeat is called "not run".
func TestAttemptsAnswerEachStateOfAnAttempt(t *testing.T) {
	table := ticket.NewAttempts("here")
	require.Equal(t, ticket.Run{}, table.Receive(start, from("a", 5)))
	require.Equal(t, ticket.Join{}, table.Receive(start, from("a", 5)))
	require.Equal(t, ticket.ReasonAttemptRepeated, table.Arrive(start, from("a", 5)))
	require.Equal(t, ticket.State{Running: true}, table.Fence(start, from("a", 5)))

	table.Finish(start, from("a", 5), ran)
	table.Finish(start, from("a", 5), ticket.Answer{Outcome: call.OutcomeNotRun})
	require.Equal(t, ticket.Kept{Answer: ran}, table.Receive(start, from("a", 5)))
	require.Equal(t, ticket.State{Outcome: call.OutcomeRan, Answer: ran}, table.Fence(start, from("a", 5)))

	require.Equal(t, call.OutcomeNotRun, table.Fence(start, from("a", 3)).Outcome)
	require.Equal(t, call.ReasonFenced, table.Arrive(start, from("a", 3)))
	require.Equal(t, call.ReasonNone, table.Arrive(start, from("b", 5)), "numbers of another sender")

	elsewhere := call.Attempt{Sender: "a", Receiver: "before", Seq: 9}
	require.Equal(t, refused(ticket.ReasonOtherIncarnation, call.OutcomeUnknown), table.Receive(start, elsewhere))
	require.Equal(t, call.OutcomeUnknown, table.Fence(start, elsewhere).Outcome)
	long := from(string(make([]byte, 65)), 1)
	require.Equal(t, refused(call.ReasonBadRequest, call.OutcomeNotRun), table.Receive(start, long))
}

// Guards against a repeat that runs, or is called "not run", after the record of the attempt was dropped by age.
func TestAttemptsRefuseWhatTheyForgot(t *testing.T) {
	table := ticket.NewAttempts("here")
	table.Receive(start, from("a", 4))
	table.Receive(start, from("a", 5))
	table.Finish(start, from("a", 5), ran)
	kept := start.Add(ticket.Retention - 1)
	require.Equal(t, ticket.Kept{Answer: ran}, table.Receive(kept, from("a", 5)))
	later := start.Add(ticket.Retention)
	unknown := refused(ticket.ReasonAttemptRepeated, call.OutcomeUnknown)
	for _, now := range []time.Time{later, start} { // The clock then jumps back.
		require.Equal(t, unknown, table.Receive(now, from("a", 5)))
		require.Equal(t, unknown, table.Receive(now, from("a", 3)))
		require.Equal(t, call.OutcomeUnknown, table.Fence(now, from("a", 5)).Outcome)
		require.Equal(t, ticket.Join{}, table.Receive(now, from("a", 4)), "still running")
	}
	require.Equal(t, ticket.Run{}, table.Receive(later, from("a", 6)))
	attempts, senders := table.Len()
	require.Equal(t, []int{2, 1}, []int{attempts, senders})
}

// Guards against a full table that grows, or that lets an attempt run later which it refused as "not run".
func TestAttemptsRefuseForGoodWhenFull(t *testing.T) {
	table := ticket.NewAttempts("here")
	table.SetBounds(2, 2)
	busy := refused(call.ReasonBusy, call.OutcomeNotRun)
	unknown := refused(ticket.ReasonAttemptRepeated, call.OutcomeUnknown)
	table.Receive(start, from("a", 1))
	table.Receive(start, from("b", 1))
	require.Equal(t, busy, table.Receive(start, from("a", 2)), "all attempts run")
	require.Equal(t, call.OutcomeNotRun, table.Fence(start, from("a", 3)).Outcome)

	table.Finish(start, from("a", 1), ran)
	require.Equal(t, unknown, table.Receive(start, from("a", 2)))
	require.Equal(t, unknown, table.Receive(start, from("a", 3)))
	require.Equal(t, ticket.Run{}, table.Receive(start, from("b", 2)), "in place of the attempt that ended first")
	require.Equal(t, unknown, table.Receive(start, from("a", 1)))

	table = ticket.NewAttempts("here")
	table.SetBounds(100, 2)
	table.Receive(start, from("a", 1))
	table.Receive(start, from("b", 1))
	require.Equal(t, busy, table.Receive(start, from("c", 7)), "both senders are active")
	table.Finish(start, from("b", 1), ran)
	later := start.Add(ticket.Retention)
	require.Equal(t, unknown, table.Receive(later, from("c", 7)))
	require.Equal(t, ticket.Run{}, table.Receive(later, from("c", 8)), "in place of b, which is idle")
	require.Equal(t, ticket.Join{}, table.Receive(later, from("a", 1)))
	_, senders := table.Len()
	require.Equal(t, 2, senders)
}

// Guards against an old attempt of an evicted sender that runs again, also after the sender came back.
func TestAttemptsRefuseOldAttemptsOfEvictedSenders(t *testing.T) {
	table := ticket.NewAttempts("here")
	table.SetBounds(100, 2)
	unknown := refused(ticket.ReasonAttemptRepeated, call.OutcomeUnknown)
	for i, sender := range []string{"a", "b"} {
		table.Receive(start, from(sender, uint64(10+i)))
		table.Finish(start, from(sender, uint64(10+i)), ran)
	}
	later := start.Add(ticket.Retention)
	require.Equal(t, ticket.Run{}, table.Receive(later, from("c", 30)), "in place of a, whose numbers are lowest")
	require.Equal(t, unknown, table.Receive(later, from("a", 10)))
	require.Equal(t, call.OutcomeUnknown, table.Fence(later, from("a", 10)).Outcome)
	require.Equal(t, ticket.Run{}, table.Receive(later, from("a", 11)), "in place of b")
	require.Equal(t, unknown, table.Receive(later, from("a", 10)))
	require.Equal(t, unknown, table.Receive(later, from("b", 11)))
	require.Equal(t, unknown, table.Receive(later, from("b", 10)))
}

// Guards against numbers that repeat or that receivers refuse after they evicted an earlier sender.
func TestSequenceGrowsFromTheStart(t *testing.T) {
	earlier, later := ticket.NewSequence(start), ticket.NewSequence(start.Add(time.Second))
	last := earlier.Next()
	for range 1000 {
		require.Greater(t, earlier.Next(), last)
		last++
	}
	require.Greater(t, later.Next(), last)
}

// Guards against kept answers that exceed their bound in bytes, change with the transport's buffer, or hide what is missing.
func TestKeptBodiesAreBounded(t *testing.T) {
	table := ticket.NewAttempts("here")
	buffer := make([]byte, ticket.MaxBody)
	n := uint64(2*ticket.MaxBodies/ticket.MaxBody + 1)
	for seq := uint64(1); seq <= n; seq++ {
		table.Receive(start, from("a", seq))
		buffer[0] = byte(seq)
		table.Finish(start, from("a", seq), ticket.Answer{Outcome: call.OutcomeRan, Body: buffer})
	}
	table.Receive(start, from("a", n+1))
	table.Finish(start, from("a", n+1), ticket.Answer{Outcome: call.OutcomeRan, Body: make([]byte, ticket.MaxBody+1)})
	total := 0
	for seq := uint64(1); seq <= n+1; seq++ {
		a := table.Fence(start, from("a", seq)).Answer
		require.Equal(t, len(a.Body) == 0, a.Truncated, fmt.Sprint(seq))
		if total += len(a.Body); len(a.Body) > 0 {
			require.Equal(t, byte(seq), a.Body[0])
		}
	}
	require.Equal(t, ticket.MaxBodies, total)
	require.Empty(t, table.Fence(start, from("a", 1)).Answer.Body, "the oldest body goes first")

	later := start.Add(ticket.Retention)
	table.Receive(later, from("a", n+2))
	table.Finish(later, from("a", n+2), ran)
	for seq := n + 3; seq < n+3+ticket.MaxBodies/ticket.MaxBody-1; seq++ {
		table.Receive(later, from("a", seq))
		table.Finish(later, from("a", seq), ticket.Answer{Body: buffer})
	}
	require.Equal(t, ran.Body, table.Fence(later, from("a", n+2)).Answer.Body, "dropped records free their bytes")
}
