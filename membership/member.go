package membership

import (
	"cmp"
	"strings"
)

// State is the state that a member announces for itself.
type State string

const (
	// StateStarting means that the backend server does not accept calls yet.
	StateStarting State = "starting"
	// StateServing means that the backend server accepts calls.
	StateServing State = "serving"
	// StateDraining means that the backend server accepts no new calls.
	StateDraining State = "draining"
	// StateLeft means that the node has shut down on purpose.
	StateLeft State = "left"
)

const (
	maxIDBytes    = 64
	maxFieldBytes = 128
	maxSlots      = 1 << 20
)

// Member is the announcement of a node.
type Member struct {
	// ID is random for each start of a process, so it identifies one incarnation.
	ID string `cbor:"1,keyasint" json:"id"`
	// Counter increases with each announcement of the member; the announcement with the highest counter wins.
	Counter          uint64 `cbor:"2,keyasint" json:"counter"`
	Service          string `cbor:"3,keyasint" json:"service"`
	Region           string `cbor:"4,keyasint" json:"region"`
	AvailabilityZone string `cbor:"5,keyasint" json:"availability-zone"`
	// Calls, Control and Callers are the addresses of the node's listeners for calls from other nodes, for control
	// connections and for callers.
	Calls   string `cbor:"6,keyasint" json:"calls"`
	Control string `cbor:"7,keyasint" json:"control"`
	Callers string `cbor:"8,keyasint" json:"callers"`
	Slots   int    `cbor:"9,keyasint" json:"slots"`
	State   State  `cbor:"10,keyasint" json:"state"`
	// Suspected is set by watchers that cannot reach the member; the member refutes the suspicion with a higher counter.
	Suspected bool `cbor:"11,keyasint,omitempty" json:"suspected,omitempty"`
	// Dead is set when a suspicion is not refuted in time, or when another member answers at the address of this one.
	Dead bool `cbor:"12,keyasint,omitempty" json:"dead,omitempty"`
	// Started is the start time of the process in milliseconds since 1970. Of two members with the same control address,
	// the one that started later replaces the other.
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

// deadOrLeft reports whether the announcement removes its member from the live members.
func (m Member) deadOrLeft() bool { return m.Dead || m.State == StateLeft }

func (m Member) suspicionRank() int {
	switch {
	case m.Dead:
		return 2
	case m.Suspected:
		return 1
	}
	return 0
}

// compareAnnouncements is a total order on the announcements of one id, so that a merge keeps the maximum. StateLeft is final;
// then the higher counter wins, then the higher suspicion rank. The other fields only break ties between announcements that
// should be equal.
func compareAnnouncements(a, b Member) int {
	left := func(m Member) int {
		if m.State == StateLeft {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(left(a), left(b)),
		cmp.Compare(a.Counter, b.Counter),
		cmp.Compare(a.suspicionRank(), b.suspicionRank()),
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
