package ticket_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/call"
	"lovagelane/retry"
	"lovagelane/ticket"
)

// ownerNode is the table of an owner together with its issuer.
type ownerNode struct {
	t require.TestingT
	*ticket.Issuer
	*ticket.OwnerTable
}

func newOwnerNode(t require.TestingT) ownerNode {
	return ownerNode{t, ticket.NewIssuer([]byte("key"), "here", "10.0.0.1:1", start), ticket.NewOwnerTable("here", start)}
}

func (o ownerNode) ticket(now time.Time) ticket.Ticket {
	got, err := o.Parse(o.Issue(now, "payments"))
	require.NoError(o.t, err)
	return got
}

func (o ownerNode) begin(now time.Time, t ticket.Ticket) ticket.Decision {
	return o.Begin(now, t, "payments", 1)
}

var (
	notRunAnswer   = ticket.Answer{Outcome: call.OutcomeNotRun, Reason: call.ReasonShed}
	expiredRefusal = refusal(call.ReasonTicketExpired, call.OutcomeUnknown)
)

// Guards against a ticket that runs twice, or that runs for a request, service or owner other than that of its first use.
func TestOwnerTableRunsATicketOnce(t *testing.T) {
	o := newOwnerNode(t)
	tkt := o.ticket(start)
	invalid := refusal(call.ReasonTicketInvalid, call.OutcomeNotRun)
	require.Equal(t, invalid, o.Begin(start, tkt, "nursery", 1))
	require.Equal(t, ticket.Run{Allowance: retry.MaxRetriesPerSend}, o.begin(start, tkt))
	require.Equal(t, ticket.Join{}, o.begin(start, tkt))
	require.Equal(t, invalid, o.Begin(start, tkt, "payments", 2))

	o.Finish(start, tkt.Seq, ranAnswer, 2)
	o.Finish(start, tkt.Seq, notRunAnswer, 2)
	require.Equal(t, ticket.Replay{Answer: ranAnswer}, o.begin(start, tkt))
	require.Equal(t, ticket.Replay{Answer: ranAnswer}, o.DecideAfterJoin(start, tkt, "payments", 1))
	require.Equal(t, invalid, o.Begin(start, tkt, "payments", 2))

	unknown := o.ticket(start)
	o.begin(start, unknown)
	o.Finish(start, unknown.Seq, ticket.Answer{Outcome: call.OutcomeUnknown}, 3)
	require.IsType(t, ticket.Replay{}, o.begin(start, unknown), "an unknown outcome is final")

	other := ticket.NewOwnerTable("restarted", start)
	require.Equal(t, refusal(call.ReasonOwnerGone, call.OutcomeUnknown), other.Begin(start, tkt, "payments", 1))
}

// Guards against a ticket that runs again, or is reported as "not run", after the owner pruned it, also when the clock jumps.
func TestOwnerTablePrunesOnlyExpiredTickets(t *testing.T) {
	o := newOwnerNode(t)
	unused, used, long := o.ticket(start), o.ticket(start), o.ticket(start)
	o.begin(start, used)
	o.Finish(start, used.Seq, ranAnswer, 0)
	o.begin(start, long)
	require.Equal(t, ticket.Replay{Answer: ranAnswer}, o.begin(start.Add(ticket.Lifetime-1), used))

	require.Equal(t, expiredRefusal, o.begin(start.Add(ticket.Lifetime), used))
	end := start.Add(ticket.Lifetime + time.Second)
	require.Equal(t, expiredRefusal, o.begin(end, used))
	require.Equal(t, 1, o.Len(), "only the running request stays in the table")
	require.Equal(t, expiredRefusal, o.begin(start, used), "the clock jumped back")
	require.Equal(t, expiredRefusal, o.begin(start, unused), "the owner cannot tell whether it was used")
	require.Equal(t, ticket.Join{}, o.begin(start, long))

	back := o.ticket(start.Add(-time.Hour))
	require.Equal(t, used.IssuedMS, back.IssuedMS)
	ahead := o.ticket(end)
	o.begin(end, ahead)
	require.Equal(t, end.Sub(start).Milliseconds(), int64(o.ticket(start).IssuedMS), "no ticket looks older than an earlier one")
}

// Guards against a full table that drops a ticket before it expires or grows beyond its bound.
func TestOwnerTableRefusesNewTicketsWhenFull(t *testing.T) {
	o := newOwnerNode(t)
	first := o.ticket(start)
	o.begin(start, first)
	for range ticket.MaxTickets - 1 {
		o.begin(start, o.ticket(start))
	}
	require.Equal(t, refusal(call.ReasonBusy, call.OutcomeNotRun), o.begin(start, o.ticket(start)))
	require.Equal(t, ticket.MaxTickets, o.Len())
	o.Finish(start, first.Seq, ranAnswer, 0)
	require.Equal(t, ticket.Replay{Answer: ranAnswer}, o.begin(start, first))
	end := start.Add(ticket.Lifetime)
	require.Equal(t, ticket.Run{Allowance: retry.MaxRetriesPerSend}, o.begin(end, o.ticket(end)))
}

// Guards against resends that add retries beyond the bound, and against resends that are not counted because they joined a
// run.
func TestOwnerTableCountsResends(t *testing.T) {
	o := newOwnerNode(t)
	spent := refusal(call.ReasonRetriesSpent, call.OutcomeNotRun)
	end := func(tkt ticket.Ticket, unused int) { o.Finish(start, tkt.Seq, notRunAnswer, unused) }

	tkt := o.ticket(start)
	o.begin(start, tkt)
	end(tkt, 1)
	require.Equal(t, ticket.Run{Allowance: 2}, o.begin(start, tkt), "one unused and one for the first resend")
	end(tkt, 99)
	require.Equal(t, ticket.Run{Allowance: 2}, o.begin(start, tkt), "unused retries are at most the allowance")
	end(tkt, 0)
	require.Equal(t, spent, o.begin(start, tkt))
	require.Equal(t, spent, o.begin(start, tkt))

	joined := o.ticket(start)
	o.begin(start, joined)
	for range 3 {
		require.Equal(t, ticket.Join{}, o.begin(start, joined))
	}
	end(joined, 3)
	require.Equal(t, spent, o.DecideAfterJoin(start, joined, "payments", 1))

	waited := o.ticket(start)
	o.begin(start, waited)
	end(waited, 3)
	require.Equal(t, spent, o.DecideAfterJoin(start, waited, "payments", 1), "the request was not resent")
	o.begin(start, waited)
	o.begin(start, waited)
	end(waited, 0)
	require.Equal(t, ticket.Run{}, o.DecideAfterJoin(start, waited, "payments", 1), "the second resend has no retry of its own")
}

// Guards against an order of sends and ends in which the retries of a request exceed the bound.
func TestOwnerTableBoundsRetriesOfARequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOwnerNode(t)
		tkt := o.ticket(start)
		retries, runs, given, running := 0, 0, 0, false
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "send") {
				if v, ok := o.begin(start, tkt).(ticket.Run); ok {
					retries, runs, given, running = retries+min(runs, 1), runs+1, v.Allowance, true
				}
				continue
			}
			if !running {
				continue
			}
			running = false
			used := rapid.IntRange(0, given).Draw(t, "used")
			retries, given = retries+used, given-used
			o.Finish(start, tkt.Seq, notRunAnswer, given)
		}
		require.LessOrEqual(t, retries, retry.MaxRetriesPerRequest)
	})
}
