package link_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/kernel"
	"lovagelane/link"
	"lovagelane/testbed"
)

// waitTimeout bounds how long a test waits for an expected event.
const waitTimeout = 10 * time.Second

// node is a transport whose handler counts the runs of each call and answers when a test calls answer.
type node struct {
	transport *link.Transport
	group     *kernel.Group
	address   string

	mu       sync.Mutex
	runs     map[string]int
	calls    map[string]*link.IncomingCall
	cancel   map[string]bool
	received []string
}

func start(t *testing.T, incarnation uint64, address string) *node {
	t.Helper()
	n := &node{runs: map[string]int{}, calls: map[string]*link.IncomingCall{}, cancel: map[string]bool{}}
	ln, err := net.Listen("tcp", address)
	require.NoError(t, err)
	n.address = ln.Addr().String()
	n.group = kernel.NewGroup(context.Background())
	n.transport = &link.Transport{Clock: kernel.SystemClock{}, Handler: n, Incarnation: incarnation}
	n.transport.Start(n.group, ln)
	t.Cleanup(n.stop)
	return n
}

func (n *node) stop() { _ = n.group.Stop() } // The listener returns an error when it is closed.

func (n *node) Hello() []byte                    { return []byte("hello") }
func (n *node) HandleHello([]byte, func([]byte)) {}
func (n *node) Status() []byte                   { return []byte("status") }

