package allowance

import (
	"fmt"
	"slices"
	"time"
)

const (
	// tokenValidity is how long a token may be used after the node has asked for it.
	tokenValidity = 400 * time.Millisecond
	// lenderLease is how long a node takes its part as lent after it received the stamp with which it lent it.
	lenderLease = 1300 * time.Millisecond
	// handoverDelay is how long nobody uses a part that passes from one node to another. Both of them may use it at the rate, and the
	// first one also its burst, which together must not exceed Limit.Most.
	handoverDelay = 250 * time.Millisecond
	// renewInterval is the period of the asks that renew leases.
	renewInterval = 300 * time.Millisecond
	// silenceTimeout is how long an owner may leave an ask unanswered before another one is asked. The part is lent to it for
	// longer in any case. maxTakeWait is how long a request waits for a token.
	silenceTimeout = 700 * time.Millisecond
	maxTakeWait    = 500 * time.Millisecond
	// minAvoidTime and maxAvoidTime bound how long a silent owner is not asked again.
	minAvoidTime = 2 * time.Second
	maxAvoidTime = 8 * time.Second
	// avoidedProbeInterval is the period at which a node that is avoided for longer than minAvoidTime is probed.
	avoidedProbeInterval = time.Second
	// startDelay is how long a started node doesn't lend its part, so that the other nodes learn of it first. rejoinDelay is that of a
	// node that the others know: what its former process lent has to come back.
	startDelay  = 2 * time.Second
	rejoinDelay = time.Second
	// startShare bounds the whole tokens that all nodes have at their start, where their parts are below one, as a share of Limit.Most.
	startShare = 1 - toleranceUsed
	// maxHold is how long requests of a key are refused without asking, and minUnknownRetryAfter the least time after which a request
	// may come back that was refused because no owner answered.
	maxHold              = 250 * time.Millisecond
	minUnknownRetryAfter = 500 * time.Millisecond
	// spareTime is the time for which a busy node asks for tokens in advance.
	spareTime = 250 * time.Millisecond
	// demandWindow is the time constant of the mean rate of requests of a key.
	demandWindow = time.Second
	// candidatesPerGroup is the number of nodes in the order of a group that may become its owner.
	candidatesPerGroup = 16
	// maxWaiters bounds the requests that wait for a token, and maxReturns the returned tokens that are kept for the next ask.
	maxWaiters = 4096
	maxReturns = 256
)

// Member is the part of one node in the division. The caller serializes access. Set the exported fields before use; a Member
// without limits sends nothing and grants everything.
type Member struct {
	// Address names this node, as in SetNodes.
	Address string
	// Incarnation distinguishes this process from earlier ones of the same node. It is not zero.
	Incarnation uint64
	// Started is when the process has started.
	Started Reading
	// Rejoined is set if the other nodes knew this one before its start.
	Rejoined bool

	nodes   []string
	nodeSet map[string]struct{}
	limits  map[string]Limit
	keys    map[string]*keyState
	groups  map[Group]*groupState
	owner   owner
	outbox  []Envelope
	waiting int
	lastAsk uint64
	avoided map[string]avoidance
}

// SetNodes sets the addresses of all nodes, this one included.
func (m *Member) SetNodes(now Reading, nodes []string) {
	if slices.Equal(nodes, m.nodes) {
		return
	}
	m.nodes, m.nodeSet = slices.Clone(nodes), make(map[string]struct{}, len(nodes))
	for _, node := range nodes {
		m.nodeSet[node] = struct{}{}
	}
	for node := range m.avoided {
		if _, known := m.nodeSet[node]; !known {
			delete(m.avoided, node)
		}
	}
	m.owner.expire(now, m.nodeSet, m.limits)
	m.regroup(now)
}

// SetLimits sets the limits by key. Keys without an entry are not limited.
func (m *Member) SetLimits(now Reading, limits map[string]Limit) {
	old := m.limits
	m.limits = make(map[string]Limit, len(limits))
	for key, l := range limits {
		if l.Rate > 0 {
			m.limits[key] = l
		}
	}
	m.owner.setLimits(now, m.nodeSet, old, m.limits)
	for key, k := range m.keys {
		if _, ok := m.limits[key]; !ok {
			delete(m.keys, key)
			m.decideAll(k, Granted{})
		}
	}
	m.regroup(now)
}

