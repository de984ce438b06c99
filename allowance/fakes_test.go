package allowance_test

import (
	"fmt"
	"slices"
	"time"

	"lovagelane/allowance"
	"lovagelane/kernel"
)

const step = 5 * time.Millisecond

// network is a set of members with messages between them in virtual time.
type network struct {
	rand    *kernel.Rand
	now     time.Duration
	members []*member
	flight  []delivery
	limits  map[string]allowance.Limit
	// delay is the longest time that a message takes, and loss the share of messages that are lost.
	delay time.Duration
	loss  float64
	// side separates the members: messages pass only between those on the same side.
	side []int
	// used holds, by key, when tokens were used by requests that ran.
	used  map[string][]time.Duration
	later []givenBack
	// returnAfter is when tokens of requests that don't run are returned; 0 is at random.
	returnAfter               time.Duration
	granted, refused, unknown int
	messages                  int
}

type delivery struct {
	at       time.Duration
	from, to int
	message  allowance.Message
}

// givenBack is a token of a request that is refused later.
type givenBack struct {
	at      time.Duration
	member  int
	process *allowance.Member
	token   allowance.Token
}

type member struct {
	*allowance.Member
	name string
	up   bool
	// pausedUntil is when a paused member goes on, and suspended the time that its steady clock did not count.
	pausedUntil, suspended time.Duration
	stopsClock             bool
	wallStep               time.Duration
	starts                 uint64
	// startedAt is when the process started, and its steady clock with it.
	startedAt time.Duration
}

func newNetwork(seed uint64, members int, limits map[string]allowance.Limit) *network {
	n := &network{rand: kernel.NewRand(seed), now: time.Hour, delay: 30 * time.Millisecond, limits: limits, used: map[string][]time.Duration{}}
	for range members {
		n.add()
	}
	n.announce()
	return n
}

func (n *network) add() {
	i := len(n.members)
	n.members = append(n.members, &member{name: fmt.Sprint("node-", i)})
	n.side = append(n.side, 0)
	n.start(i)
}

func (n *network) start(i int) {
	m := n.members[i]
	m.starts++
	m.up, m.pausedUntil, m.startedAt, m.suspended = true, 0, n.now, 0
	m.Member = &allowance.Member{Address: m.name, Incarnation: uint64(i+1)<<32 + m.starts, Started: n.reading(i), Rejoined: m.starts > 1}
	n.inform(i)
}

// inform tells a member of the nodes and limits.
func (n *network) inform(i int) {
	var names []string
	for _, m := range n.members {
		names = append(names, m.name)
	}
	n.members[i].SetNodes(n.reading(i), names)
	n.members[i].SetLimits(n.reading(i), n.limits)
	n.flush(i)
}

func (n *network) announce() {
	for i, m := range n.members {
		if m.up {
			n.inform(i)
		}
	}
}

func (n *network) reading(i int) allowance.Reading {
	m := n.members[i]
	return allowance.Reading{Steady: n.now - m.startedAt - m.suspended, Wall: n.now + m.wallStep}
}

func (n *network) runs(i int) bool { return n.members[i].up && n.now >= n.members[i].pausedUntil }

func (n *network) pause(i int, d time.Duration, stopsClock bool) {
	n.members[i].pausedUntil, n.members[i].stopsClock = n.now+d, stopsClock
}

// kill ends the process of a member. With told set, the others learn of it.
func (n *network) kill(i int, told bool) {
	n.members[i].up = false
	for j := range n.members {
		if told && n.runs(j) {
			n.members[j].Lost(n.reading(j), n.members[i].name)
		}
	}
}

func (n *network) release(i int) {
	n.members[i].Release(n.reading(i))
	n.flush(i)
}

func (n *network) flush(i int) {
	for _, e := range n.members[i].Outbox() {
		n.post(i, e.To, e.Message)
	}
}

func (n *network) post(from int, to string, m allowance.Message) {
	n.messages++
	if n.rand.Float64() < n.loss {
		return
	}
	receiver := slices.IndexFunc(n.members, func(m *member) bool { return m.name == to })
	delay := time.Duration(n.rand.Float64() * float64(n.delay))
	n.flight = append(n.flight, delivery{n.now + delay, from, receiver, m})
}

// advance runs the network for a time; demand is called in each step.
func (n *network) advance(d time.Duration, demand func()) {
	for end := n.now + d; n.now < end; n.now += step {
		for i, m := range n.members {
			if n.now < m.pausedUntil && m.stopsClock {
				m.suspended += step
			}
			if n.runs(i) && (n.now/step+time.Duration(i))%10 == 0 {
				m.Tick(n.reading(i))
				n.flush(i)
			}
		}
		var later []delivery
		due := n.flight
		n.flight = nil
		for _, d := range due {
			switch {
			case d.at > n.now || n.members[d.to].up && !n.runs(d.to):
				later = append(later, d)
			case n.side[d.from] == n.side[d.to] && n.runs(d.to):
				n.deliver(d)
			}
		}
		n.flight = append(n.flight, later...)
		n.later = slices.DeleteFunc(n.later, func(g givenBack) bool {
			due := g.at <= n.now && n.runs(g.member)
			if due {
				g.process.Return(n.reading(g.member), g.token)
			}
			return due
		})
		if demand != nil {
			demand()
		}
	}
}

func (n *network) deliver(d delivery) {
	m, now := n.members[d.to], n.reading(d.to)
	if d.message.Ask != nil {
		if r, ok := m.HandleAsk(now, *d.message.Ask); ok {
			n.post(d.to, d.message.Ask.Node, allowance.Message{Reply: &r})
		}
	}
	if d.message.Reply != nil {
		m.HandleReply(now, *d.message.Reply)
	}
	n.flush(d.to)
}

// owner returns a member that another one asks, or -1.
func (n *network) owner() int {
	for _, m := range n.members {
		if owners := m.Owners(); len(owners) > 0 {
			return slices.IndexFunc(n.members, func(m *member) bool { return m.name == owners[0] })
		}
	}
	return -1
}

// request has a request with a key at a member. With returned set it does not run.
func (n *network) request(i int, key string, returned bool) {
	if !n.runs(i) {
		return
	}
	m := n.members[i]
	process := m.Member
	process.Take(n.reading(i), key, func(o allowance.Outcome) {
		switch o := o.(type) {
		case allowance.Granted:
			n.granted++
			if returned {
				after := n.returnAfter
				if after == 0 {
					after = time.Duration(n.rand.Float64() * float64(3*time.Second))
				}
				n.later = append(n.later, givenBack{n.now + after, i, process, o.Token})
			} else {
				n.used[key] = append(n.used[key], n.now)
			}
		case allowance.Refused:
			n.refused++
		case allowance.Unknown:
			n.unknown++
		}
	})
	n.flush(i)
}

// requests has many requests at a member within half a second.
func (n *network) requests(i, count int, returned bool) {
	for range count {
		n.request(i, "k", returned)
		n.advance(step, nil)
	}
}

// mostInWindow returns the largest number of requests of a key that ran in any window.
func (n *network) mostInWindow(key string, window time.Duration) int {
	most, first := 0, 0
	for last, at := range n.used[key] {
		for at-n.used[key][first] >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
