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

// avoidance records that a node did not answer as an owner.
type avoidance struct {
	until time.Duration
	// span is how long it is avoided.
	span time.Duration
	// probedAt is when it was last probed.
	probedAt time.Duration
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

// lastLent returns when all parts that are lent now have come back.
func (m *Member) lastLent() (until time.Duration) {
	for _, s := range m.groups {
		until = max(until, s.lentUntil)
	}
	return until
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

// lendDelay returns how long after its start the node lends no part.
func (m *Member) lendDelay() time.Duration {
	if m.Rejoined {
		return rejoinDelay
	}
	return startDelay
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

// unask removes the wanted tokens of an ask that has ended.
func (m *Member) unask(sent sentAsk) {
	for key, count := range sent.wants {
		if k := m.keys[key]; k != nil {
			k.asked, k.asks = max(k.asked-count, 0), max(k.asks-1, 0)
		}
	}
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

func (m *Member) tickKey(now Reading, key string, k *keyState) {
	m.expireTokens(now, k)
	for len(k.waiters) > 0 && now.Steady >= k.waiters[0].until {
		m.decide(k, Unknown{m.unknownRetryAfter(now)})
	}
	if s := m.groups[k.group]; s != nil && len(k.waiters) > k.asked {
		m.ask(now, s, key)
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

// Scarce reports whether requests of a key are being refused.
func (m *Member) Scarce(now Reading, key string) bool {
	k := m.keys[key]
	return k != nil && now.Steady < max(k.holdUntil, k.dueAt)
}
