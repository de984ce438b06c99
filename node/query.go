package node

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"lovagelane/call"
	"lovagelane/ticket"
)

// queryTimeout bounds a control message about an attempt.
const queryTimeout = 500 * time.Millisecond

// Paths of control messages between nodes.
const (
	pathAttempt = "/lovagelane/attempt"
	pathCancel  = "/lovagelane/cancel"
)

// attemptQuery queries a serving node for the state of an attempt.
type attemptQuery struct {
	Version       uint8        `cbor:"1,keyasint"`
	Attempt       call.Attempt `cbor:"2,keyasint"`
	NonIdempotent bool         `cbor:"3,keyasint"`
}

// attemptState is the response to an attemptQuery.
type attemptState struct {
	Version uint8         `cbor:"1,keyasint"`
	Outcome call.Outcome  `cbor:"2,keyasint"`
	Running bool          `cbor:"3,keyasint"`
	Answer  ticket.Answer `cbor:"4,keyasint"`
}

// stateResult is the result of querying a serving node for an attempt.
type stateResult struct {
	attempt *sentAttempt
	state   ticket.State
	err     error
}

// queryStates queries the state of every attempt without a result. The results arrive on h.states.
func (h *hedgedAttempt) queryStates() {
	for _, a := range h.attempts {
		if a.settled {
			continue
		}
		states, n, nonIdempotent := h.states, h.n, h.out.op.NonIdempotent
		n.pool.Submit(func() {
			state, err := n.queryState(a, nonIdempotent)
			select {
			case states <- stateResult{a, state, err}:
			default: // The call is over, or an earlier result has not been read yet.
			}
		})
	}
}

// queryState queries the serving node over another connection. The query fences a non-idempotent attempt that the serving
// node has not seen.
func (n *Node) queryState(a *sentAttempt, nonIdempotent bool) (ticket.State, error) {
	message, err := cbor.Marshal(attemptQuery{Version: call.MetaVersion, Attempt: a.attempt, NonIdempotent: nonIdempotent})
	if err != nil {
		return ticket.State{}, err
	}
	b, err := n.sendMessage(a.peer, pathAttempt, message, queryTimeout)
	if err != nil {
		return ticket.State{}, err
	}
	var s attemptState
	if err := cbor.Unmarshal(b, &s); err != nil {
		return ticket.State{}, err
	}
	return ticket.State{Outcome: s.Outcome, Running: s.Running, Answer: s.Answer}, nil
}

// sendCancel notifies a serving node that the caller of an attempt gave up. If the message is lost, the only cost is wasted
// work.
func (n *Node) sendCancel(a *sentAttempt) {
	message, err := cbor.Marshal(attemptQuery{Version: call.MetaVersion, Attempt: a.attempt})
	if err != nil {
		return
	}
	_, _ = n.sendMessage(a.peer, pathCancel, message, queryTimeout)
	n.metrics.Add("cancellations-sent", 1)
}

// answerQuery returns the state of an attempt at the own backend server.
func (n *Node) answerQuery(q attemptQuery) attemptState {
	if _, ok := n.flights.findByAttempt(q.Attempt); ok {
		return attemptState{Version: call.MetaVersion, Running: true}
	}
	if q.Attempt.Receiver != n.self.ID || !q.NonIdempotent {
		// Attempts of another incarnation and finished idempotent attempts are not recorded. Such an attempt may have run, or
		// may still arrive.
		return attemptState{Version: call.MetaVersion, Outcome: call.OutcomeUnknown}
	}
	s := n.attempts.fence(n.clock.Now(), q.Attempt)
	return attemptState{Version: call.MetaVersion, Outcome: s.Outcome, Running: s.Running, Answer: s.Answer}
}
