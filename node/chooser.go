package node

import (
	"sync"
	"time"

	"lovagelane/balance"
	"lovagelane/membership"
	"lovagelane/retry"
)

// chooser guards the load balancer of one service for concurrent use.
type chooser struct {
	mu       sync.Mutex
	balancer *balance.Chooser
	hedges   retry.HedgeBudget
	token    uint64
}

func (c *chooser) choose(now time.Time, q balance.Query) (balance.Choice, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	choice := c.balancer.Choose(now, q)
	chosen, ok := choice.(balance.Chosen)
	if !ok {
		return choice, 0
	}
	c.token++
	c.balancer.Started(now, chosen.ID, c.token)
	return choice, c.token
}

func (c *chooser) recordResult(now time.Time, id string, token uint64, r balance.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.Finished(now, id, token, r)
}

func (c *chooser) hedgeDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balancer.HedgeDelay()
}

func (c *chooser) countCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hedges.CountCall()
}

func (c *chooser) takeHedge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hedges.Withdraw()
}

// choosers holds a chooser for each service that this node calls.
type choosers struct {
	mu        sync.Mutex
	policy    string
	home      balance.Place
	byService map[string]*chooser
}

func (t *choosers) setHome(home balance.Place) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.home != home {
		t.home = home
		// A new home changes the tier of every candidate, so the learned state of the candidates is discarded.
		t.byService = nil
	}
}

// get returns the chooser of a service and creates it on first use.
func (t *choosers) get(n *Node, service string) (*chooser, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.byService[service]; ok {
		return c, nil
	}
	balancer, err := balance.New(balance.Config{Policy: t.policy, Home: t.home}, n.rand)
	if err != nil {
		return nil, err
	}
	if t.byService == nil {
		t.byService = map[string]*chooser{}
	}
	c := &chooser{balancer: balancer}
	t.byService[service] = c
	c.balancer.Update(n.clock.Now(), n.candidates(service, *n.members.Load()))
	return c, nil
}

// update passes the candidates of a new membership view to every chooser.
func (t *choosers) update(n *Node, members map[string]membership.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, c := range t.byService {
		candidates := n.candidates(service, members)
		c.mu.Lock()
		c.balancer.Update(n.clock.Now(), candidates)
		c.mu.Unlock()
	}
}

// ejected returns the backend servers that are currently ejected, by service.
func (t *choosers) ejected() map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ejected := map[string][]string{}
	for service, c := range t.byService {
		c.mu.Lock()
		if ids := c.balancer.Ejected(); len(ids) > 0 {
			ejected[service] = ids
		}
		c.mu.Unlock()
	}
	return ejected
}

// candidates lists the members that serve a service, including the own node.
func (n *Node) candidates(service string, members map[string]membership.Member) []balance.Candidate {
	var list []balance.Candidate
	for _, m := range members {
		if m.Service == service && m.State == membership.StateServing {
			list = append(list, n.candidate(m))
		}
	}
	if n.self.Service == service && n.backend.isUp() && !n.draining.Load() {
		self := n.self
		// The own member is created before the configuration sets the slots.
		self.Slots = n.backend.slots()
		list = append(list, n.candidate(self))
	}
	return list
}

func (n *Node) candidate(m membership.Member) balance.Candidate {
	region := m.Region
	if cfg := n.config.Load(); cfg != nil {
		region, _ = cfg.Region(m.AvailabilityZone)
	}
	return balance.Candidate{ID: m.ID, Slots: m.Slots, Suspected: m.Suspected,
		Place: balance.Place{Region: region, AvailabilityZone: m.AvailabilityZone}}
}