func (n *node) HandleStatus(status []byte, _ func([]byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.received = append(n.received, string(status))
}

func (n *node) HandleNotice(notice []byte, reply func([]byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.received = append(n.received, string(notice))
	if string(notice) == "ask" {
		reply([]byte("told"))
	}
}

func (n *node) Call(c *link.IncomingCall) {
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
	c.OnWithdraw(func() {
		if name != "running" {
			c.Answer([]byte("withdrawn"))
		}
	})
}

func (n *node) runCount(name string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs[name]
}

func (n *node) cancelled(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cancel[name]
}

func (n *node) hasReceived(what string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, message := range n.received {
		if message == what {
			return true
		}
	}
	return false
}

// answer waits until a call runs and answers it.
func (n *node) answer(t *testing.T, name string) {
	t.Helper()
	eventually(t, func() bool { return n.runCount(name) > 0 })
	n.mu.Lock()
	c := n.calls[name]
	n.mu.Unlock()
	c.Answer([]byte("answer to " + name))
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	require.Eventually(t, f, waitTimeout, 5*time.Millisecond)
}

func result(t *testing.T, p *link.Pending) link.Result {
	t.Helper()
	select {
	case r := <-p.Done:
		return r
	case <-time.After(waitTimeout):
		t.Fatal("no result")
		return nil
	}
}

func startWithRelay(t *testing.T) (*node, *node, *testbed.Relay) {
	t.Helper()
	a, b := start(t, 1, "127.0.0.1:0"), start(t, 2, "127.0.0.1:0")
	g := kernel.NewGroup(t.Context())
	relay, err := testbed.NewRelay(g, b.address)
	require.NoError(t, err)
	return a, b, relay
}

// Guards against answers that are assigned to the wrong call when calls share a connection and are answered out of order.
func TestEachCallGetsItsOwnAnswer(t *testing.T) {
	a, b := start(t, 1, "127.0.0.1:0"), start(t, 2, "127.0.0.1:0")
	p := a.transport.Peer(b.address)
	first, second := p.Call([]byte("first")), p.Call([]byte("second"))
	b.answer(t, "second")
	b.answer(t, "first")
	require.Equal(t, link.Answer{Payload: []byte("answer to second")}, result(t, second))
	require.Equal(t, link.Answer{Payload: []byte("answer to first")}, result(t, first))
}

// Guards against a call that runs twice, or whose answer is lost, when its connection is cut while the call runs or while
// the answer is in transit.
func TestCallSurvivesCutConnections(t *testing.T) {
	a, b, relay := startWithRelay(t)
	p := a.transport.Peer(relay.Address())
	call := p.Call([]byte("order"))
	eventually(t, func() bool { return b.runCount("order") == 1 })
	for range 3 {
		relay.Cut()
		time.Sleep(50 * time.Millisecond)
	}
	// Connection attempts that fail at once must not shorten the time in which the path may recover.
	relay.Refuse(true)
	relay.Cut()
	b.answer(t, "order")
	time.Sleep(300 * time.Millisecond)
	relay.Refuse(false)
	require.Equal(t, link.Answer{Payload: []byte("answer to order")}, result(t, call))
	require.Equal(t, 1, b.runCount("order"))
}

// Guards against calls that hang on an unresponsive connection while new connections work.
func TestCallMovesOffSilentConnection(t *testing.T) {
	a, b, relay := startWithRelay(t)
	p := a.transport.Peer(relay.Address())
	call := p.Call([]byte("order"))
	eventually(t, func() bool { return b.runCount("order") == 1 })
	relay.Silence()
	b.answer(t, "order")
	require.Equal(t, link.Answer{Payload: []byte("answer to order")}, result(t, call))
	require.Equal(t, 1, b.runCount("order"))
}

// Guards against a restarted receiver that runs a call which its former process may have run.
func TestRestartedReceiverDoesNotRunCallsAgain(t *testing.T) {
	a, b := start(t, 1, "127.0.0.1:0"), start(t, 2, "127.0.0.1:0")
	p := a.transport.Peer(b.address)
	call := p.Call([]byte("order"))
	eventually(t, func() bool { return b.runCount("order") == 1 })
	b.stop()
	restarted := start(t, 3, b.address)
	require.Equal(t, link.Lost{Sent: true}, result(t, call))
	next := p.Call([]byte("next"))
	restarted.answer(t, "next")
	require.Equal(t, link.Answer{Payload: []byte("answer to next")}, result(t, next))
	require.Zero(t, restarted.runCount("order"))
}

// Guards against a call that waits forever, or is resent, because the receiver restarted so quickly that no connection
// attempt of the sender failed.
func TestReceiverRestartIsDetected(t *testing.T) {
	a, b, relay := startWithRelay(t)
	call := a.transport.Peer(relay.Address()).Call([]byte("order"))
	eventually(t, func() bool { return b.runCount("order") == 1 })
	// The relay stands for the receiver's address, where the restarted receiver is reachable at once.
	relay.Redirect(start(t, 3, "127.0.0.1:0").address)
	relay.Cut()
	require.Equal(t, link.Lost{Sent: true}, result(t, call))
}

// Guards against a call that is reported as sent although nothing listened at the address.
func TestRefusedCallWasNotSent(t *testing.T) {
	a, b := start(t, 1, "127.0.0.1:0"), start(t, 2, "127.0.0.1:0")
	b.stop()
	require.Equal(t, link.Lost{}, result(t, a.transport.Peer(b.address).Call([]byte("order"))))
}

// Guards against a node that counts as unreachable because of a call that failed long ago, although it has restarted since
// and no call has been sent to it.
func TestRestartedNodeIsReachable(t *testing.T) {
	a, b := start(t, 1, "127.0.0.1:0"), start(t, 2, "127.0.0.1:0")
	b.stop()
	require.Equal(t, link.Lost{}, result(t, a.transport.Peer(b.address).Call([]byte("order"))))
	require.NotZero(t, a.transport.UnreachableFor(b.address))
	start(t, 3, b.address)
	require.Zero(t, a.transport.UnreachableFor(b.address))
}

// callUntilRun sends a call again until it runs. A call that waits for an attempt to connect which fails ends as not sent, and the
// receiver must not have run it.
func callUntilRun(t *testing.T, p *link.Peer, b *node, payload string) *link.Pending {
	t.Helper()
	c := p.Call([]byte(payload))
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		select {
		case r := <-c.Done:
			require.Equal(t, link.Lost{}, r)
			require.Zero(t, b.runCount(payload), "a call that was reported as not sent has run")
			c = p.Call([]byte(payload))
		default:
			if b.runCount(payload) == 1 {
				return c
			}
		}
	}
	require.Fail(t, "the call does not run", payload)
	return nil
}

// Guards against a call that has no result, or is reported as sent, because the attempt to connect that it waits for began before it
// and fails.
func TestCallThatWaitsForAFailedAttemptIsNotSent(t *testing.T) {
	a := start(t, 1, "127.0.0.1:0")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := a.transport.Peer(ln.Addr().String())
	first := p.Call([]byte("first"))
	c, err := ln.Accept()
	require.NoError(t, err)
	waiting := p.Call([]byte("waiting"))
	require.NoError(t, ln.Close())
	require.NoError(t, c.Close()) // The receiver ends before it has answered the hello.
	require.Equal(t, link.Lost{}, result(t, first))
	require.Equal(t, link.Lost{}, result(t, waiting))
	b := start(t, 2, ln.Addr().String())
	next := callUntilRun(t, p, b, "next")
	b.answer(t, "next")
	result(t, next)
	require.Zero(t, b.runCount("first")+b.runCount("waiting"))
}

// Guards against a receiver that keeps running a cancelled call, also when the cancellation was lost with its connection or
// the sender has stopped.
func TestCancellationReachesTheReceiver(t *testing.T) {
	a, b, relay := startWithRelay(t)
	p := a.transport.Peer(relay.Address())
	plain, cut := p.Call([]byte("plain")), p.Call([]byte("cut"))
	eventually(t, func() bool { return b.runCount("plain") == 1 && b.runCount("cut") == 1 })
	plain.Cancel()
	eventually(t, func() bool { return b.cancelled("plain") })
	relay.Refuse(true)
	relay.Cut()
	cut.Cancel()
	relay.Refuse(false)
	keep := callUntilRun(t, p, b, "keep")
	eventually(t, func() bool { return b.cancelled("cut") })
	require.False(t, b.cancelled("keep"))
	b.answer(t, "keep")
	result(t, keep)
	last := p.Call([]byte("last"))
	eventually(t, func() bool { return b.runCount("last") == 1 })
	a.stop()
	eventually(t, func() bool { return b.cancelled("last") })
	_ = last
}

// Guards against answers that go out on a connection which the sender has abandoned. A receiver that was frozen may accept
// that connection after the live one. Found by the soak test, seed 202.
func TestAnswerUsesConnectionOfItsCall(t *testing.T) {
	a, b := start(t, 1, "127.0.0.1:0"), start(t, 2, "127.0.0.1:0")
	call := a.transport.Peer(b.address).Call([]byte("order"))
	eventually(t, func() bool { return b.runCount("order") == 1 })
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

// Guards against statuses and notices that do not reach a persistent peer, and against lost replies.
func TestPersistentPeersExchangeMessages(t *testing.T) {
	a, b := start(t, 1, "127.0.0.1:0"), start(t, 2, "127.0.0.1:0")
	a.transport.SetPersistentPeers([]string{b.address})
	eventually(t, func() bool { return a.hasReceived("status") && b.hasReceived("status") })
	require.True(t, a.transport.Notify(b.address, []byte("ask")))
	eventually(t, func() bool { return a.hasReceived("told") })
	require.Equal(t, 1, a.transport.Broadcast([]byte("news")))
	eventually(t, func() bool { return b.hasReceived("news") })
	// A peer that has restarted is reconnected.
	b.stop()
	restarted := start(t, 3, b.address)
	eventually(t, func() bool { return restarted.hasReceived("status") })
}

// Guards against a notice that does not reach a node to which there is no connection yet.
// Mutation: connected does not send Peer.notices.
func TestNoticeOpensAConnection(t *testing.T) {
	a, b := start(t, 1, "127.0.0.1:0"), start(t, 2, "127.0.0.1:0")
	require.True(t, a.transport.Notify(b.address, []byte("ask")))
	eventually(t, func() bool { return a.hasReceived("told") })
}

// Guards against bytes of another protocol that crash a node or keep a connection open.
func TestOtherProtocolsAreRejected(t *testing.T) {
	n := start(t, 1, "127.0.0.1:0")
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x01\x01", "\xff\xff\xff\xff\x01\x00\x00\x00\x00\x00\x00\x00\x00"} {
		c, err := net.Dial("tcp", n.address)
		require.NoError(t, err)
		_, err = c.Write([]byte(text))
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
		buffer := make([]byte, 256)
		for err == nil {
			_, err = c.Read(buffer)
		}
		var timeout net.Error
		require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "the connection stays open")
		require.NoError(t, c.Close())
	}
}

