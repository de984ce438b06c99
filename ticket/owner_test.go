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

// desk is an owner with its issuer.
type desk struct {
	t require.TestingT
	*ticket.Issuer
	*ticket.Owner
}

func newDesk(t require.TestingT) desk {
	return desk{t, ticket.NewIssuer([]byte("key"), "here", "10.0.0.1:1", start), ticket.NewOwner("here", start)}
}

func (d desk) ticket(now time.Time) ticket.Ticket {
	got, err := d.Parse(d.Issue(now, "payments"))
	require.NoError(d.t, err)
	return got
}

func (d desk) begin(now time.Time, t ticket.Ticket) ticket.Verdict {
	return d.Begin(now, t, "payments", 1)
}

var (
	notRun  = ticket.Answer{Outcome: call.OutcomeNotRun, Reason: call.ReasonShed}
	expired = refused(call.ReasonTicketExpired, call.OutcomeUnknown)
)

// Guards against a ticket that runs twice, or for another request, service or owner than it was first used for.
func TestOwnerRunsATicketOnce(t *testing.T) {
	d := newDesk(t)
	tick := d.ticket(start)
	invalid := refused(call.ReasonTicketInvalid, call.OutcomeNotRun)
	require.Equal(t, invalid, d.Begin(start, tick, "nursery", 1))
	require.Equal(t, ticket.Run{Allowance: retry.Bound}, d.begin(start, tick))
	require.Equal(t, ticket.Join{}, d.begin(start, tick))
	require.Equal(t, invalid, d.Begin(start, tick, "payments", 2))

	d.Finish(start, tick.Seq, ran, 2)
	d.Finish(start, tick.Seq, notRun, 2)
	require.Equal(t, ticket.Kept{Answer: ran}, d.begin(start, tick))
	require.Equal(t, ticket.Kept{Answer: ran}, d.Again(start, tick, "payments", 1))
	require.Equal(t, invalid, d.Begin(start, tick, "payments", 2))

	unsure := d.ticket(start)
	d.begin(start, unsure)
	d.Finish(start, unsure.Seq, ticket.Answer{Outcome: call.OutcomeUnknown}, 3)
	require.IsType(t, ticket.Kept{}, d.begin(start, unsure), "an unknown end is final")

	other := ticket.NewOwner("restarted", start)
	require.Equal(t, refused(call.ReasonOwnerGone, call.OutcomeUnknown), other.Begin(start, tick, "payments", 1))
}

// Guards against a ticket that runs again, or is called "not run", after the owner forgot it, also when the clock jumps.
func TestOwnerForgetsOnlyExpiredTickets(t *testing.T) {
	d := newDesk(t)
	unused, used, long := d.ticket(start), d.ticket(start), d.ticket(start)
	d.begin(start, used)
	d.Finish(start, used.Seq, ran, 0)
	d.begin(start, long)
	require.Equal(t, ticket.Kept{Answer: ran}, d.begin(start.Add(ticket.Lifetime-1), used))

	require.Equal(t, expired, d.begin(start.Add(ticket.Lifetime), used))
	end := start.Add(ticket.Lifetime + time.Second)
	require.Equal(t, expired, d.begin(end, used))
	require.Equal(t, 1, d.Len(), "only the running request is remembered")
	require.Equal(t, expired, d.begin(start, used), "the clock jumped back")
	require.Equal(t, expired, d.begin(start, unused), "it may have been used, for all the owner knows")
	require.Equal(t, ticket.Join{}, d.begin(start, long))

	back := d.ticket(start.Add(-time.Hour))
	require.Equal(t, used.IssuedMS, back.IssuedMS)
	ahead := d.ticket(end)
	d.begin(end, ahead)
	require.Equal(t, end.Sub(start).Milliseconds(), int64(d.ticket(start).IssuedMS), "no ticket looks older than an earlier one")
}

// Guards against a full table that forgets a ticket early or grows.
func TestOwnerRefusesNewTicketsWhenFull(t *testing.T) {
	d := newDesk(t)
	first := d.ticket(start)
	d.begin(start, first)
	for range ticket.MaxTickets - 1 {
		d.begin(start, d.ticket(start))
	}
	require.Equal(t, refused(call.ReasonBusy, call.OutcomeNotRun), d.begin(start, d.ticket(start)))
	require.Equal(t, ticket.MaxTickets, d.Len())
	d.Finish(start, first.Seq, ran, 0)
	require.Equal(t, ticket.Kept{Answer: ran}, d.begin(start, first))
	end := start.Add(ticket.Lifetime)
	require.Equal(t, ticket.Run{Allowance: retry.Bound}, d.begin(end, d.ticket(end)))
}

// Guards against resends that add retries beyond the bound, or that are not counted because they joined a run.
func TestOwnerCountsResends(t *testing.T) {
	d := newDesk(t)
	spent := refused(call.ReasonRetriesSpent, call.OutcomeNotRun)
	end := func(tick ticket.Ticket, unused int) { d.Finish(start, tick.Seq, notRun, unused) }

	tick := d.ticket(start)
	d.begin(start, tick)
	end(tick, 1)
	require.Equal(t, ticket.Run{Allowance: 2}, d.begin(start, tick), "one left over and one for the first resend")
	end(tick, 99)
	require.Equal(t, ticket.Run{Allowance: 2}, d.begin(start, tick), "no more left over than was given")
	end(tick, 0)
	require.Equal(t, spent, d.begin(start, tick))
	require.Equal(t, spent, d.begin(start, tick))

	joined := d.ticket(start)
	d.begin(start, joined)
	for range 3 {
		require.Equal(t, ticket.Join{}, d.begin(start, joined))
	}
	end(joined, 3)
	require.Equal(t, spent, d.Again(start, joined, "payments", 1))

	waited := d.ticket(start)
	d.begin(start, waited)
	end(waited, 3)
	require.Equal(t, spent, d.Again(start, waited, "payments", 1), "nobody sent it again")
	d.begin(start, waited)
	d.begin(start, waited)
	end(waited, 0)
	require.Equal(t, ticket.Run{}, d.Again(start, waited, "payments", 1), "the second resend has no retry of its own")
}

// Guards against any order of sends and ends, that exceeds the bound.
func TestOwnerKeepsRequestsWithinTheirBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDesk(t)
		tick := d.ticket(start)
		retries, runs, given, running := 0, 0, 0, false
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "send") {
				if v, ok := d.begin(start, tick).(ticket.Run); ok {
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
			d.Finish(start, tick.Seq, notRun, given)
		}
		require.LessOrEqual(t, retries, retry.RequestBound)
	})
}
