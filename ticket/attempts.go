package ticket

import (
	"time"

	"lovagelane/call"
)

// State is what a serving node knows of an attempt.
type State struct {
	// Outcome is OutcomeNotRun for an attempt that never ran and never will, OutcomeRan for one that ended.
	Outcome call.Outcome
	// Running means that the attempt runs or is queued; Outcome is then unknown.
	Running bool
	Answer  Answer
}

// Attempts is the serving node's table of attempts by sender; the caller serializes access to it.
type Attempts struct{}

// NewAttempts returns an empty table for the incarnation with this member id.
func NewAttempts(receiver string) *Attempts { return &Attempts{} }

// Arrive records an attempt and reports the reason for refusing it, or ReasonNone when it may run. A refused attempt did
// not run and never will.
func (t *Attempts) Arrive(now time.Time, a call.Attempt) call.Reason { return call.ReasonNone }

// Finish records the end of an attempt that Arrive let through.
func (t *Attempts) Finish(now time.Time, a call.Attempt, answer Answer) {}

// Fence returns the state of an attempt and marks an attempt that was never seen, so that it never runs.
func (t *Attempts) Fence(now time.Time, a call.Attempt) State { return State{} }
