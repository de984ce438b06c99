package node

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"lovagelane/call"
	"lovagelane/ticket"
)

// askTimeout bounds a question about an attempt.
const askTimeout = 500 * time.Millisecond

// Paths between nodes.
const (
	pathAttempt = "/lovagelane/attempt"
	pathCancel  = "/lovagelane/cancel"
)

// attemptQuestion asks a serving node about an attempt.
type attemptQuestion struct {
	Version       uint8        `cbor:"1,keyasint"`
	Attempt       call.Attempt `cbor:"2,keyasint"`
	NonIdempotent bool         `cbor:"3,keyasint"`
}

// attemptState answers an attemptQuestion.
type attemptState struct {
	Version uint8         `cbor:"1,keyasint"`
	Outcome call.Outcome  `cbor:"2,keyasint"`
	Running bool          `cbor:"3,keyasint"`
	Answer  ticket.Answer `cbor:"4,keyasint"`
}

// stateAnswer is a serving node's word on an attempt.
type stateAnswer struct {
	try   *launched
	state ticket.State
	err   error
}

// askStates asks about every attempt that is still silent; the answers arrive on t.states.
func (t *try) askStates() {
	for _, l := range t.attempts {
		if l.settled {
			continue
		}
		states, n, nonIdempotent := t.states, t.n, t.out.op.NonIdempotent
		n.pool.Submit(func() {
			state, err := n.askState(l, nonIdempotent)
			select {
			case states <- stateAnswer{l, state, err}:
			default: // The try is over, or an earlier answer has not been read yet.
			}
		})
	}
}

// askState asks the serving node over another connection; a non-idempotent attempt that it never saw is fenced by this.
func (n *Node) askState(l *launched, nonIdempotent bool) (ticket.State, error) {
	message, err := cbor.Marshal(attemptQuestion{Version: call.MetaVersion, Attempt: l.attempt, NonIdempotent: nonIdempotent})
	if err != nil {
		return ticket.State{}, err
	}
	b, err := n.ask(l.peer, pathAttempt, message, askTimeout)
	if err != nil {
		return ticket.State{}, err
	}
	var s attemptState
	if err := cbor.Unmarshal(b, &s); err != nil {
		return ticket.State{}, err
	}
	return ticket.State{Outcome: s.Outcome, Running: s.Running, Answer: s.Answer}, nil
}

// sendCancel tells a serving node that the caller of an attempt gave up; a lost message only costs wasted work.
func (n *Node) sendCancel(l *launched) {
	message, err := cbor.Marshal(attemptQuestion{Version: call.MetaVersion, Attempt: l.attempt})
	if err != nil {
		return
	}
	_, _ = n.ask(l.peer, pathCancel, message, askTimeout)
	n.metrics.Add("cancellations-sent", 1)
}

// stateOf answers a question about an attempt at the own backend server.
func (n *Node) stateOf(q attemptQuestion) attemptState {
	if _, ok := n.flights.withAttempt(q.Attempt); ok {
		return attemptState{Version: call.MetaVersion, Running: true}
	}
	if q.Attempt.Receiver != n.self.ID || !q.NonIdempotent {
		// Nothing is recorded of another incarnation, nor of idempotent attempts that ended: this one may have run, or may
		// still arrive.
		return attemptState{Version: call.MetaVersion, Outcome: call.OutcomeUnknown}
	}
	s := n.attempts.fence(n.clock.Now(), q.Attempt)
	return attemptState{Version: call.MetaVersion, Outcome: s.Outcome, Running: s.Running, Answer: s.Answer}
}
