package ticket

import (
	"time"

	"lovagelane/call"
	"lovagelane/retry"
)

const (
	// MaxTickets is the number of used tickets that an owner remembers. At 400 non-idempotent requests a second over 590
	// nodes one node uses about 420 in a lifetime.
	MaxTickets = 16384
	// pruneInterval is the shortest time between two searches for expired tickets.
	pruneInterval = time.Second
)

// Answer is a kept answer of a request.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
	// Truncated means that the body was too large to keep.
	Truncated bool         `cbor:"4,keyasint"`
	Outcome   call.Outcome `cbor:"5,keyasint"`
	Reason    call.Reason  `cbor:"6,keyasint"`
}

// Verdict is the answer to a ticketed request at its owner, or to an attempt: Run, Join, Kept or Refuse.
type Verdict interface{ verdict() }

// Run means that the request is to be started now, with this many retries.
type Run struct{ Allowance int }

// Join means that the request runs already; wait for its end and ask again.
type Join struct{}

// Kept means that the request ended and this is its answer, whose body must not be changed.
type Kept struct{ Answer Answer }

// Refuse means that the request is not started.
type Refuse struct {
	Reason  call.Reason
	Outcome call.Outcome
}

func (Run) verdict()    {}
func (Join) verdict()   {}
func (Kept) verdict()   {}
func (Refuse) verdict() {}

// phase is how far the request of a used ticket has come.
type phase uint8

const (
	running phase = iota
	// open means that the last run ended "not run", so that a resend may run.
	open
	done
)

type request struct {
	phase   phase
	issued  uint64
	digest  uint64
	resends int
	reruns  int
	// given is the allowance of the run in progress, unused what is left of it after a "not run" end.
	given  int
	unused int
	kept   kept
}

// Owner is the table of ticketed requests of the node that issued their tickets; the caller serializes access to it.
type Owner struct {
	id    string
	start time.Time
	// maxTickets is MaxTickets except in tests of a full table.
	maxTickets int
	requests   map[uint64]*request
	// watermark is the highest number whose request was forgotten. Numbers up to it that are not in the table may have
	// run, whatever the clock says now.
	watermark uint64
	pruned    time.Time
	bodies    bodies
}

// NewOwner returns an empty table for the incarnation that started at start, the same time as given to NewIssuer.
func NewOwner(owner string, start time.Time) *Owner {
	return &Owner{id: owner, start: start, maxTickets: MaxTickets, requests: map[uint64]*request{}, pruned: start}
}

// Begin decides on a request that came with a ticket of this owner; each further one for the ticket counts as a resend.
func (o *Owner) Begin(now time.Time, t Ticket, service string, digest uint64) Verdict {
	return o.decide(now, t, service, digest, 1)
}

// Again decides on a request that was answered Join and whose run has ended, without counting a resend.
func (o *Owner) Again(now time.Time, t Ticket, service string, digest uint64) Verdict {
	return o.decide(now, t, service, digest, 0)
}

func (o *Owner) decide(now time.Time, t Ticket, service string, digest uint64, resends int) Verdict {
	o.prune(now)
	if t.Owner != o.id {
		return Refuse{Reason: call.ReasonOwnerGone, Outcome: call.OutcomeUnknown}
	}
	if t.Service != service {
		return Refuse{Reason: call.ReasonTicketInvalid, Outcome: call.OutcomeNotRun}
	}
	r, used := o.requests[t.Seq]
	if used && r.digest != digest {
		return Refuse{Reason: call.ReasonTicketInvalid, Outcome: call.OutcomeNotRun}
	}
	if o.expired(now, t.IssuedMS) || !used && t.Seq <= o.watermark {
		return Refuse{Reason: call.ReasonTicketExpired, Outcome: call.OutcomeUnknown}
	}
	if !used {
		return o.first(t, digest)
	}
	r.resends += resends
	switch r.phase {
	case running:
		return Join{}
	case done:
		return Kept{Answer: r.kept.answer}
	default:
		return r.rerun()
	}
}

// first runs a ticket that was not used before. A full table refuses it, because forgetting another ticket early would
// let that one run twice.
func (o *Owner) first(t Ticket, digest uint64) Verdict {
	if len(o.requests) >= o.maxTickets {
		return Refuse{Reason: call.ReasonBusy, Outcome: call.OutcomeNotRun}
	}
	o.requests[t.Seq] = &request{issued: t.IssuedMS, digest: digest, given: retry.Bound}
	return Run{Allowance: retry.Bound}
}

// rerun runs a request again whose earlier runs all ended "not run". Every resend counts, also one that joined a run.
func (r *request) rerun() Verdict {
	account, ok := retry.ForResend(r.resends)
	if !ok || r.reruns >= r.resends {
		return Refuse{Reason: call.ReasonRetriesSpent, Outcome: call.OutcomeNotRun}
	}
	r.reruns++
	r.given = min(retry.Bound, r.unused+account.Left())
	r.phase = running
	return Run{Allowance: r.given}
}

// Finish records the end of a request that Run started, once for each Run. A "not run" end lets a resend with the ticket
// run it again, with unused retries of what it had; any other end is final.
func (o *Owner) Finish(now time.Time, seq uint64, a Answer, unused int) {
	r, ok := o.requests[seq]
	if !ok || r.phase != running {
		return
	}
	if a.Outcome == call.OutcomeNotRun {
		r.phase = open
		r.unused = max(0, min(r.given, unused))
	} else {
		r.phase = done
		o.bodies.keep(&r.kept, a)
	}
	o.prune(now)
}

// Len returns the number of used tickets that the table holds.
func (o *Owner) Len() int { return len(o.requests) }

func (o *Owner) expired(now time.Time, issuedMS uint64) bool {
	return sinceMS(o.start, now) >= issuedMS+uint64(Lifetime.Milliseconds())
}

// prune forgets expired tickets, except those whose request still runs.
func (o *Owner) prune(now time.Time) {
	if age := now.Sub(o.pruned); age >= 0 && age < pruneInterval {
		return
	}
	o.pruned = now
	for seq, r := range o.requests {
		if r.phase != running && o.expired(now, r.issued) {
			o.watermark = max(o.watermark, seq)
			o.bodies.release(&r.kept)
			delete(o.requests, seq)
		}
	}
}
