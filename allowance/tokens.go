package allowance

import (
	"slices"
	"time"
)

// Outcome is the result of Member.Take: Granted, Refused or Unknown.
type Outcome interface{ outcome() }

// Granted means that the token may be used. It is returned with Member.Return if it is not.
type Granted struct{ Token Token }

// Refused means that the allowance is used up.
type Refused struct {
	// RetryAfter is the time until a token is due.
	RetryAfter time.Duration
}

// Unknown means that no owner can be asked and that the node's own part is used up.
type Unknown struct {
	// RetryAfter is the time after which another owner can be asked.
	RetryAfter time.Duration
}

func (Granted) outcome() {}
func (Refused) outcome() {}
func (Unknown) outcome() {}

// Token is the right to run one request.
type Token struct {
	key   string
	owner string
	epoch uint64
	slot  int64
	// incarnation is that of the owner, or zero for a token that need not be returned.
	incarnation uint64
	// asked is when the node asked for the token.
	asked Reading
}

// keyState is what a node holds of one key.
type keyState struct {
	group   Group
	tokens  []lot
	waiters []waiter
	// asked is the number of tokens in asks that are not answered yet, and asks the number of these.
	asked, asks int
	// holdUntil is the time until which requests are refused, and dueAt when a token is due.
	holdUntil, dueAt time.Duration
	refused          int
	demand           float64
	demandAt         time.Duration
	// own is the bucket of the node's own part, which holds up to ownCapacity, and ownPeriod the period of groupState that it
	// belongs to.
	own         bucket
	ownCapacity float64
	ownPeriod   int
	// startTaken is the number of tokens that were taken within startDelay of the start of the node.
	startTaken float64
}

// lot is a number of equal tokens.
type lot struct {
	token Token
	count int
}

type waiter struct {
	decide func(Outcome)
	until  time.Duration
}

// Take asks for a token of a key. It calls decide once: before it returns if the node can decide itself, and otherwise from a later
// call of a method, at the latest from Tick after about 0.5 seconds. decide must not call the Member.
func (m *Member) Take(now Reading, key string, decide func(Outcome)) {
	l, limited := m.limits[key]
	if !limited {
		decide(Granted{})
		return
	}
	k := m.key(now, key)
	k.countDemand(now.Steady)
	if t, ok := m.takeHeld(now, k); ok {
		decide(Granted{t})
		m.askSpare(now, key, k)
		return
	}
	if now.Steady < k.holdUntil {
		k.refused++
		decide(Refused{max(k.dueAt, k.holdUntil) - now.Steady})
		return
	}
	s := m.groups[k.group]
	if m.takeOwn(now, key, k, s, l) || m.takeStart(now, key, k, l) {
		decide(Granted{Token{key: key, asked: now}})
		return
	}
	if m.waiting >= maxWaiters || s == nil || m.ownerOf(now, s) == "" {
		decide(Unknown{m.unknownRetryAfter(now)})
		return
	}
	k.waiters = append(k.waiters, waiter{decide, now.Steady + maxTakeWait})
	m.waiting++
	m.ask(now, s, key)
}

// Return returns the token of a request that did not run. It must be called once at most.
func (m *Member) Return(now Reading, t Token) {
	k := m.keys[t.key]
	switch {
	case k == nil || t.incarnation == 0:
	case now.longestSince(t.asked) < tokenValidity:
		k.tokens = append(k.tokens, lot{t, 1})
	default:
		m.giveBack(k, t, 1)
	}
}

// giveBack keeps tokens for the next ask to their owner.
func (m *Member) giveBack(k *keyState, t Token, count int) {
	s := m.groups[k.group]
	if s == nil || s.owner != t.owner {
		return
	}
	key := returnKey{t.key, t.incarnation, t.epoch, t.slot}
	if _, known := s.returns[key]; known || len(s.returns) < maxReturns {
		s.returns[key] += count
	}
}

func (m *Member) key(now Reading, key string) *keyState {
	k := m.keys[key]
	if k == nil {
		if m.keys == nil {
			m.keys = map[string]*keyState{}
		}
		k = &keyState{group: groupOf(key, groupCount(len(m.nodes))), demandAt: now.Steady, ownPeriod: -1}
		m.keys[key] = k
	}
	return k
}

func (k *keyState) countDemand(now time.Duration) {
	if elapsed := now - k.demandAt; elapsed > 0 {
		k.demand *= max(0, 1-elapsed.Seconds()/demandWindow.Seconds())
		k.demandAt = now
	}
	k.demand += 1 / demandWindow.Seconds()
}

// takeHeld takes a token that the node holds. It gives expired ones back.
func (m *Member) takeHeld(now Reading, k *keyState) (Token, bool) {
	m.expireTokens(now, k)
	if len(k.tokens) == 0 {
		return Token{}, false
	}
	first := &k.tokens[0]
	t := first.token
	if first.count--; first.count == 0 {
		k.tokens = k.tokens[1:]
	}
	return t, true
}

