package rollout

import (
	"maps"
	"time"

	"lovagelane/kernel"
)

const (
	// ConfirmingPeers is the number of peers that must hold a version before a node puts it in force.
	ConfirmingPeers = 2
	// ConfirmTimeout is the time after which a node puts a version in force without confirmation.
	ConfirmTimeout = 2 * time.Second
	// StartPeers is the number of answers that a node without configuration needs when it cannot read the store.
	StartPeers = 3
)

// Adopter decides when a node puts a configuration version in force; its zero value has none. The caller serializes
// access to it.
type Adopter struct {
	inForce uint64
	held    uint64
	since   time.Time
	// store is the version that the store named, once it has answered.
	store kernel.Option[uint64]
	peers map[string]uint64
}

// InForce returns the version in force, or 0.
func (a *Adopter) InForce() uint64 { return a.inForce }

// Held returns the highest version whose text the node holds, or 0.
func (a *Adopter) Held() uint64 { return a.held }

// Wanted reports whether a version is higher than what the node holds.
func (a *Adopter) Wanted(version uint64) bool { return version > a.held }

// Heard returns the highest version that the store or a present peer named.
func (a *Adopter) Heard() uint64 {
	heard := max(a.held, a.store.Or(0))
	for _, version := range a.peers {
		heard = max(heard, version)
	}
	return heard
}

// Hold records that the node holds the text of a version and reports whether it is a higher one.
func (a *Adopter) Hold(now time.Time, version uint64) bool {
	if version <= a.held {
		return false
	}
	a.held, a.since = version, now
	return true
}

// StoreSays records the version that the store names as accepted, 0 for none.
func (a *Adopter) StoreSays(version uint64) {
	a.store = kernel.Some(max(version, a.store.Or(0)))
}

// PeerSays records the version that a peer holds, 0 for none.
func (a *Adopter) PeerSays(id string, version uint64) {
	if a.peers == nil {
		a.peers = map[string]uint64{}
	}
	a.peers[id] = max(a.peers[id], version)
}

// Forget drops what former members said, so that a version whose only holders are gone does not keep a node from starting.
func (a *Adopter) Forget(isMember func(id string) bool) {
	maps.DeleteFunc(a.peers, func(id string, _ uint64) bool { return !isMember(id) })
}

// Answered reports whether a peer has said what it holds.
func (a *Adopter) Answered(id string) bool {
	_, ok := a.peers[id]
	return ok
}

// PeerHolds returns the version that a peer holds as far as it has said.
func (a *Adopter) PeerHolds(id string) uint64 { return a.peers[id] }

// Adopt puts the held version in force when that is safe and returns it. Region is the set of other members of the own
// region, and complete says whether it came from a peer or the store rather than from this node alone.
func (a *Adopter) Adopt(now time.Time, region []string, complete bool) (uint64, bool) {
	if a.held <= a.inForce {
		return 0, false
	}
	if a.inForce == 0 && !a.mayStart(region, complete) {
		return 0, false
	}
	if a.confirmations() < ConfirmingPeers && now.Sub(a.since) < ConfirmTimeout {
		return 0, false
	}
	a.inForce = a.held
	return a.inForce, true
}

// mayStart reports whether an empty node has asked enough others not to start below the version that its region had. Peers
// that are empty too only count when every known peer has answered, because they cannot tell what was in force.
func (a *Adopter) mayStart(region []string, complete bool) bool {
	if a.held < a.Heard() {
		return false
	}
	if _, ok := a.store.Get(); ok {
		return true
	}
	answered, holding := 0, 0
	for _, id := range region {
		version, ok := a.peers[id]
		if ok {
			answered++
		}
		if version > 0 {
			holding++
		}
	}
	return holding >= StartPeers || complete && answered == len(region)
}

func (a *Adopter) confirmations() int {
	n := 0
	for _, version := range a.peers {
		if version >= a.held {
			n++
		}
	}
	return n
}
