package balance

import (
	"time"

	"lovagelane/call"
	"lovagelane/kernel"
)

// Place is the region and availability zone of an instance.
type Place struct {
	Region           string
	AvailabilityZone string
}

// Candidate is a backend server that may receive calls.
type Candidate struct {
	// ID is the member ID of the node beside the backend server.
	ID    string
	Place Place
	Slots int
	// Suspected marks a candidate under suspicion of failure, which is chosen only when no other one is left.
	Suspected bool
}

// Query describes a call that needs a backend server.
type Query struct {
	Priority call.Priority
	// Exclude holds the IDs of the candidates that the call has already tried.
	Exclude kernel.Set[string]
}

// Choice is the result of a Query: Chosen or None.
type Choice interface{ choice() }

// Chosen names the backend server to send the call to.
type Chosen struct {
	ID string
	// Probe marks a call that tests whether an ejected backend server has recovered.
	Probe bool
	// CrossRegion marks a call that leaves the region.
	CrossRegion bool
}

// None means that no backend server accepts the call now.
type None struct {
	Reason call.Reason
	// Level is the least strict admission level among the backend servers that refuse the priority. It is set only with
	// ReasonShed.
	Level call.Priority
}

func (Chosen) choice() {}
func (None) choice()   {}

// Result is the observed result of a finished call.
type Result struct {
	Latency time.Duration
	Outcome call.Outcome
	Reason  call.Reason
	// Answered is false when no answer arrived. Load and Level are valid only when it is true.
	Answered bool
	// DialFailed means that the connection could not be established.
	DialFailed bool
	Load       call.Load
	Level      call.Priority
}

// Config holds the policy and the place of the calling node.
type Config struct {
	// Policy is the name of a registered policy; empty means "least-loaded".
	Policy string
	Home   Place
}

// Chooser chooses among the backend servers of one service. The caller serializes access to it.
type Chooser struct {
	cfg    Config
	rand   *kernel.Rand
	policy Policy
	peers  map[string]*peer
	// tiers holds the candidates that are not suspected, by distance: own availability zone, own region, other regions.
	tiers [tierCount][]*peer
	// all holds all candidates in the order of the last Update.
	all []*peer
	// latenciesByTier holds the latencies of good answers by tier, because answers from other regions take longer.
	latenciesByTier [tierCount]latencyWindow
	// latencies holds the latencies of good answers of all tiers.
	latencies latencyWindow
}

// Policy is a load balancing algorithm. The caller of the Chooser serializes access to it.
type Policy interface {
	// Pick returns the choice for a query.
	Pick(c *Chooser, now time.Time, q Query) Choice
}

// Policies is the registry of policies by name.
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

// Update replaces the candidates and keeps the observations of those that remain.
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

// Choose picks a backend server. The caller reports the call with Started and Finished.
func (c *Chooser) Choose(now time.Time, q Query) Choice { return c.policy.Pick(c, now, q) }

// Started records that a call was sent to a candidate. The token identifies the call until Finished.
func (c *Chooser) Started(now time.Time, id string, token uint64) {
	if p := c.peers[id]; p != nil {
		p.start(now, token)
	}
}

// Finished records the result of a call.
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
		c.latenciesByTier[p.tier].add(res.Latency)
		c.latencies.add(res.Latency)
	}
	p.finish(now, f, res, good, c.slowLatency(p.tier))
}

// HedgeDelay returns how long to wait for an answer before sending a hedged request; zero means unknown.
func (c *Chooser) HedgeDelay() time.Duration { return c.latencies.p95 }

// Ejected returns the IDs of the candidates that are currently ejected.
func (c *Chooser) Ejected() []string {
	var ids []string
	for id, p := range c.peers {
		if p.ejected {
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

// slowLatency returns the latency above which a call of a tier is too slow. The reference is the p95 of the whole tier,
// because a slowed backend server would soon raise a p95 of its own.
func (c *Chooser) slowLatency(tier int) time.Duration {
	p95 := c.latenciesByTier[tier].p95
	if p95 == 0 {
		return defaultSlowLatency
	}
	return max(slowFactor*p95, minSlowLatency)
}
