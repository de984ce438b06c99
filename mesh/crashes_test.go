package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/event"
	"lovagelane/kernel"
)

// crashPeers are nodes that exchange greetings and statuses without a network.
type crashPeers struct {
	clock *kernel.ManualClock
	// tables counts the snapshots that were sent.
	tables int
}

func (p *crashPeers) node(t *testing.T) *Node {
	return &Node{clock: p.clock, log: event.New(t.Output(), p.clock), group: kernel.NewGroup(t.Context()),
		crashPulls: kernel.NewLRU[uint64, crashPull](maxCrashPulls)}
}

// deliver lets a node handle a message of another one, and all notices that follow from it.
func (p *crashPeers) deliver(to, from *Node, handle func(reply func([]byte))) {
	handle(func(notice []byte) {
		var m gossipMessage
		if decode(notice, &m) == nil && m.CrashTable != nil {
			p.tables++
		}
		p.deliver(from, to, func(reply func([]byte)) { from.HandleNotice(notice, reply) })
	})
}

func (p *crashPeers) greet(a, b *Node) {
	toA, toB := b.Hello(), a.Hello()
	p.deliver(a, b, func(reply func([]byte)) { a.HandleHello(toA, reply) })
	p.deliver(b, a, func(reply func([]byte)) { b.HandleHello(toB, reply) })
}

func (p *crashPeers) status(to, from *Node) {
	status := from.Status()
	p.deliver(to, from, func(reply func([]byte)) { to.HandleStatus(status, reply) })
}

// Guards against a request that crashes more backend servers after each series of restarts, because a node that starts knows nothing of
// its crashes, and against nodes that send each other records that both have.
func TestStartedNodeLearnsCrashesFromItsPeers(t *testing.T) {
	p := &crashPeers{clock: &kernel.ManualClock{}}
	p.clock.Advance(time.Hour)
	nodes := []*Node{p.node(t), p.node(t), p.node(t)}
	for i, n := range nodes {
		n.quarantine.Crashed(p.clock.Now(), "a-1", []uint64{7, 8})
		n.quarantine.Crashed(p.clock.Now(), "b-1", []uint64{7})
		for _, other := range nodes[:i] {
			p.greet(n, other)
		}
	}
	require.Zero(t, p.tables, "nodes with the same records exchange none")
	for i := range nodes {
		nodes[i] = p.node(t)
		for _, other := range nodes {
			if other != nodes[i] {
				p.greet(nodes[i], other)
			}
		}
		require.True(t, nodes[i].isQuarantined(7))
		require.False(t, nodes[i].isQuarantined(8))
	}
	require.Equal(t, len(nodes), p.tables, "one for each start")
}

// Guards against a node that was cut off from the others when a request crashed a backend server, and never learns of it, and against
// records that are exchanged at each crash although its report arrives in any case.
func TestMissedCrashIsPulledAfterAWhile(t *testing.T) {
	p := &crashPeers{clock: &kernel.ManualClock{}}
	p.clock.Advance(time.Hour)
	a, b := p.node(t), p.node(t)
	p.greet(a, b)
	reports := a.quarantine.Crashed(p.clock.Now(), "a-1", []uint64{7})
	p.status(b, a)
	require.Zero(t, p.tables)
	b.HandleNotice(encode(gossipMessage{Crashes: reports}), nil)
	p.clock.Advance(crashSettleTime)
	p.status(b, a)
	require.Zero(t, p.tables)

	a.quarantine.Crashed(p.clock.Now(), "a-2", []uint64{7})
	p.status(b, a)
	p.clock.Advance(crashSettleTime)
	p.status(b, a)
	require.True(t, b.isQuarantined(7))

	// A node that has more records doesn't pull those of the other again and again.
	b.quarantine.Crashed(p.clock.Now(), "b-1", []uint64{9})
	before := p.tables
	for range 20 {
		p.status(b, a)
		p.clock.Advance(time.Second)
	}
	require.Equal(t, before, p.tables)
	p.status(a, b)
	p.clock.Advance(crashSettleTime)
	p.status(a, b)
	p.status(b, a)
	require.Equal(t, before+1, p.tables)
	require.Equal(t, a.quarantine.Sum(p.clock.Now()), b.quarantine.Sum(p.clock.Now()))
}
