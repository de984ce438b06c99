package rollout

import (
	"maps"
	"time"

	"lovagelane/kernel"
)

const (
	// ConfirmingPeers is the number of peers that must have a version before a node puts it in force.
	ConfirmingPeers = 2
	// ConfirmTimeout is the time after which a node puts a version in force without confirmation by peers.
	ConfirmTimeout = 2 * time.Second
	// MinStartPeers is the number of peers in the own region that must have reported a version before a node without a
	// configuration starts while it cannot read the store.
	MinStartPeers = 3
)

// Adopter decides when a node puts a configuration version in force; its zero value has no version. The caller serializes
// access to it.
type Adopter struct {
	inForce       uint64
	loadedVersion uint64
	loadedAt      time.Time
	// storeVersion is the version that is accepted in the store, set once the store has answered.
	storeVersion kernel.Option[uint64]
	peerVersions map[string]uint64
}

// InForce returns the version in force, or 0 for none.
func (a *Adopter) InForce() uint64 { return a.inForce }

// LoadedVersion returns the highest version whose text the node has, or 0 for none.
func (a *Adopter) LoadedVersion() uint64 { return a.loadedVersion }

// IsNewer reports whether a version is higher than the highest version whose text the node has.
func (a *Adopter) IsNewer(version uint64) bool { return version > a.loadedVersion }

// HighestKnown returns the highest version known from this node, the store and the current peers.
func (a *Adopter) HighestKnown() uint64 {
	highest := max(a.loadedVersion, a.storeVersion.Or(0))
	for _, version := range a.peerVersions {
		highest = max(highest, version)
	}
	return highest
}

// SetLoadedVersion records that the node has the text of a version, and reports whether the version is higher than before.
func (a *Adopter) SetLoadedVersion(now time.Time, version uint64) bool {
	if version <= a.loadedVersion {
		return false
	}
	a.loadedVersion, a.loadedAt = version, now
	return true
}

// SetStoreVersion records the version that is accepted in the store, 0 for none. It is lower than before if the store lost one.
func (a *Adopter) SetStoreVersion(version uint64) { a.storeVersion = kernel.Some(version) }

// SetPeerVersion records the highest version whose text a peer has, 0 for none.
func (a *Adopter) SetPeerVersion(id string, version uint64) {
	if a.peerVersions == nil {
		a.peerVersions = map[string]uint64{}
	}
	a.peerVersions[id] = max(a.peerVersions[id], version)
}

// RetainPeers drops the versions of peers that are no longer members, so that a version that only they had does not prevent a
// node from starting.
func (a *Adopter) RetainPeers(isMember func(id string) bool) {
	maps.DeleteFunc(a.peerVersions, func(id string, _ uint64) bool { return !isMember(id) })
}

// HasPeerVersion reports whether a peer has reported its version.
func (a *Adopter) HasPeerVersion(id string) bool {
	_, ok := a.peerVersions[id]
	return ok
}

// PeerVersion returns the highest version that a peer has reported, or 0 for none.
func (a *Adopter) PeerVersion(id string) uint64 { return a.peerVersions[id] }

// Adopt puts the loaded version in force if that is safe, and returns it. The region lists the other members of the own
// region; complete reports whether that list came from a peer or the store and not from this node alone.
func (a *Adopter) Adopt(now time.Time, region []string, complete bool) (uint64, bool) {
	if a.loadedVersion <= a.inForce {
		return 0, false
	}
	if a.inForce == 0 && !a.canAdoptFirst(region, complete) {
		return 0, false
	}
	if a.confirmations() < ConfirmingPeers && now.Sub(a.loadedAt) < ConfirmTimeout {
		return 0, false
	}
	a.inForce = a.loadedVersion
	return a.inForce, true
}

// canAdoptFirst reports whether a node without a configuration has enough answers to rule out that it starts below the version
// that was in force in its region. Peers without a configuration only count when every known peer has answered, because they
// do not know what was in force.
func (a *Adopter) canAdoptFirst(region []string, complete bool) bool {
	if a.loadedVersion < a.HighestKnown() {
		return false
	}
	if _, ok := a.storeVersion.Get(); ok {
		return true
	}
	answered, withVersion := 0, 0
	for _, id := range region {
		version, ok := a.peerVersions[id]
		if ok {
			answered++
		}
		if version > 0 {
			withVersion++
		}
	}
	return withVersion >= MinStartPeers || complete && answered == len(region)
}

func (a *Adopter) confirmations() int {
	n := 0
	for _, version := range a.peerVersions {
		if version >= a.loadedVersion {
			n++
		}
	}
	return n
}
