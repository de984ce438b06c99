package ticket

import (
	"time"

	"lovagelane/call"
	"lovagelane/retry"
)

const (
	// MaxTickets bounds the used tickets in the table of an owner. With 400 non-idempotent requests a second over 590
	// nodes, about 420 tickets of one node are used within a Lifetime.
	MaxTickets = 16384
	// pruneInterval is the minimum time between two scans for expired tickets.
	pruneInterval = time.Second
)

// Answer is the stored answer of a request or an attempt.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
	// Truncated means that the body or the content type was too large to store, or that the body was dropped to keep the
	// table within MaxTotalBodyBytes.
	Truncated bool         `cbor:"4,keyasint"`
	Outcome   call.Outcome `cbor:"5,keyasint"`
	Reason    call.Reason  `cbor:"6,keyasint"`
}

// Decision states how to handle a ticketed request or an attempt: Run, Join, Replay or Refuse.
type Decision interface{ decision() }

// Run means that the request starts now and may use Allowance retries.
type Run struct{ Allowance int }

// Join means that the request is running: the caller waits until it ends and then requests a new decision.
type Join struct{}

// Replay means that the request has ended and that the caller gets its stored answer, whose body must not be modified.
type Replay struct{ Answer Answer }

// Refuse means that the request is not started.
type Refuse struct {
	Reason  call.Reason
	Outcome call.Outcome
}

func (Run) decision()    {}
func (Join) decision()   {}
func (Replay) decision() {}
func (Refuse) decision() {}

// phase is the progress of a request with a used ticket.
type phase uint8

const (
	running phase = iota
	// rerunnable means that the last run ended "not run", so a resend may run the request again.
	rerunnable
	completed
)

type request struct {
	phase    phase
	issuedMS uint64
	digest   uint64
	resends  int
	reruns   int
	// allowance is the number of retries given to the last run; unusedRetries is the part left after it ended "not run".
	allowance     int
	unusedRetries int
	stored        storedAnswer
}

// OwnerTable is the table of requests by ticket on the node that issued the tickets. The caller serializes access to it.
type OwnerTable struct {
	id    string
	start time.Time
	// maxTickets is MaxTickets; tests of a full table set a lower bound.
	maxTickets int
	requests   map[uint64]*request
	// watermark is the highest number whose request was pruned. A ticket that is not in the table and has a number up to
	// the watermark may have run, also when its lifetime has not passed by a clock that jumped back.
	watermark  uint64
	lastPruned time.Time
	bodies     bodyBudget
}

// NewOwnerTable returns an empty table for the incarnation with the member id owner. The start time must equal that of NewIssuer.
func NewOwnerTable(owner string, start time.Time) *OwnerTable {
	return &OwnerTable{id: owner, start: start, maxTickets: MaxTickets, requests: map[uint64]*request{}, lastPruned: start}
}

// Begin decides on a request that arrived with a ticket. Each request after the first one for a ticket counts as a resend.
func (o *OwnerTable) Begin(now time.Time, t Ticket, service string, digest uint64) Decision {
	return o.decide(now, t, service, digest, 1)
}

// DecideAfterJoin decides on a request for which the decision was Join, after that run has ended. It does not count a resend.
func (o *OwnerTable) DecideAfterJoin(now time.Time, t Ticket, service string, digest uint64) Decision {
	return o.decide(now, t, service, digest, 0)
}

func (o *OwnerTable) decide(now time.Time, t Ticket, service string, digest uint64, resends int) Decision {
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
		return o.startFirst(t, digest)
	}
	r.resends += resends
	switch r.phase {
	case running:
		return Join{}
	case completed:
		return Replay{Answer: r.stored.answer}
	default:
		return r.rerun()
	}
}

// startFirst starts the request of a ticket that was not used before. A full table refuses it, because a ticket that is
// dropped before it expires could run twice.
func (o *OwnerTable) startFirst(t Ticket, digest uint64) Decision {
	if len(o.requests) >= o.maxTickets {
		return Refuse{Reason: call.ReasonBusy, Outcome: call.OutcomeNotRun}
	}
	o.requests[t.Seq] = &request{issuedMS: t.IssuedMS, digest: digest, allowance: retry.MaxRetriesPerSend}
	return Run{Allowance: retry.MaxRetriesPerSend}
}

// rerun starts a request again whose earlier runs all ended "not run". Every resend counts, also one that joined a run.
func (r *request) rerun() Decision {
	budget, ok := retry.BudgetForResend(r.resends)
	if !ok || r.reruns >= r.resends {
		return Refuse{Reason: call.ReasonRetriesSpent, Outcome: call.OutcomeNotRun}
	}
	r.reruns++
	r.allowance = min(retry.MaxRetriesPerSend, r.unusedRetries+budget.Remaining())
	r.phase = running
	return Run{Allowance: r.allowance}
}

// Finish records the end of a run, once for each Run decision. After a "not run" end, a resend with the same ticket may run
// the request again and use the unused retries of this run; any other end is final.
func (o *OwnerTable) Finish(now time.Time, seq uint64, a Answer, unused int) {
	r, ok := o.requests[seq]
	if !ok || r.phase != running {
		return
	}
	if a.Outcome == call.OutcomeNotRun {
		r.phase = rerunnable
		r.unusedRetries = max(0, min(r.allowance, unused))
	} else {
		r.phase = completed
		o.bodies.store(&r.stored, a)
	}
	o.prune(now)
}

// Len returns the number of used tickets in the table.
func (o *OwnerTable) Len() int { return len(o.requests) }

func (o *OwnerTable) expired(now time.Time, issuedMS uint64) bool {
	return sinceMS(o.start, now) >= issuedMS+uint64(Lifetime.Milliseconds())
}

// prune removes expired tickets, except those whose request is still running.
func (o *OwnerTable) prune(now time.Time) {
	if age := now.Sub(o.lastPruned); age >= 0 && age < pruneInterval {
		return
	}
	o.lastPruned = now
	for seq, r := range o.requests {
		if r.phase != running && o.expired(now, r.issuedMS) {
			o.watermark = max(o.watermark, seq)
			o.bodies.release(&r.stored)
			delete(o.requests, seq)
		}
	}
}
