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

// orderServices has orders that pass through two services, both non-idempotent.
func orderServices(serviceTime string) []testbed.Service {
	return []testbed.Service{
		{Name: "payments", Zones: []string{"rn-1", "rn-2"}, Slots: 8, Connections: 100, Timeout: time.Second,
			Backend: []string{"--service-time", serviceTime}},
		{Name: "nursery", Zones: []string{"rn-1", "rn-2", "rn-1"}, Slots: 8, Connections: 100, Timeout: 2 * time.Second,
			Calls: []string{"payments"}, Backend: []string{"--service-time", serviceTime, "--call", "/orders=payments:POST:/holds"}},
	}
}

// sent is one send of an order and what the caller was told.
type sent struct {
	order, send string
	reply
}

// orders sends orders until it is stopped, each again with its ticket to other nodes until it is told that it ran.
type orders struct {
	w       *world
	answers atomic.Int64
	mu      sync.Mutex
	all     []sent
}

func (o *orders) run(ctx context.Context, name string, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	addresses := o.w.Callers()
	for i := 0; ctx.Err() == nil; i++ {
		order := fmt.Sprintf("%s-%d", name, i)
		ticket := ""
		for k := range 6 {
			id := fmt.Sprintf("%s/%d", order, k)
			// A send that has begun is awaited, so that every answer is checked.
			a := send(o.w.ctx, addresses[r.IntN(len(addresses))], "POST", "/nursery/orders", orderBody(order),
				"Lovagelane-Ticket", ticket, "Send", id)
			if a.ticket != "" {
				ticket = a.ticket
			}
			o.mu.Lock()
			o.all = append(o.all, sent{order, id, a})
			o.mu.Unlock()
			o.answers.Add(1)
			if a.outcome == "ran" || a.reason == "owner-gone" {
				break
			}
		}
	}
}

// progress waits until callers got n further answers.
func (o *orders) progress(n int64) {
	from := o.answers.Load()
	o.w.until("further answers", func(context.Context) error {
		if got := o.answers.Load() - from; got < n {
			return fmt.Errorf("%d of %d", got, n)
		}
		return nil
	})
}

// check checks every answer against what backend servers started, and returns the answers by outcome.
func (o *orders) check() map[string]int {
	t := o.w.t
	runs, bySend := map[string]int{}, map[string]int{}
	for _, s := range o.w.starts() {
		runs[s.Path+" "+s.Order]++
		if s.Path == "/orders" {
			bySend[s.Send]++
		}
	}
	for key, n := range runs {
		require.Equal(t, 1, n, "order %s ran more than once", key)
	}
	outcomes := map[string]int{}
	for _, s := range o.all {
		outcome := s.outcome
		if s.err != nil {
			outcome = "no answer"
		}
		outcomes[outcome]++
		switch outcome {
		case "not-run":
			require.Zero(t, bySend[s.send], "send %s was told not run (%s) and ran", s.send, s.reason)
		case "ran":
			require.Equal(t, 1, runs["/orders "+s.order], "order %s was told that it ran (%d %s)", s.order, s.status, s.reason)
		case "unknown", "no answer":
		default:
			require.Fail(t, "answer without an outcome", "%+v", s)
		}
	}
	return outcomes
}

// killDuringOrders kills nodes and backend servers of the places in the order that the seed gives, while callers send
// orders, and checks every answer.
func (w *world) killDuringOrders(seed uint64, kills int, places []*testbed.Place) {
	const callers = 10
	o := &orders{w: w}
	load, stop := context.WithCancel(w.ctx)
	defer stop()
	var g errgroup.Group
	for i := range callers {
		g.Go(func() error { o.run(load, fmt.Sprintf("o%d", i), seed+uint64(i)); return nil })
	}
	r := rand.New(rand.NewPCG(seed, 2))
	o.progress(50)
	for range kills {
		p := places[r.IntN(len(places))]
		victim := p.Node
		if r.IntN(2) == 0 {
			victim = p.Backend
		}
		require.NoError(w.t, victim.Kill())
		o.progress(50)
		require.NoError(w.t, victim.Start())
		w.serving(p, 1)
		o.progress(50)
	}
	stop()
	require.NoError(w.t, g.Wait())
	outcomes := o.check()
	w.t.Log("answers by outcome:", outcomes)
	require.NotZero(w.t, outcomes["ran"])
	require.NotZero(w.t, outcomes["unknown"]+outcomes["no answer"], "no kill hit a call in flight")
}

