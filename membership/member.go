package membership

import (
	"cmp"
	"strings"
)

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

const (
	maxIDBytes    = 64
	maxFieldBytes = 128
	maxSlots      = 1 << 20
)

// Member is a node's announcement.
type Member struct {
	// ID is random for each start of a process, so it names one incarnation.
	ID string `cbor:"1,keyasint" json:"id"`
	// Counter grows with each announcement of the member; the highest one wins.
	Counter          uint64 `cbor:"2,keyasint" json:"counter"`
	Service          string `cbor:"3,keyasint" json:"service"`
	Region           string `cbor:"4,keyasint" json:"region"`
	AvailabilityZone string `cbor:"5,keyasint" json:"availability-zone"`
	Calls            string `cbor:"6,keyasint" json:"calls"`
	Control          string `cbor:"7,keyasint" json:"control"`
	Callers          string `cbor:"8,keyasint" json:"callers"`
	Slots            int    `cbor:"9,keyasint" json:"slots"`
	State            State  `cbor:"10,keyasint" json:"state"`
	// Suspected is set by watchers that cannot reach the member; the member refutes it with a higher counter.
	Suspected bool `cbor:"11,keyasint,omitempty" json:"suspected,omitempty"`
	// Dead is set when a suspicion was not refuted in time, or when another member answers at the same address.
	Dead bool `cbor:"12,keyasint,omitempty" json:"dead,omitempty"`
	// Started is the start of the process in milliseconds since 1970; of two members at one address the later one counts.
	Started int64 `cbor:"13,keyasint,omitempty" json:"started,omitempty"`
}

// Valid reports whether all fields are within their bounds.
func (m Member) Valid() bool {
	if m.ID == "" || len(m.ID) > maxIDBytes || m.Slots < 0 || m.Slots > maxSlots {
		return false
	}
	for _, field := range []string{m.Service, m.Region, m.AvailabilityZone, m.Calls, m.Control, m.Callers} {
		if len(field) > maxFieldBytes {
			return false
		}
	}
	switch m.State {
	case StateStarting, StateServing, StateDraining, StateLeft:
		return true
	}
	return false
}

// gone reports whether the announcement takes its member out of the view.
func (m Member) gone() bool { return m.Dead || m.State == StateLeft }

func (m Member) doubt() int {
	switch {
	case m.Dead:
		return 2
	case m.Suspected:
		return 1
	}
	return 0
}

// compare orders announcements of one id totally, so that merging is taking the maximum: leaving is final, then the
// counter decides, then doubt. The other fields only break ties between announcements that should not differ.
func compare(a, b Member) int {
	left := func(m Member) int {
		if m.State == StateLeft {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(left(a), left(b)),
		cmp.Compare(a.Counter, b.Counter),
		cmp.Compare(a.doubt(), b.doubt()),
		cmp.Compare(a.Started, b.Started),
		strings.Compare(string(a.State), string(b.State)),
		strings.Compare(a.Control, b.Control),
		strings.Compare(a.Calls, b.Calls),
		strings.Compare(a.Callers, b.Callers),
		strings.Compare(a.Service, b.Service),
		strings.Compare(a.Region, b.Region),
		strings.Compare(a.AvailabilityZone, b.AvailabilityZone),
		cmp.Compare(a.Slots, b.Slots),
	)
}
