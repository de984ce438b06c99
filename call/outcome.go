package call

import "fmt"

// Outcome states whether a call ran on a backend server.
type Outcome uint8

const (
	// OutcomeUnknown means that the call may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that the call did not run and never will.
	OutcomeNotRun
	// OutcomeRan means that a backend server answered the call.
	OutcomeRan
)

// String returns the outcome in the form that headers use.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not-run"
	case OutcomeRan:
		return "ran"
	default:
		return "unknown"
	}
}

// Reason is the cause of a refusal, in the form that headers, logs and metrics use.
type Reason string

const (
	// ReasonNone marks a call that was not refused.
	ReasonNone Reason = ""
	// ReasonShed means that the priority is below the admission level.
	ReasonShed Reason = "shed"
	// ReasonQueueFull means that more important calls fill the queue.
	ReasonQueueFull Reason = "queue-full"
	// ReasonDeadline means that the call cannot finish, or did not finish, before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonCancelled means that the caller cancelled the call.
	ReasonCancelled Reason = "cancelled"
	// ReasonDraining means that the backend server is draining and takes no new calls.
	ReasonDraining Reason = "draining"
	// ReasonNoBackendServer means that no backend server of the service is reachable.
	ReasonNoBackendServer Reason = "no-backend-server"
	// ReasonBackendFailed means that the backend server broke the connection or did not answer.
	ReasonBackendFailed Reason = "backend-failed"
	// ReasonNoConfiguration means that the node has no configuration in force yet.
	ReasonNoConfiguration Reason = "no-configuration"
	// ReasonUnknownService means that the service is not in the inventory.
	ReasonUnknownService Reason = "unknown-service"
	// ReasonRetriesSpent means that the request has used all its retries.
	ReasonRetriesSpent Reason = "retries-spent"
	// ReasonTicketRequired means that a non-idempotent request came without a ticket.
	ReasonTicketRequired Reason = "ticket-required"
	// ReasonTicketInvalid means that the ticket is malformed, forged, or for another service or request.
	ReasonTicketInvalid Reason = "ticket-invalid"
	// ReasonTicketExpired means that the ticket is older than its lifetime.
	ReasonTicketExpired Reason = "ticket-expired"
	// ReasonOwnerGone means that the node that issued the ticket is unreachable or has restarted.
	ReasonOwnerGone Reason = "owner-gone"
	// ReasonQuarantined means that the request crashed backend servers before.
	ReasonQuarantined Reason = "quarantined"
	// ReasonFenced means that the attempt was fenced before it arrived, or is addressed to another incarnation of the receiver.
	ReasonFenced Reason = "fenced"
	// ReasonBodyTooLarge means that the body exceeds the limit.
	ReasonBodyTooLarge Reason = "body-too-large"
	// ReasonBodyTooSlow means that the body did not arrive in time.
	ReasonBodyTooSlow Reason = "body-too-slow"
	// ReasonTooDeep means that the call chain is deeper than MaxDepth.
	ReasonTooDeep Reason = "too-deep"
	// ReasonBadRequest means that a header or the path is malformed.
	ReasonBadRequest Reason = "bad-request"
	// ReasonBusy means that a table of the node is full; its size is bounded to limit the memory of the node.
	ReasonBusy Reason = "busy"
)

// Refusal is the error for a call that got no answer from a backend server.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	// Rule is the file and line in the inventory or the rules that set the limit or class, or "learned".
	Rule string
	// Remedy tells the caller or operator what to do.
	Remedy string
}

// Error returns the reason, the outcome, the rule and the remedy on one line.
func (r Refusal) Error() string {
	return fmt.Sprintf("refused: reason=%s outcome=%s rule=%q: %s", r.Reason, r.Outcome, r.Rule, r.Remedy)
}

// WithRule returns the refusal with the rule set.
func (r Refusal) WithRule(rule string) Refusal {
	r.Rule = rule
	return r
}