// regroup assigns the keys to their groups after a change of nodes or limits.
func (m *Member) regroup(now Reading) {
	count := groupCount(len(m.nodes))
	wanted := map[Group]bool{}
	for key := range m.limits {
		g := groupOf(key, count)
		wanted[g] = true
		if k := m.keys[key]; k != nil && k.group != g {
			k.group, k.own, k.ownPeriod = g, bucket{at: now.Steady}, -1
		}
	}
	for g := range wanted {
		if m.groups == nil {
			m.groups = map[Group]*groupState{}
		}
		s := m.groups[g]
		if s == nil {
			// The part may still be lent to the owner of an old group that held some of the keys.
			s = &groupState{group: g, asks: map[uint64]sentAsk{}, returns: map[returnKey]int{},
				lentUntil: max(m.Started.Steady+m.lendDelay(), m.lastLent())}
			m.groups[g] = s
		}
		s.order = rendezvousOrder(fmt.Sprint(g.Index, "/", g.Count), m.nodes, candidatesPerGroup)
	}
	for g, s := range m.groups {
		if !wanted[g] && now.Steady >= s.lentUntil {
			delete(m.groups, g)
		}
	}
}

// send puts a message into the outbox, or handles it at once if this node is the receiver.
func (m *Member) send(now Reading, to string, msg Message) {
	if to != m.Address {
		m.outbox = append(m.outbox, Envelope{to, msg})
		return
	}
	switch {
	case msg.Ask != nil:
		if r, ok := m.HandleAsk(now, *msg.Ask); ok {
			m.HandleReply(now, r)
		}
	case msg.Reply != nil:
		m.HandleReply(now, *msg.Reply)
	}
}

// Outbox returns the messages to send and empties the outbox.
func (m *Member) Outbox() []Envelope {
	list := m.outbox
	m.outbox = nil
	return list
}

// HandleAsk answers an ask of another node. It reports false if there is no answer.
func (m *Member) HandleAsk(now Reading, a Ask) (Reply, bool) {
	if !a.valid() || len(m.limits) == 0 {
		return Reply{}, false
	}
	m.owner.incarnation = m.Incarnation
	r, ok := m.owner.handle(now, &a, m.nodeSet, m.limits)
	r.Node = m.Address
	return r, ok
}

// HandleReply uses the reply of an owner.
func (m *Member) HandleReply(now Reading, r Reply) {
	s := m.groups[r.Group]
	if !r.valid() || s == nil {
		return
	}
	if r.Released && s.owner == r.Node && s.stamp.Incarnation == r.Stamp.Incarnation {
		m.Lost(now, r.Node)
		return
	}
	sent, known := s.asks[r.Number]
	if !known || sent.to != r.Node {
		return
	}
	delete(s.asks, r.Number)
	if r.Released {
		m.unask(sent)
		m.Lost(now, r.Node)
		return
	}
	delete(m.avoided, r.Node)
	if r.Node != s.owner {
		s.heard, s.heardAt = r.Node, now.Steady
	} else {
		first := s.stamp.Incarnation == 0
		s.stamp, s.stampAt = r.Stamp, now.Steady
		if first {
			m.ask(now, s, "") // Lends the part.
		}
	}
	m.unask(sent)
	for _, g := range r.Grants {
		if _, wanted := sent.wants[g.Key]; wanted {
			m.useGrant(now, r, sent, g)
		}
	}
}

// Tick renews leases, gives up on silent owners and ends the wait of requests. It is called about every 50 ms.
func (m *Member) Tick(now Reading) {
	if len(m.limits) == 0 && len(m.groups) == 0 {
		return
	}
	m.owner.expire(now, m.nodeSet, m.limits)
	count := groupCount(len(m.nodes))
	for g, s := range m.groups {
		if g.Count != count || len(m.limits) == 0 {
			if now.Steady >= s.lentUntil {
				delete(m.groups, g)
			}
			continue
		}
		m.avoidSilent(now, s)
		if now.Steady-s.renewedAt >= renewInterval {
			m.ask(now, s, "")
		}
		// Requests ask the owner all the time; the nodes before it are probed all the same.
		if now.Steady-s.probedAt >= renewInterval {
			s.probedAt = now.Steady
			m.probe(now, s)
		}
	}
	for key, k := range m.keys {
		m.tickKey(now, key, k)
	}
}
