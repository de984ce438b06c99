package control

import (
	"slices"
	"strings"
	"time"

	"lovagelane/membership"
)

// PeerStatus describes one control connection.
type PeerStatus struct {
	ID       string    `json:"id"`
	Address  string    `json:"address"`
	Outgoing bool      `json:"outgoing"`
	Since    time.Time `json:"since"`
	Heard    time.Time `json:"heard"`
	// Version is the configuration that the peer holds.
	Version uint64 `json:"version"`
}

// StoreStatus describes what this node last got from the store.
type StoreStatus struct {
	// ConfigRead means that the store has answered which configuration is accepted since this node started.
	ConfigRead bool      `json:"config-read"`
	LastAnswer time.Time `json:"last-answer"`
	Failures   uint64    `json:"failures"`
	Error      string    `json:"error,omitempty"`
}

// Status is a snapshot for the admin page.
type Status struct {
	Self    membership.Member   `json:"self"`
	Members []membership.Member `json:"members"`
	Peers   []PeerStatus        `json:"peers"`
	// Joined means that a peer has compared its view with this node's.
	Joined bool `json:"joined"`
	// Version is the configuration in force and InForceSince the time since when; 0 means none.
	Version      uint64      `json:"version"`
	Hash         string      `json:"hash"`
	InForceSince time.Time   `json:"in-force-since"`
	Held         uint64      `json:"held"`
	Heard        uint64      `json:"heard"`
	Store        StoreStatus `json:"store"`
}

// Status returns a snapshot of members, peers, versions and the state of the store.
func (c *Control) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Status{
		Self:         c.view.Self(),
		Members:      slices.Clone(c.others()),
		Joined:       c.synced,
		Version:      c.inForce.version,
		Hash:         c.inForce.hash,
		InForceSince: c.inForceAt,
		Held:         c.adopter.Held(),
		Heard:        c.adopter.Heard(),
		Store:        c.storeState,
	}
	for p := range c.peers {
		s.Peers = append(s.Peers, PeerStatus{
			ID: p.id, Address: p.address, Outgoing: p.outgoing, Since: p.since,
			Heard: time.Unix(0, p.heard.Load()), Version: c.adopter.PeerHolds(p.id),
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
	for _, m := range c.others() {
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
