package mesh

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"lovagelane/allowance"
	"lovagelane/chain"
	"lovagelane/directory"
	"lovagelane/kernel"
	"lovagelane/memory"
	"lovagelane/quarantine"
	"lovagelane/slots"
)

// callMessage is a call that is sent to the node beside a backend server.
type callMessage struct {
	Service    string `cbor:"1,keyasint"`
	Route      string `cbor:"2,keyasint"`
	RequestID  string `cbor:"3,keyasint"`
	Caller     string `cbor:"4,keyasint"`
	Rank       int    `cbor:"5,keyasint,omitempty"`
	Idempotent bool   `cbor:"7,keyasint,omitempty"`
	// RemainingMS is the time until the deadline, and WaitMS the longest time that the call may be queued.
	RemainingMS int64  `cbor:"8,keyasint"`
	WaitMS      int64  `cbor:"9,keyasint,omitempty"`
	Digest      uint64 `cbor:"10,keyasint"`
	// Head is the encoded request line and headers.
	Head []byte `cbor:"11,keyasint"`
	Body []byte `cbor:"12,keyasint,omitempty"`
	// Account is the name of the client account, or empty if there is none.
	Account string `cbor:"13,keyasint,omitempty"`
	// Repeated is the probability, from 0 to 1, that the run is a repeat or was called by one.
	Repeated float64 `cbor:"14,keyasint,omitempty"`
}

// outcome is the result of a call at the node that received it.
type outcome uint8

const (
	// outcomeAnswered means that the backend server answered.
	outcomeAnswered outcome = iota
	// outcomeBusy means that no slot became free in time or that the call was cancelled before it was sent to the backend server.
	outcomeBusy
	// outcomeUnusable means that the node has no backend server that takes calls. The call was not sent to it.
	outcomeUnusable
	// outcomeRejected means that the backend server stated that it did not run the call.
	outcomeRejected
	// outcomeLost means that there is no valid answer and that the call may have run.
	outcomeLost
	// outcomeExpired means that the deadline passed before the call was sent to the backend server.
	outcomeExpired
	// outcomeQuarantined means that the request is known to crash backend servers and was not sent to this one.
	outcomeQuarantined
	// outcomeCapped means that the route has reached its concurrency cap at this node. The cap falls when services further
	// down the call graph are overloaded. The call was not sent to the backend server.
	outcomeCapped
	// outcomeUnreadable means that the head of the call can't be parsed. The call was not sent to the backend server.
	outcomeUnreadable
)

// String returns the name of the outcome in logs and metrics.
func (o outcome) String() string {
	return [...]string{"answered", "busy", "unusable", "rejected", "lost", "expired", "quarantined", "capped", "unreadable"}[o]
}

// answerMessage is the reply to a callMessage.
type answerMessage struct {
	Outcome outcome `cbor:"1,keyasint,omitempty"`
	Status  int     `cbor:"2,keyasint,omitempty"`
	Head    []byte  `cbor:"3,keyasint,omitempty"`
	Body    []byte  `cbor:"4,keyasint,omitempty"`
	// RanMicros is the run time at the backend server, and WaitedMicros the time in the queue before it.
	RanMicros    int64      `cbor:"5,keyasint,omitempty"`
	WaitedMicros int64      `cbor:"6,keyasint,omitempty"`
	Load         loadReport `cbor:"7,keyasint"`
	// Reason is the cause of the outcome, for logs and metrics.
	Reason string `cbor:"8,keyasint,omitempty"`
	// Crashed is set when the backend server crashed while it ran the call.
	Crashed bool `cbor:"9,keyasint,omitempty"`
	// OverShare is set if no slot became free in time because the account of the call has used up its share of them.
	OverShare bool `cbor:"14,keyasint,omitempty"`
	// Ends is the share of the recent runs of the call's route at the backend server that ended badly, and FromOutside reports
	// whether outside callers call the route.
	Ends        chain.Report `cbor:"10,keyasint,omitempty"`
	FromOutside bool         `cbor:"11,keyasint,omitempty"`
	// nodeUnreachable is set by the sending node when the connection to the other node was lost before its answer.
	nodeUnreachable bool
	// repeatTaken is set by the sending node when the repeat of a call without answer was taken from the retry budget.
	repeatTaken bool
	// reserved is the memory reserved for the body, if the own backend server sent it.
	reserved *memory.Reservation
}

// maxMillis bounds the times in messages, so that they can't overflow.
const maxMillis = int64(time.Hour / time.Millisecond)

// valid reports whether the fields are within their bounds.
func (m callMessage) valid() bool {
	return inRange(m.RemainingMS, maxMillis) && inRange(m.WaitMS, maxMillis) && m.Repeated >= 0 && m.Repeated <= 1
}