func (m *Member) expireTokens(now Reading, k *keyState) {
	k.tokens = slices.DeleteFunc(k.tokens, func(l lot) bool {
		expired := now.longestSince(l.token.asked) >= tokenValidity
		if expired {
			m.giveBack(k, l.token, l.count)
		}
		return expired
	})
}

// askSpare asks for tokens in advance when a busy node has few left.
func (m *Member) askSpare(now Reading, key string, k *keyState) {
	held := 0
	for _, l := range k.tokens {
		held += l.count
	}
	if spare := k.spare(); spare > 0 && held <= spare/2 && k.asks == 0 {
		if s := m.groups[k.group]; s != nil && m.ownerOf(now, s) != "" {
			m.ask(now, s, key)
		}
	}
}

func (k *keyState) spare() int { return int(k.demand * spareTime.Seconds()) }

// takeOwn takes a token of the node's own part, which must not be lent.
func (m *Member) takeOwn(now Reading, key string, k *keyState, s *groupState, l Limit) bool {
	if s == nil || len(m.nodes) == 0 || now.Steady < s.freeAt() || m.lentElsewhere(now, s) {
		return false
	}
	n := float64(max(len(m.nodes), 1))
	if k.ownPeriod != s.period {
		k.own, k.ownPeriod, k.ownCapacity = bucket{at: s.freeAt()}, s.period, l.Burst/n
		if k.ownCapacity < 1 {
			k.ownCapacity = 0
			if slices.Contains(rendezvousOrder(key, m.nodes, int(max(l.Burst, 1))), m.Address) {
				k.ownCapacity = 1
			}
		}
	}
	k.own.advance(now.Steady, l, 1/n, k.ownCapacity)
	if k.own.available(l, 1/n) < 1 {
		return false
	}
	k.own.take(now.Steady, 1)
	return true
}

// unknownRetryAfter returns when a request may come back that got no token. After a start of all nodes no owner has a part until their
// nodes lend it. The requests come back in the order in which they were refused, not all at once.
func (m *Member) unknownRetryAfter(now Reading) time.Duration {
	elapsed := now.Steady - m.Started.Steady
	lent := m.lendDelay() + handoverDelay + renewInterval
	if elapsed >= lent {
		return minUnknownRetryAfter
	}
	return max(minUnknownRetryAfter, lent-elapsed+elapsed/4)
}

// takeStart takes a token of what the node's part has yielded since its start, while the part is not lent yet. After a restart of all
// nodes there is no owner to ask. Parts below one token begin at a fraction that differs from node to node.
func (m *Member) takeStart(now Reading, key string, k *keyState, l Limit) bool {
	elapsed, n := now.longestSince(m.Started), float64(len(m.nodes))
	if n == 0 || l.Most == 0 || elapsed >= m.lendDelay() {
		return false // A limit without tolerance leaves no room for what the former process of the node has just used.
	}
	whole := min(1, 2*startShare*l.Most/n)
	fraction := float64(hash(key, m.Address)>>11) / (1 << 53)
	if k.startTaken+1 > l.Rate*elapsed.Seconds()/n+fraction*whole {
		return false
	}
	k.startTaken++
	return true
}

func (m *Member) useGrant(now Reading, r Reply, sent sentAsk, g Grant) {
	k := m.keys[g.Key]
	if k == nil {
		return
	}
	if g.Tokens > 0 {
		k.tokens = append(k.tokens, lot{Token{g.Key, r.Node, g.Epoch, g.Slot, r.Stamp.Incarnation, sent.at}, g.Tokens})
	}
	for len(k.waiters) > 0 {
		t, ok := m.takeHeld(now, k)
		if !ok {
			break
		}
		m.decide(k, Granted{t})
	}
	if wait := time.Duration(g.WaitMS) * time.Millisecond; wait > 0 && !r.Unlent {
		k.dueAt = now.Steady + wait
		k.holdUntil = now.Steady + min(wait, maxHold)
		k.refused += max(len(k.waiters)-max(sent.wants[g.Key]-g.Tokens, 0), 0)
		m.decideAll(k, Refused{wait})
	}
}

// decide tells the first waiter.
func (m *Member) decide(k *keyState, o Outcome) {
	w := k.waiters[0]
	k.waiters = k.waiters[1:]
	m.waiting--
	w.decide(o)
}

func (m *Member) decideAll(k *keyState, o Outcome) {
	for len(k.waiters) > 0 {
		m.decide(k, o)
	}
}

func (m *Member) tickKey(now Reading, key string, k *keyState) {
	m.expireTokens(now, k)
	for len(k.waiters) > 0 && now.Steady >= k.waiters[0].until {
		m.decide(k, Unknown{m.unknownRetryAfter(now)})
	}
	if s := m.groups[k.group]; s != nil && len(k.waiters) > k.asked {
		m.ask(now, s, key)
	}
}

// Scarce reports whether requests of a key are being refused.
func (m *Member) Scarce(now Reading, key string) bool {
	k := m.keys[key]
	return k != nil && now.Steady < max(k.holdUntil, k.dueAt)
}
