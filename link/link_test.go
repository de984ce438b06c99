package link_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/kernel"
	"lovagelane/link"
	"lovagelane/testbed"
)

// patience bounds how long a test waits for something that must happen.
const patience = 10 * time.Second

// node is one end of a link: it counts how often each call ran, and answers when it is told to.
type node struct {
	transport *link.Transport
	group     *kernel.Group
	address   string

	mu     sync.Mutex
	runs   map[string]int
	calls  map[string]*link.Served
	cancel map[string]bool
	heard  []string
}

func start(t *testing.T, incarnation uint64, address string) *node {
	t.Helper()
	n := &node{runs: map[string]int{}, calls: map[string]*link.Served{}, cancel: map[string]bool{}}
	ln, err := net.Listen("tcp", address)
	require.NoError(t, err)
	n.address = ln.Addr().String()
	n.group = kernel.NewGroup(context.Background())
	n.transport = &link.Transport{Clock: kernel.SystemClock{}, Handler: n, Incarnation: incarnation}
	n.transport.Start(n.group, ln)
	t.Cleanup(n.stop)
	return n
}

func (n *node) stop() { _ = n.group.Stop() } // The listener's own error at the end does not matter.

func (n *node) Greeting() []byte             { return []byte("hello") }
func (n *node) Greeted([]byte, func([]byte)) {}
func (n *node) Status() []byte               { return []byte("status") }

func (n *node) Heard(status []byte, _ func([]byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard = append(n.heard, string(status))
}

func (n *node) Notice(notice []byte, reply func([]byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard = append(n.heard, string(notice))
	if string(notice) == "ask" {
		reply([]byte("told"))
	}
}

func (n *node) Call(c *link.Served) {
	name := string(c.Payload)
	n.mu.Lock()
	n.runs[name]++
	n.calls[name] = c
	n.mu.Unlock()
	c.OnCancel(func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.cancel[name] = true
	})
}

func (n *node) ran(name string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs[name]
}

func (n *node) cancelled(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cancel[name]
}

func (n *node) hears(what string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.heard {
		if h == what {
			return true
		}
	}
	return false
}

// answer answers a call once it runs.
func (n *node) answer(t *testing.T, name string) {
	t.Helper()
	eventually(t, func() bool { return n.ran(name) > 0 })
	n.mu.Lock()
	c := n.calls[name]
	n.mu.Unlock()
	c.Answer([]byte("answer to " + name))
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	require.Eventually(t, f, patience, 5*time.Millisecond)
}

func result(t *testing.T, p *link.Pending) link.Result {
	t.Helper()
	select {
	case r := <-p.Done:
		return r
	case <-time.After(patience):
		t.Fatal("no result")
		return nil
	}
}

func relayed(t *testing.T) (*node, *node, *testbed.Relay) {
	t.Helper()
	a, b := start(t, 1, "127.0.0.1:0"), start(t, 2, "127.0.0.1:0")
	g := kernel.NewGroup(t.Context())
	relay, err := testbed.NewRelay(g, b.address)
	require.NoError(t, err)
	return a, b, relay
}

// Guards against answers that reach another call when many share a connection and are answered out of order.
func TestEachCallGetsItsOwnAnswer(t *testing.T) {
	a, b := start(t, 1, "127.0.0.1:0"), start(t, 2, "127.0.0.1:0")
	p := a.transport.Peer(b.address)
	first, second := p.Call([]byte("first")), p.Call([]byte("second"))
	b.answer(t, "second")
	b.answer(t, "first")
	require.Equal(t, link.Answer{Payload: []byte("answer to second")}, result(t, second))
	require.Equal(t, link.Answer{Payload: []byte("answer to first")}, result(t, first))
}

// Guards against a call that runs twice, or whose answer is lost, when its connection is cut while it runs or while its
// answer is on the way.
func TestCallSurvivesCutConnections(t *testing.T) {
	a, b, relay := relayed(t)
	p := a.transport.Peer(relay.Address())
	call := p.Call([]byte("order"))
	eventually(t, func() bool { return b.ran("order") == 1 })
	for range 3 {
		relay.Cut()
		time.Sleep(50 * time.Millisecond)
	}
	// Attempts that fail at once must not use up the time in which the path may come back.
	relay.Refuse(true)
	relay.Cut()
	b.answer(t, "order")
	time.Sleep(300 * time.Millisecond)
	relay.Refuse(false)
	require.Equal(t, link.Answer{Payload: []byte("answer to order")}, result(t, call))
	require.Equal(t, 1, b.ran("order"))
}

// Guards against calls that hang on a connection which went silent while new ones work.
func TestCallLeavesASilentConnection(t *testing.T) {
	a, b, relay := relayed(t)
	p := a.transport.Peer(relay.Address())
	call := p.Call([]byte("order"))
	eventually(t, func() bool { return b.ran("order") == 1 })
	relay.Silence()
	b.answer(t, "order")
	require.Equal(t, link.Answer{Payload: []byte("answer to order")}, result(t, call))
	require.Equal(t, 1, b.ran("order"))
}

// Guards against a receiver that starts anew and runs a call that its former process may have run.
func TestReceiverThatStartsAnewRunsNothingTwice(t *testing.T) {
	a, b := start(t, 1, "127.0.0.1:0"), start(t, 2, "127.0.0.1:0")
	p := a.transport.Peer(b.address)
	call := p.Call([]byte("order"))
	eventually(t, func() bool { return b.ran("order") == 1 })
	b.stop()
	again := start(t, 3, b.address)
	require.Equal(t, link.Lost{Sent: true}, result(t, call))
	next := p.Call([]byte("next"))
	again.answer(t, "next")
	require.Equal(t, link.Answer{Payload: []byte("answer to next")}, result(t, next))
	require.Zero(t, again.ran("order"))
}

// Guards against a call that waits for ever, or is sent again, because the receiver has started anew so quickly that the
// sender never found its address closed.
func TestNewStartOfTheReceiverIsNoticed(t *testing.T) {
	a, b, relay := relayed(t)
	call := a.transport.Peer(relay.Address()).Call([]byte("order"))
	eventually(t, func() bool { return b.ran("order") == 1 })
	// The relay stands for the address: the receiver that has started anew is found there at once.
	relay.Redirect(start(t, 3, "127.0.0.1:0").address)
	relay.Cut()
	require.Equal(t, link.Lost{Sent: true}, result(t, call))
}

// Guards against a call that counts as sent although nobody listened at the address.
func TestCallToNobodyWasNotSent(t *testing.T) {
	a, b := start(t, 1, "127.0.0.1:0"), start(t, 2, "127.0.0.1:0")
	b.stop()
	require.Equal(t, link.Lost{}, result(t, a.transport.Peer(b.address).Call([]byte("order"))))
}

// Guards against a node that counts as unreachable since a call that failed long ago, although it is back and nobody has
// called it since.
func TestNodeThatIsBackIsReachable(t *testing.T) {
	a, b := start(t, 1, "127.0.0.1:0"), start(t, 2, "127.0.0.1:0")
	b.stop()
	require.Equal(t, link.Lost{}, result(t, a.transport.Peer(b.address).Call([]byte("order"))))
	require.NotZero(t, a.transport.Unreachable(b.address))
	start(t, 3, b.address)
	require.Zero(t, a.transport.Unreachable(b.address))
}

// Guards against a receiver that works on for a call which nobody waits for, also when the cancellation was lost with its
// connection, or the sender is gone.
func TestCancellationReachesTheReceiver(t *testing.T) {
	a, b, relay := relayed(t)
	p := a.transport.Peer(relay.Address())
	plain, cut := p.Call([]byte("plain")), p.Call([]byte("cut"))
	eventually(t, func() bool { return b.ran("plain") == 1 && b.ran("cut") == 1 })
	plain.Cancel()
	eventually(t, func() bool { return b.cancelled("plain") })
	relay.Refuse(true)
	relay.Cut()
	cut.Cancel()
	relay.Refuse(false)
	keep := p.Call([]byte("keep"))
	eventually(t, func() bool { return b.cancelled("cut") })
	require.False(t, b.cancelled("keep"))
	b.answer(t, "keep")
	result(t, keep)
	last := p.Call([]byte("last"))
	eventually(t, func() bool { return b.ran("last") == 1 })
	a.stop()
	eventually(t, func() bool { return b.cancelled("last") })
	_ = last
}

// Guards against answers that go out on a connection which its sender has given up: a receiver that was paused accepts it
// after the one that lives. Found by the soak, seed 202.
func TestAnswerTakesTheConnectionOfItsCall(t *testing.T) {
	a, b := start(t, 1, "127.0.0.1:0"), start(t, 2, "127.0.0.1:0")
	call := a.transport.Peer(b.address).Call([]byte("order"))
	eventually(t, func() bool { return b.ran("order") == 1 })
	dead, err := net.Dial("tcp", b.address)
	require.NoError(t, err)
	_, err = dead.Write(link.Hello(1))
	require.NoError(t, err)
	_, err = dead.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, dead.Close())
	time.Sleep(50 * time.Millisecond)
	b.answer(t, "order")
	require.Equal(t, link.Answer{Payload: []byte("answer to order")}, result(t, call))
}

