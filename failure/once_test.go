package failure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"lovagelane/testbed"
)

const orderRules = `[class orders]
rank = 1
[class reads]
rank = 5
default = yes
[request order]
service = nursery
method = POST
path = /orders
class = orders
non-idempotent = yes
[request hold]
service = payments
method = POST
path = /holds
class = orders
non-idempotent = yes
`

// orderServices returns two services that each order passes through. The order's requests are non-idempotent in both.
func orderServices(serviceTime string) []testbed.Service {
	return []testbed.Service{
		{Name: "payments", Zones: []string{"rn-1", "rn-2"}, Slots: 8, Connections: 100, Timeout: time.Second,
			BackendFlags: []string{"--service-time", serviceTime}},
		{Name: "nursery", Zones: []string{"rn-1", "rn-2", "rn-1"}, Slots: 8, Connections: 100, Timeout: 2 * time.Second,
			Calls: []string{"payments"}, BackendFlags: []string{"--service-time", serviceTime, "--call", "/orders=payments:POST:/holds"}},
	}
}

// sendRecord is one send of an order and its answer.
type sendRecord struct {
	order, send string
	reply
}

// orderLoad sends orders until it is stopped. It sends each order with its ticket through random nodes, up to 6 times, until
// an answer says that the order ran or that its owner is gone.
type orderLoad struct {
	cl      *cluster
	answers atomic.Int64
	mu      sync.Mutex
	sends   []sendRecord
}

func (l *orderLoad) sendOrders(ctx context.Context, name string, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	addresses := l.cl.CallerAddresses()
	for i := 0; ctx.Err() == nil; i++ {
		order := fmt.Sprintf("%s-%d", name, i)
		ticket := ""
		for k := range 6 {
			id := fmt.Sprintf("%s/%d", order, k)
			// The send uses the test's context and not ctx, so that a send in flight completes and every answer is checked.
			a := send(l.cl.ctx, addresses[r.IntN(len(addresses))], "POST", "/nursery/orders", orderBody(order),
				"Lovagelane-Ticket", ticket, "Send", id)
			if a.ticket != "" {
				ticket = a.ticket
			}
			l.mu.Lock()
			l.sends = append(l.sends, sendRecord{order, id, a})
			l.mu.Unlock()
			l.answers.Add(1)
			if a.outcome == "ran" || a.reason == "owner-gone" {
				break
			}
		}
	}
}

// awaitAnswers waits until callers have received n more answers.
func (l *orderLoad) awaitAnswers(n int64) {
	from := l.answers.Load()
	l.cl.eventually("further answers", func(context.Context) error {
		if got := l.answers.Load() - from; got < n {
			return fmt.Errorf("%d of %d", got, n)
		}
		return nil
	})
}

// verify compares every answer with the requests that backend servers started, and returns the number of answers by outcome.
func (l *orderLoad) verify() map[string]int {
	t := l.cl.t
	runs, bySend := map[string]int{}, map[string]int{}
	for _, s := range l.cl.starts() {
		runs[s.Path+" "+s.Order]++
		if s.Path == "/orders" {
			bySend[s.Send]++
		}
	}
	for key, n := range runs {
		require.Equal(t, 1, n, "order %s ran more than once", key)
	}
	outcomes := map[string]int{}
	for _, s := range l.sends {
		outcome := s.outcome
		if s.err != nil {
			outcome = "no answer"
		}
		outcomes[outcome]++
		switch outcome {
		case "not-run":
			require.Zero(t, bySend[s.send], "send %s was answered as not run (%s) and ran", s.send, s.reason)
		case "ran":
			require.Equal(t, 1, runs["/orders "+s.order], "order %s was answered as run (%d %s)", s.order, s.status, s.reason)
		case "unknown", "no answer":
		default:
			require.Fail(t, "answer without an outcome", "%+v", s)
		}
	}
	return outcomes
}

// killDuringOrders kills and restarts nodes and backend servers of the places, chosen by the seed, while callers send orders,
// and checks every answer.
func (cl *cluster) killDuringOrders(seed uint64, kills int, places []*testbed.Place) {
	const callers = 10
	load := &orderLoad{cl: cl}
	loadCtx, stop := context.WithCancel(cl.ctx)
	defer stop()
	var g errgroup.Group
	for i := range callers {
		g.Go(func() error { load.sendOrders(loadCtx, fmt.Sprintf("o%d", i), seed+uint64(i)); return nil })
	}
	r := rand.New(rand.NewPCG(seed, 2))
	load.awaitAnswers(50)
	for range kills {
		p := places[r.IntN(len(places))]
		process := p.Node
		if r.IntN(2) == 0 {
			process = p.Backend
		}
		require.NoError(cl.t, process.Kill())
		load.awaitAnswers(50)
		require.NoError(cl.t, process.Start())
		cl.awaitServing(p, 1)
		load.awaitAnswers(50)
	}
	stop()
	require.NoError(cl.t, g.Wait())
	outcomes := load.verify()
	cl.t.Log("answers by outcome:", outcomes)
	require.NotZero(cl.t, outcomes["ran"])
	require.NotZero(cl.t, outcomes["unknown"]+outcomes["no answer"], "no kill hit a call in flight")
}

