package allowance

import (
	"slices"
	"time"
)

// avoidance records that a node did not answer as an owner.
type avoidance struct {
	until time.Duration
	// span is how long it is avoided.
	span time.Duration
	// probedAt is when it was last probed.
	probedAt time.Duration
}

// groupState is what a node knows of the owner of one group.
type groupState struct {
	group Group
	order []string
	// owner is the node that is asked, and stamp the last one that it sent, at stampAt.
	owner   string
	stamp   Stamp
	stampAt time.Duration
	// lentTo is the node to which the own part is lent until lentUntil. The period changes whenever the part is lent again.
	lentTo          string
	lentIncarnation uint64
	lentUntil       time.Duration
	period          int
	// renewedAt is when the owner was last asked, and probedAt when the nodes before it were probed.
	renewedAt, probedAt time.Duration
	asks                map[uint64]sentAsk
	returns             map[returnKey]int
	// heard is when a node of the order last answered while another one is the owner.
	heard   string
	heardAt time.Duration
}

type sentAsk struct {
	to    string
	at    Reading
	wants map[string]int
}

type returnKey struct {
	key         string
	incarnation uint64
	epoch       uint64
	slot        int64
}

// lastLent returns when all parts that are lent now have come back.
func (m *Member) lastLent() (until time.Duration) {
	for _, s := range m.groups {
		until = max(until, s.lentUntil)
	}
	return until
}

// lendDelay returns how long after its start the node lends no part.
func (m *Member) lendDelay() time.Duration {
	if m.Rejoined {
		return rejoinDelay
	}
	return startDelay
}

// freeAt returns when the part may be used again after it was lent.
func (s *groupState) freeAt() time.Duration { return s.lentUntil + handoverDelay }

// lentElsewhere reports whether the part is still lent to the owner of a group of another division.
func (m *Member) lentElsewhere(now Reading, s *groupState) bool {
	for g, other := range m.groups {
		if g.Count != s.group.Count && now.Steady < other.freeAt() && other.lentTo != "" {
			return true
		}
	}
	return false
}

// ownerOf returns the node to ask: the one that holds the own part, and otherwise the first of the order that is not avoided.
func (m *Member) ownerOf(now Reading, s *groupState) string {
	best := ""
	for _, node := range s.order {
		if m.mayOwn(now, node) {
			best = node
			break
		}
	}
	next := best
	if s.lentTo != "" && now.Steady < s.lentUntil && m.mayOwn(now, s.lentTo) {
		next = s.lentTo
	}
	if next != s.owner {
		s.owner, s.stamp = next, Stamp{}
		clear(s.returns)
	}
	return next
}

// mayOwn reports whether a node may be asked.
func (m *Member) mayOwn(now Reading, node string) bool {
	if node == m.Address {
		return !m.owner.released
	}
	return now.Steady >= m.avoided[node].until
}

// ask sends an ask to the owner of a group, for a key or to renew the lease.
func (m *Member) ask(now Reading, s *groupState, key string) {
	to := m.ownerOf(now, s)
	if to == "" {
		return
	}
	a := &Ask{Node: m.Address, Group: s.group, Number: m.nextAsk()}
	sent := sentAsk{to: to, at: now}
	if key != "" {
		k := m.keys[key]
		w := Want{Key: key, Tokens: max(len(k.waiters)-k.asked, 0), Spare: k.spare(), Refused: k.refused}
		k.asked += w.Tokens
		k.asks++
		k.refused = 0
		a.Wants = []Want{w}
		sent.wants = map[string]int{key: w.Tokens}
	}
	a.Lent = m.lend(now, s, to)
	for r, count := range s.returns {
		a.Returns = append(a.Returns, Return{r.key, r.incarnation, r.epoch, min(count, maxTokens), r.slot})
	}
	clear(s.returns)
	s.renewedAt = now.Steady
	s.asks[a.Number] = sent
	m.send(now, to, Message{Ask: a})
}

func (m *Member) nextAsk() uint64 {
	m.lastAsk++
	return m.lastAsk
}