// Guards against a withdrawal that ends a running call, that is lost with the connection, or that leaves a call without a result.
func TestWithdrawnCallIsAnsweredUnlessItRuns(t *testing.T) {
	receiver, sender := start(t, 1, "127.0.0.1:0"), start(t, 2, "127.0.0.1:0")
	relay, err := testbed.NewRelay(sender.group, receiver.address)
	require.NoError(t, err)
	peer := sender.transport.Peer(relay.Address())
	queued, running := peer.Call([]byte("queued")), peer.Call([]byte("running"))
	eventually(t, func() bool { return receiver.runCount("queued") == 1 && receiver.runCount("running") == 1 })
	queued.Withdraw()
	running.Withdraw()
	require.Equal(t, link.Answer{Payload: []byte("withdrawn")}, result(t, queued))
	require.Empty(t, running.Done)
	receiver.answer(t, "running")
	require.Equal(t, link.Answer{Payload: []byte("answer to running")}, result(t, running))

	later := peer.Call([]byte("later"))
	eventually(t, func() bool { return receiver.runCount("later") == 1 })
	relay.Refuse(true)
	relay.Cut()
	unsent := sender.transport.Peer(closedAddress(t)).Call([]byte("unsent"))
	unsent.Withdraw()
	require.Equal(t, link.Lost{}, result(t, unsent))
	time.Sleep(100 * time.Millisecond) // The sender has seen the end of the connection.
	later.Withdraw()
	relay.Refuse(false)
	require.IsType(t, link.Answer{}, result(t, later))
	require.Equal(t, 1, receiver.runCount("later"))
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	list, err := testbed.Addresses(1)
	require.NoError(t, err)
	return list[0]
}