// Guards against news that does not reach a kept node, or whose reply is lost.
func TestKeptNodesHearEachOther(t *testing.T) {
	a, b := start(t, 1, "127.0.0.1:0"), start(t, 2, "127.0.0.1:0")
	a.transport.Connect([]string{b.address})
	eventually(t, func() bool { return a.hears("status") && b.hears("status") })
	require.True(t, a.transport.Notify(b.address, []byte("ask")))
	eventually(t, func() bool { return a.hears("told") })
	require.Equal(t, 1, a.transport.Broadcast([]byte("news")))
	eventually(t, func() bool { return b.hears("news") })
	// A node that has ended is connected to again when it is back.
	b.stop()
	again := start(t, 3, b.address)
	eventually(t, func() bool { return again.hears("status") })
}

// Guards against bytes of another protocol that end a node or hold a connection open.
func TestOtherProtocolsAreTurnedAway(t *testing.T) {
	n := start(t, 1, "127.0.0.1:0")
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x01\x01", "\xff\xff\xff\xff\x01\x00\x00\x00\x00\x00\x00\x00\x00"} {
		c, err := net.Dial("tcp", n.address)
		require.NoError(t, err)
		_, err = c.Write([]byte(text))
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(patience)))
		buffer := make([]byte, 256)
		for err == nil {
			_, err = c.Read(buffer)
		}
		var timeout net.Error
		require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "the connection stays open")
		require.NoError(t, c.Close())
	}
}
