package membership

// State is what a member says of itself.
type State string

const (
	// StateStarting means that the backend server does not take calls yet.
	StateStarting State = "starting"
	// StateServing means that the backend server takes calls.
	StateServing State = "serving"
	// StateDraining means that the backend server takes no new calls.
	StateDraining State = "draining"
	// StateLeft means that the node has stopped on purpose.
	StateLeft State = "left"
)

// Member is a node's announcement.
type Member struct {
	// ID is random for each start of a process, so it names one incarnation.
	ID string `cbor:"1,keyasint"`
	// Counter grows with each announcement of the member; the highest one wins.
	Counter          uint64 `cbor:"2,keyasint"`
	Service          string `cbor:"3,keyasint"`
	Region           string `cbor:"4,keyasint"`
	AvailabilityZone string `cbor:"5,keyasint"`
	Calls            string `cbor:"6,keyasint"`
	Control          string `cbor:"7,keyasint"`
	Callers          string `cbor:"8,keyasint"`
	Slots            int    `cbor:"9,keyasint"`
	State            State  `cbor:"10,keyasint"`
	// Suspected is set by watchers that cannot reach the member; the member refutes it with a higher counter.
	Suspected bool `cbor:"11,keyasint,omitempty"`
}