// Guards against an order that runs twice, a "not run" that ran and a "ran" that did not, when entry, owner and serving
// nodes and backend servers are killed while callers send their orders again to other nodes.
func TestOrdersRunOnceWhileProcessesAreKilled(t *testing.T) {
	w := start(t, orderRules, orderServices("30ms")...)
	w.killDuringOrders(1, 8, w.Places)
}

// Guards against a paused owner that starts an order after its caller was told "unknown", also when the configuration
// changed meanwhile.
func TestFrozenOwnerStartsNothingLate(t *testing.T) {
	w := start(t, orderRules, orderServices("5ms")...)
	owner, entry := w.Of("nursery")[0], w.Of("nursery")[1]
	via := func(ticket, order string) reply {
		return send(w.ctx, entry.Callers, "POST", "/nursery/orders", orderBody(order), "Lovagelane-Ticket", ticket)
	}
	// The first order opens the connection on which the second one then waits for the paused owner.
	first := via(w.ticket(owner, "/nursery/orders", "first"), "first")
	require.Equal(t, "ran", first.outcome, "%+v", first)

	ticket := w.ticket(owner, "/nursery/orders", "late")
	require.NoError(t, owner.Node.Freeze())
	told := via(ticket, "late")
	require.Equal(t, "unknown", told.outcome, "%+v", told)
	out, _ := w.command("apply", "--store", w.Store, "--keys", w.Dir(), "--wait", "1s", w.files(orderRules+"\n# changed\n"))
	require.Contains(t, out, "accepted as version 2")
	require.NoError(t, owner.Node.Resume())
	w.serving(owner, 2)
	// What the owner found on its connections when it resumed has ended before a new order through it does.
	after := via(w.ticket(owner, "/nursery/orders", "after"), "after")
	require.Equal(t, "ran", after.outcome, "%+v", after)
	require.Zero(t, w.count("/orders", "late"), "the resumed owner started an order whose deadline had passed")
}

// Guards against a second start when the owner is paused after it sent the call and its caller, told "unknown", sends the
// order again while and after the owner is paused.
func TestFrozenOwnerKeepsWhatRan(t *testing.T) {
	w := start(t, orderRules, orderServices("300ms")...)
	owner, entry := w.Of("nursery")[0], w.Of("nursery")[1]
	ticket := w.ticket(owner, "/nursery/orders", "sent")
	via := func(p *testbed.Place) reply {
		return send(w.ctx, p.Callers, "POST", "/nursery/orders", orderBody("sent"), "Lovagelane-Ticket", ticket)
	}
	var g errgroup.Group
	var told reply
	g.Go(func() error { told = via(entry); return nil })
	w.until("start of the order", func(context.Context) error {
		if w.count("/orders", "sent") == 0 {
			return fmt.Errorf("not started")
		}
		return nil
	})
	require.NoError(t, owner.Node.Freeze())
	require.NoError(t, g.Wait())
	require.Equal(t, "unknown", told.outcome, "%+v", told)
	again := via(w.Of("payments")[0])
	require.Equal(t, "unknown", again.outcome, "%+v", again)
	out, _ := w.command("apply", "--store", w.Store, "--keys", w.Dir(), "--wait", "1s", w.files(orderRules+"\n# changed\n"))
	require.Contains(t, out, "accepted as version 2")
	require.NoError(t, owner.Node.Resume())
	w.serving(owner, 2)
	last := via(w.Of("payments")[1])
	require.NotEqual(t, "not-run", last.outcome, "%+v", last)
	require.Equal(t, 1, w.count("/orders", "sent"))
	require.LessOrEqual(t, w.count("/holds", "sent"), 1)
}