// Guards against an order that runs twice, an order answered as "not-run" that ran and one answered as "ran" that did not,
// when entry, owner and serving nodes and backend servers are killed while callers resend their orders through other nodes.
func TestOrdersRunOnceWhileProcessesAreKilled(t *testing.T) {
	cl := newCluster(t, orderRules, orderServices("30ms")...)
	cl.killDuringOrders(1, 8, cl.Places)
}

// Guards against a frozen owner that, when it resumes, starts an order whose caller already got the outcome "unknown", also if
// the configuration changed in the meantime.
func TestFrozenOwnerDoesNotStartExpiredOrder(t *testing.T) {
	cl := newCluster(t, orderRules, orderServices("5ms")...)
	owner, entry := cl.PlacesOf("nursery")[0], cl.PlacesOf("nursery")[1]
	sendVia := func(ticket, order string) reply {
		return send(cl.ctx, entry.Callers, "POST", "/nursery/orders", orderBody(order), "Lovagelane-Ticket", ticket)
	}
	// The first order opens the connection on which the second order then waits for the frozen owner.
	first := sendVia(cl.ticket(owner, "/nursery/orders", "first"), "first")
	require.Equal(t, "ran", first.outcome, "%+v", first)

	ticket := cl.ticket(owner, "/nursery/orders", "late")
	require.NoError(t, owner.Node.Freeze())
	answer := sendVia(ticket, "late")
	require.Equal(t, "unknown", answer.outcome, "%+v", answer)
	out, _ := cl.runCommand("apply", "--store", cl.Store, "--keys", cl.Dir(), "--wait", "1s",
		cl.writeConfig(orderRules+"\n# changed\n"))
	require.Contains(t, out, "accepted as version 2")
	require.NoError(t, owner.Node.Resume())
	cl.awaitServing(owner, 2)
	// By the time a new order through the owner has ended, the owner has processed everything that it received while frozen.
	after := sendVia(cl.ticket(owner, "/nursery/orders", "after"), "after")
	require.Equal(t, "ran", after.outcome, "%+v", after)
	require.Zero(t, cl.startCount("/orders", "late"), "the resumed owner started an order whose deadline had passed")
}

// Guards against an order that starts twice when its owner is frozen after it sent the call, and the caller, which got the
// outcome "unknown", resends the order while the owner is frozen and after it has resumed.
func TestFrozenOwnerRemembersStartedOrder(t *testing.T) {
	cl := newCluster(t, orderRules, orderServices("300ms")...)
	owner, entry := cl.PlacesOf("nursery")[0], cl.PlacesOf("nursery")[1]
	ticket := cl.ticket(owner, "/nursery/orders", "sent")
	sendVia := func(p *testbed.Place) reply {
		return send(cl.ctx, p.Callers, "POST", "/nursery/orders", orderBody("sent"), "Lovagelane-Ticket", ticket)
	}
	var g errgroup.Group
	var answer reply
	g.Go(func() error { answer = sendVia(entry); return nil })
	cl.eventually("start of the order", func(context.Context) error {
		if cl.startCount("/orders", "sent") == 0 {
			return fmt.Errorf("not started")
		}
		return nil
	})
	require.NoError(t, owner.Node.Freeze())
	require.NoError(t, g.Wait())
	require.Equal(t, "unknown", answer.outcome, "%+v", answer)
	again := sendVia(cl.PlacesOf("payments")[0])
	require.Equal(t, "unknown", again.outcome, "%+v", again)
	out, _ := cl.runCommand("apply", "--store", cl.Store, "--keys", cl.Dir(), "--wait", "1s",
		cl.writeConfig(orderRules+"\n# changed\n"))
	require.Contains(t, out, "accepted as version 2")
	require.NoError(t, owner.Node.Resume())
	cl.awaitServing(owner, 2)
	last := sendVia(cl.PlacesOf("payments")[1])
	require.NotEqual(t, "not-run", last.outcome, "%+v", last)
	require.Equal(t, 1, cl.startCount("/orders", "sent"))
	require.LessOrEqual(t, cl.startCount("/holds", "sent"), 1)
}