// valid reports whether the outcome is known and the other fields are within their bounds.
func (a answerMessage) valid() bool {
	l := a.Load
	return a.Outcome <= outcomeUnreadable && a.Ends <= chain.MaxReport &&
		inRange(a.RanMicros, 1000*maxMillis) && inRange(a.WaitedMicros, 1000*maxMillis) &&
		inRange(l.WaitMS, maxMillis) && inRange(int64(l.Running), maxReportedCalls) && inRange(int64(l.Waiting), maxReportedCalls) &&
		inRange(int64(l.Limit), maxReportedCalls) && inRange(l.RunMicros, 1000*maxMillis)
}

// maxReportedCalls bounds the counts of calls in a load report.
const maxReportedCalls = 1 << 20

func inRange(v, limit int64) bool { return v >= 0 && v <= limit }

// loadReport is the state of the queue of a backend server.
type loadReport struct {
	Running int   `cbor:"1,keyasint,omitempty"`
	Waiting int   `cbor:"2,keyasint,omitempty"`
	Limit   int   `cbor:"3,keyasint,omitempty"`
	WaitMS  int64 `cbor:"4,keyasint,omitempty"`
	// RunMicros is how long a call of the route that the report answers runs now, or 0 if that isn't learned.
	RunMicros int64 `cbor:"5,keyasint,omitempty"`
}

func newLoadReport(l slots.Load) loadReport {
	return loadReport{Running: l.Running, Waiting: l.Waiting, Limit: l.Limit, WaitMS: min(l.Wait.Milliseconds(), maxMillis)}
}

func (l loadReport) slots() slots.Load {
	return slots.Load{Running: l.Running, Waiting: l.Waiting, Limit: l.Limit, Wait: time.Duration(l.WaitMS) * time.Millisecond}
}

// helloMessage is what each node sends when a connection opens.
type helloMessage struct {
	Node     directory.Node `cbor:"1,keyasint"`
	Versions versions       `cbor:"2,keyasint"`
}

// versions holds the versions of a node's replicated data. Nodes compare them to detect who is behind.
type versions struct {
	ConfigVersion    uint64 `cbor:"1,keyasint,omitempty"`
	DirectoryVersion uint64 `cbor:"2,keyasint,omitempty"`
	// CrashesSum is the sum of the crash records. Sums have no order: nodes whose sums differ pull from each other.
	CrashesSum uint64 `cbor:"3,keyasint,omitempty"`
	// DirectoryEra is the era of the store that DirectoryVersion belongs to.
	DirectoryEra uint64 `cbor:"4,keyasint,omitempty"`
}

func (v versions) directory() directory.Position {
	return directory.Position{Era: v.DirectoryEra, Version: v.DirectoryVersion}
}

// gossipMessage carries state between nodes. All fields are optional.
type gossipMessage struct {
	// Rows are directory rows that the receiver lacks.
	Rows []directory.Entry `cbor:"1,keyasint,omitempty"`
	// ConfigVersion and Config are the version and the encoded text of the operators' configuration. A version without a text says
	// that the sender has it.
	ConfigVersion uint64 `cbor:"2,keyasint,omitempty"`
	Config        []byte `cbor:"3,keyasint,omitempty"`
	// PullSince requests all state that is newer than these versions.
	PullSince *versions `cbor:"4,keyasint,omitempty"`
	// KeepDeparture asks the receiver to keep a departure that may not be in the store yet; DepartureKept confirms it.
	KeepDeparture *directory.Departure `cbor:"5,keyasint,omitempty"`
	DepartureKept *directory.Departure `cbor:"6,keyasint,omitempty"`
	// RecordedDeparture returns a kept departure to its node after a restart of that node.
	RecordedDeparture *directory.Departure `cbor:"7,keyasint,omitempty"`
	// Crashes are reports on requests that were in flight when a backend server crashed.
	Crashes []quarantine.Report `cbor:"8,keyasint,omitempty"`
	// Node is the current directory record of the sender, sent after a change.
	Node *directory.Node `cbor:"9,keyasint,omitempty"`
	// DirectoryVersion is the directory version of the sender, in the era DirectoryEra, which Rows brings the receiver up to.
	DirectoryVersion uint64 `cbor:"10,keyasint,omitempty"`
	DirectoryEra     uint64 `cbor:"15,keyasint,omitempty"`
	// Allowance asks for or grants tokens of quotas.
	Allowance *allowance.Message `cbor:"11,keyasint,omitempty"`
	// Departures are the departures that the sender keeps and that may not be in the store yet. They are sent when a connection opens.
	Departures []directory.Departure `cbor:"12,keyasint,omitempty"`
	// PullCrashes asks for all crash records of the receiver, which CrashTable returns.
	PullCrashes bool        `cbor:"13,keyasint,omitempty"`
	CrashTable  *crashTable `cbor:"14,keyasint,omitempty"`
}

// encode returns a message as CBOR. It panics on an error, since all message types can be encoded.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// decode parses a message of another node.
func decode(b []byte, v any) error {
	return Err.Wrap(kernel.Protect(func() error { return cbor.Unmarshal(b, v) }))
}
