package control

import (
	"slices"
	"strings"
	"time"

	"lovagelane/membership"
)

// PeerStatus describes a control connection.
type PeerStatus struct {
	ID           string    `json:"id"`
	Address      string    `json:"address"`
	Outgoing     bool      `json:"outgoing"`
	Since        time.Time `json:"since"`
	LastReceived time.Time `json:"heard"`
	// ConfigVersion is the configuration version that the peer has loaded.
	ConfigVersion uint64 `json:"version"`
}

// StoreStatus describes the last results of this node's store requests.
type StoreStatus struct {
	// ConfigRead is set once the store has answered which configuration is accepted, since this node started.
	ConfigRead bool      `json:"config-read"`
	LastAnswer time.Time `json:"last-answer"`
	Failures   uint64    `json:"failures"`
	Error      string    `json:"error,omitempty"`
}

// Status is a snapshot of a Control for the admin page.
type Status struct {
	Self    membership.Member   `json:"self"`
	Members []membership.Member `json:"members"`
	Peers   []PeerStatus        `json:"peers"`
	// Joined is set once a peer has answered a digest of this node.
	Joined bool `json:"joined"`
	// Version is the configuration version in force, or 0 if there is none.
	Version        uint64      `json:"version"`
	Hash           string      `json:"hash"`
	InForceSince   time.Time   `json:"in-force-since"`
	LoadedVersion  uint64      `json:"held"`
	HighestVersion uint64      `json:"heard"`
	Store          StoreStatus `json:"store"`
}

// Status returns a snapshot of the members, peers, configuration versions and the store status.
func (c *Control) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{
		Self:           c.view.Self(),
		Members:        slices.Clone(c.otherMembers()),
		Joined:         c.synced,
		Version:        c.inForce.version,
		Hash:           c.inForce.hash,
		InForceSince:   c.inForceAt,
		LoadedVersion:  c.adopter.LoadedVersion(),
		HighestVersion: c.adopter.HighestKnown(),
		Store:          c.storeStatus,
	}
	for p := range c.peers {
		s.Peers = append(s.Peers, PeerStatus{
			ID: p.id, Address: p.address, Outgoing: p.outgoing, Since: p.since,
			LastReceived: time.Unix(0, p.lastReceived.Load()), ConfigVersion: c.adopter.PeerVersion(p.id),
		})
	}
	slices.SortFunc(s.Peers, func(a, b PeerStatus) int { return strings.Compare(a.ID+a.Address, b.ID+b.Address) })
	return s
}

func (c *Control) setGauges() {
	c.mu.Lock()
	defer c.mu.Unlock()
	states := map[membership.State]int64{
		membership.StateStarting: 0, membership.StateServing: 0, membership.StateDraining: 0,
	}
	suspected := int64(0)
	for _, m := range c.otherMembers() {
		states[m.State]++
		if m.Suspected {
			suspected++
		}
	}
	for state, n := range states {
		c.metrics.Set("members", n, string(state))
	}
	c.metrics.Set("members-suspected", suspected)
	directions := map[bool]int64{}
	for p := range c.peers {
		directions[p.outgoing]++
	}
	c.metrics.Set("control-peers", directions[true], "outgoing")
	c.metrics.Set("control-peers", directions[false], "incoming")
	c.metrics.Set("config-version", int64(c.inForce.version))
	if c.inForce.version > 0 {
		c.metrics.Set("config-age-ms", c.now().Sub(c.inForceAt).Milliseconds())
	}
}
