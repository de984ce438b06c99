package balance

import (
	"time"

	"lovagelane/call"
	"lovagelane/kernel"
)

// Place is where an instance stands.
type Place struct {
	Region           string
	AvailabilityZone string
}

// Candidate is a backend server that may take a call.
type Candidate struct {
	// ID is the member id of the node beside the backend server.
	ID    string
	Place Place
	Slots int
	// Suspected candidates are chosen only when no other one is left.
	Suspected bool
}

// Query asks for a backend server.
type Query struct {
	Priority call.Priority
	// Exclude holds the ids that this call already tried.
	Exclude kernel.Set[string]
}

// Choice is the answer to a Query: Chosen or None.
type Choice interface{ choice() }

// Chosen names the backend server that takes the call.
type Chosen struct {
	ID string
	// Probe marks a call that tests a backend server which was avoided.
	Probe bool
	// CrossRegion marks a call that leaves the region.
	CrossRegion bool
}

// None means that no backend server takes the call now.
type None struct {
	Reason call.Reason
	// Level is the least strict admission level of the backend servers that refuse the priority; it is set with ReasonShed.
	Level call.Priority
}

func (Chosen) choice() {}
func (None) choice()   {}

// Result is what was observed of a call that ended.
type Result struct {
	Latency time.Duration
	Outcome call.Outcome
	Reason  call.Reason
	// Answered is false when no answer came; Load and Level count only when it is true.
	Answered bool
	// DialFailed means that no connection could be made.
	DialFailed bool
	Load       call.Load
	Level      call.Priority
}

// Config states where the calling node stands and how it chooses.
type Config struct {
	// Policy is the name of a registered plug-in; empty means "least-loaded".
	Policy string
	Home   Place
}

// Chooser chooses among the backend servers of one service; the caller serializes access to it.
type Chooser struct {
	cfg    Config
	rand   *kernel.Rand
	policy Policy
	peers  map[string]*peer
	// tiers holds the candidates that are not suspected by distance: own availability zone, own region, other regions.
	tiers [tierCount][]*peer
	// all holds every candidate in the order of the last Update.
	all []*peer
	// good holds the latencies of good answers by tier, since answers from other regions take longer.
	good [tierCount]recent
	// every holds the latencies of good answers of all tiers.
	every recent
}

// Policy is a way to choose; the chooser serializes access to it.
type Policy interface {
	// Pick returns the choice for a query.
	Pick(c *Chooser, now time.Time, q Query) Choice
}

// Policies holds the policy plug-ins by name.
var Policies kernel.Registry[func() Policy]

// New returns a chooser without candidates, or an error for an unknown policy.
func New(cfg Config, r *kernel.Rand) (*Chooser, error) {
	name := cfg.Policy
	if name == "" {
		name = "least-loaded"
	}
	create, err := Policies.Lookup(name)
	if err != nil {
		return nil, err
	}
	return &Chooser{cfg: cfg, rand: r, policy: create(), peers: map[string]*peer{}}, nil
}

// Update replaces the candidates and keeps what is known of those that remain.
func (c *Chooser) Update(now time.Time, candidates []Candidate) {
	peers := make(map[string]*peer, len(candidates))
	c.all = c.all[:0]
	for i := range c.tiers {
		c.tiers[i] = c.tiers[i][:0]
	}
	for _, candidate := range candidates {
		if peers[candidate.ID] != nil {
			continue
		}
		p := c.peers[candidate.ID]
		if p == nil {
			p = newPeer()
		}
		p.candidate, p.tier = candidate, c.tier(candidate.Place)
		peers[candidate.ID] = p
		c.all = append(c.all, p)
		if !candidate.Suspected {
			c.tiers[p.tier] = append(c.tiers[p.tier], p)
		}
	}
	c.peers = peers
}

// Choose picks a backend server; report the call with Started and Finished.
func (c *Chooser) Choose(now time.Time, q Query) Choice { return c.policy.Pick(c, now, q) }

// Started counts a call that is sent to a candidate; token identifies it until Finished.
func (c *Chooser) Started(now time.Time, id string, token uint64) {
	if p := c.peers[id]; p != nil {
		p.started(now, token)
	}
}

// Finished records the end of a call.
func (c *Chooser) Finished(now time.Time, id string, token uint64, res Result) {
	p := c.peers[id]
	if p == nil {
		return
	}
	f := p.flights[token]
	if f == nil {
		return
	}
	good := res.Answered && res.Outcome == call.OutcomeRan && res.Reason == call.ReasonNone
	if good {
		c.good[p.tier].add(res.Latency)
		c.every.add(res.Latency)
	}
	p.finished(now, f, res, good, c.slow(p.tier))
}

// HedgeDelay returns how long to wait for an answer before a hedge is worth sending; zero means unknown.
func (c *Chooser) HedgeDelay() time.Duration { return c.every.p95 }

// Avoided returns the candidates that are avoided now.
func (c *Chooser) Avoided() []string {
	var ids []string
	for id, p := range c.peers {
		if p.avoided {
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *Chooser) tier(place Place) int {
	switch {
	case place.Region != c.cfg.Home.Region:
		return 2
	case place.AvailabilityZone != c.cfg.Home.AvailabilityZone:
		return 1
	default:
		return 0
	}
}

// slow returns the latency from which a call of a tier is too slow. The usual latency is that of the whole tier, because
// a slowed backend server would soon make its own latency the usual one.
func (c *Chooser) slow(tier int) time.Duration {
	p95 := c.good[tier].p95
	if p95 == 0 {
		return slowUnknown
	}
	return max(slowFactor*p95, slowMinimum)
}