// Guards against a connection that is closed again and again because the calls that are resent on it exceed the bound of bytes
// waiting to be written.
func TestLargeCallsAreResent(t *testing.T) {
	receiver, sender := start(t, 1, "127.0.0.1:0"), start(t, 2, "127.0.0.1:0")
	relay, err := testbed.NewRelay(sender.group, receiver.address)
	require.NoError(t, err)
	peer := sender.transport.Peer(relay.Address())
	body := strings.Repeat("x", 8<<20)
	var calls []*link.Pending
	for i := range 6 {
		calls = append(calls, peer.Call([]byte(fmt.Sprint(i, body))))
		eventually(t, func() bool { return receiver.runCount(fmt.Sprint(i, body)) == 1 })
	}
	relay.Cut()
	for i, c := range calls {
		receiver.answer(t, fmt.Sprint(i, body))
		require.IsType(t, link.Answer{}, result(t, c))
		require.Equal(t, 1, receiver.runCount(fmt.Sprint(i, body)))
	}
}

// Guards against answers that a node keeps for as long as one earlier call of the same node runs.
func TestAnswersAreReleasedWhileAnEarlierCallRuns(t *testing.T) {
	receiver, sender := start(t, 1, "127.0.0.1:0"), start(t, 2, "127.0.0.1:0")
	slow := sender.transport.Peer(receiver.address).Call([]byte("slow"))
	padding := strings.Repeat("x", 60_000)
	for i := range 100 {
		name := fmt.Sprint(i, padding)
		p := sender.transport.Peer(receiver.address).Call([]byte(name))
		receiver.answer(t, name)
		require.Equal(t, link.Answer{Payload: []byte("answer to " + name)}, <-p.Done)
	}
	eventually(t, func() bool { return receiver.transport.StoredBytes() < len(padding) })
	receiver.answer(t, "slow")
	require.Equal(t, link.Answer{Payload: []byte("answer to slow")}, <-slow.Done)
}
