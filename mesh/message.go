package mesh

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"lovagelane/directory"
	"lovagelane/quarantine"
	"lovagelane/slots"
)

// callMessage is a call on its way to the node beside a backend server.
type callMessage struct {
	Service    string `cbor:"1,keyasint"`
	Route      string `cbor:"2,keyasint"`
	RequestID  string `cbor:"3,keyasint"`
	Caller     string `cbor:"4,keyasint"`
	Rank       int    `cbor:"5,keyasint,omitempty"`
	Idempotent bool   `cbor:"7,keyasint,omitempty"`
	// RemainingMS is the time until the deadline, and WaitMS how long the call may wait for its start.
	RemainingMS int64  `cbor:"8,keyasint"`
	WaitMS      int64  `cbor:"9,keyasint,omitempty"`
	Digest      uint64 `cbor:"10,keyasint"`
	// Head is the request line and the headers.
	Head []byte `cbor:"11,keyasint"`
	Body []byte `cbor:"12,keyasint,omitempty"`
}

// end says what became of a call at a node.
type end uint8

const (
	// endAnswered means that the backend server answered.
	endAnswered end = iota
	// endBusy means that there was no room in time; the call never reached the backend server.
	endBusy
	// endUnusable means that the node has no backend server that takes calls; the call never reached it.
	endUnusable
	// endRejected means that the backend server stated that it has not run the call.
	endRejected
	// endLost means that the call may have run and that there is no answer.
	endLost
	// endExpired means that the deadline passed before the call reached the backend server.
	endExpired
	// endQuarantined means that the request crashes backend servers and was not sent to this one.
	endQuarantined
	// endCapped means that calls of the route run at the backend server only as far as services below have room; the call
	// never reached it.
	endCapped
)

// String returns the end as logs write it.
func (e end) String() string {
	return [...]string{"answered", "busy", "unusable", "rejected", "lost", "expired", "quarantined", "capped"}[e]
}

// answerMessage is the end of a call.
type answerMessage struct {
	End    end    `cbor:"1,keyasint,omitempty"`
	Status int    `cbor:"2,keyasint,omitempty"`
	Head   []byte `cbor:"3,keyasint,omitempty"`
	Body   []byte `cbor:"4,keyasint,omitempty"`
	// RanMicros is how long the backend server took, and WaitedMicros how long the call waited before.
	RanMicros    int64 `cbor:"5,keyasint,omitempty"`
	WaitedMicros int64 `cbor:"6,keyasint,omitempty"`
	Load         load  `cbor:"7,keyasint"`
	// Why says for logs what led to the end.
	Why string `cbor:"8,keyasint,omitempty"`
	// Crashed is set when the backend server crashed while it ran the call.
	Crashed bool `cbor:"9,keyasint,omitempty"`
	// unreachable is set by the sender when the node itself gave no answer.
	unreachable bool
}

// load is the room at a backend server.
type load struct {
	Running int   `cbor:"1,keyasint,omitempty"`
	Waiting int   `cbor:"2,keyasint,omitempty"`
	Limit   int   `cbor:"3,keyasint,omitempty"`
	WaitMS  int64 `cbor:"4,keyasint,omitempty"`
}

func loadOf(l slots.Load) load {
	return load{Running: l.Running, Waiting: l.Waiting, Limit: l.Limit, WaitMS: l.Wait.Milliseconds()}
}

func (l load) slots() slots.Load {
	return slots.Load{Running: l.Running, Waiting: l.Waiting, Limit: l.Limit, Wait: time.Duration(l.WaitMS) * time.Millisecond}
}

// greeting is what nodes tell each other when a connection opens.
type greeting struct {
	Node   directory.Node `cbor:"1,keyasint"`
	Status status         `cbor:"2,keyasint"`
}

// status says how recent a node's knowledge is.
type status struct {
	ConfigVersion    uint64 `cbor:"1,keyasint,omitempty"`
	DirectoryVersion uint64 `cbor:"2,keyasint,omitempty"`
}

// notice is news between nodes; each field may be absent.
type notice struct {
	// Rows are rows of the directory that the other node lacks.
	Rows []directory.Entry `cbor:"1,keyasint,omitempty"`
	// ConfigVersion and Config are the operators' configuration as the store holds it.
	ConfigVersion uint64 `cbor:"2,keyasint,omitempty"`
	Config        []byte `cbor:"3,keyasint,omitempty"`
	// Want asks for what the other node has beyond this status.
	Want *status `cbor:"4,keyasint,omitempty"`
	// Hold asks to keep a leaving that could not be written to the store; Holding confirms it.
	Hold    *leaving `cbor:"5,keyasint,omitempty"`
	Holding *leaving `cbor:"6,keyasint,omitempty"`
	// Left tells a node that has started of the leaving that is kept for it.
	Left *leaving `cbor:"7,keyasint,omitempty"`
	// Crashes are requests that were running when a backend server crashed.
	Crashes []quarantine.Report `cbor:"8,keyasint,omitempty"`
	// Node is what a node states of itself after a change.
	Node *directory.Node `cbor:"9,keyasint,omitempty"`
}

// leaving names the backend server beside a node that takes no new calls.
type leaving struct {
	Address string                `cbor:"1,keyasint"`
	Backend directory.Incarnation `cbor:"2,keyasint"`
}

// encode returns a message as CBOR. The messages hold only types that can be encoded.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// decode reads a message of another node.
func decode(b []byte, v any) error { return Err.Wrap(cbor.Unmarshal(b, v)) }