// lend lends the part to the owner and returns the stamp to state, or nil if the part is not lent now.
func (m *Member) lend(now Reading, s *groupState, to string) *Stamp {
	live := now.Steady < s.lentUntil
	switch {
	case s.stamp.Incarnation == 0 || s.owner != to || m.lentElsewhere(now, s):
		return nil
	case (!live || s.lentTo != to || s.lentIncarnation != s.stamp.Incarnation) && now.Steady < s.freeAt():
		return nil // The part is lent to another process, or the node has just started.
	case live && m.preferredAnswers(now, s, to):
		return nil // The part moves to a node that goes before this owner.
	}
	until := s.stampAt + lenderLease
	if until <= now.Steady {
		return nil // The next reply has a newer stamp.
	}
	s.lentTo, s.lentIncarnation = to, s.stamp.Incarnation
	s.lentUntil = max(s.lentUntil, until)
	s.period++
	stamp := s.stamp
	return &stamp
}

// preferredAnswers reports whether a node that goes before the owner in the order has answered lately.
func (m *Member) preferredAnswers(now Reading, s *groupState, to string) bool {
	for _, node := range s.order {
		if node == to {
			return false
		}
		if node == m.Address && m.mayOwn(now, node) {
			return true
		}
		if node == s.heard && now.Steady-s.heardAt < silenceTimeout+renewInterval && m.mayOwn(now, node) {
			return true
		}
	}
	return true
}

// unask removes the wanted tokens of an ask that has ended.
func (m *Member) unask(sent sentAsk) {
	for key, count := range sent.wants {
		if k := m.keys[key]; k != nil {
			k.asked, k.asks = max(k.asked-count, 0), max(k.asks-1, 0)
		}
	}
}

// avoidSilent avoids an owner that leaves an ask unanswered, and forgets its asks.
func (m *Member) avoidSilent(now Reading, s *groupState) {
	for number, sent := range s.asks {
		if now.Steady-sent.at.Steady < silenceTimeout {
			continue
		}
		delete(s.asks, number)
		m.unask(sent)
		if sent.to != m.Address {
			m.avoid(now, sent.to)
		}
	}
}

// probe asks the first node of the order whether it answers while another one holds the part. Nodes that are avoided for long are
// asked less often, so that nodes that were cut off from each other soon agree on an owner again.
func (m *Member) probe(now Reading, s *groupState) {
	for _, node := range s.order {
		if node == s.owner {
			return
		}
		if m.mayOwn(now, node) {
			m.sendProbe(now, s, node)
			return
		}
		if a, ok := m.avoided[node]; ok && now.Steady >= max(a.until-a.span+minAvoidTime, a.probedAt+avoidedProbeInterval) {
			a.probedAt = now.Steady
			m.avoided[node] = a
			m.sendProbe(now, s, node)
		}
	}
}

func (m *Member) sendProbe(now Reading, s *groupState, node string) {
	number := m.nextAsk()
	s.asks[number] = sentAsk{to: node, at: now}
	m.send(now, node, Message{Ask: &Ask{Node: m.Address, Group: s.group, Number: number}})
}

// Release gives all parts back that were lent to this node, which grants nothing any more, and tells their nodes. It is called when
// the process is about to end.
func (m *Member) Release(now Reading) {
	m.owner.released = true
	for g, p := range m.owner.pools {
		for node := range p.leases {
			if node != m.Address {
				m.outbox = append(m.outbox, Envelope{node, Message{Reply: &Reply{Node: m.Address, Group: g,
					Stamp: Stamp{Incarnation: m.Incarnation, At: now}, Unlent: true, Released: true}}})
			}
		}
	}
	m.owner.pools = nil
	m.Lost(now, m.Address)
}

// Lost takes back what was lent to a node whose process has ended or grants nothing any more.
func (m *Member) Lost(now Reading, node string) {
	for _, s := range m.groups {
		if s.lentTo == node && now.Steady < s.lentUntil {
			s.lentUntil = now.Steady
			s.period++
		}
	}
	m.avoid(now, node)
	for _, s := range m.groups {
		for number, sent := range s.asks {
			if sent.to == node {
				delete(s.asks, number)
				m.unask(sent)
			}
		}
	}
}

// avoid keeps a node from being asked for some time, which is longer if it happens again.
func (m *Member) avoid(now Reading, node string) {
	if now.Steady < m.avoided[node].until {
		return
	}
	if m.avoided == nil {
		m.avoided = map[string]avoidance{}
	}
	span := min(max(2*m.avoided[node].span, minAvoidTime), maxAvoidTime)
	m.avoided[node] = avoidance{until: now.Steady + span, span: span}
}

// Owners returns the nodes that this one asks, to which it needs connections.
func (m *Member) Owners() []string {
	var list []string
	for _, s := range m.groups {
		if s.owner != "" && s.owner != m.Address && !slices.Contains(list, s.owner) {
			list = append(list, s.owner)
		}
	}
	slices.Sort(list)
	return list
}
