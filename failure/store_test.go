package failure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"lovagelane/membership"
	"lovagelane/node"
	"lovagelane/rollout"
	"lovagelane/standin"
	"lovagelane/tablestore"
	"lovagelane/testbed"
)

func pointer[T any](v T) *T { return &v }

var storeFaults = map[string]standin.PlatformFaults{
	"down": {Down: pointer(true)},
	"slow": {DelayMS: pointer(int64(20_000))},
}

// Guards against calls that need the store, against a new node that cannot join without it, and against a restarted node
// that kept nothing and reverts to an older configuration.
func TestStoreOutage(t *testing.T) {
	for name, fault := range storeFaults {
		t.Run(name, func(t *testing.T) {
			services := []testbed.Service{orderServices("5ms")[0], orderServices("5ms")[1]}
			services[1].Zones = services[1].Zones[:2]
			w := startWith(t, 2, orderRules, services...)
			changed := orderRules + "[request changed]\nservice = nursery\nmethod = GET\npath = /changed\nclass = reads\n"
			_, err := w.Apply(w.ctx, testbed.Inventory(w.services), changed)
			require.NoError(t, err)
			require.NoError(t, w.Ready(w.ctx, 2))
			require.NoError(t, w.SetPlatformFaults(w.ctx, fault))
			w.allRun("before")

			joining := w.services[1]
			joining.Zones = []string{"rn-2"}
			require.NoError(t, w.Add(joining))
			joined := w.Places[len(w.Places)-1]
			w.serving(joined, 2)
			w.runsOn(joined, "joined")

			restarted := w.Of("nursery")[1]
			old, err := restarted.Status(w.ctx)
			require.NoError(t, err)
			require.NoError(t, restarted.Node.Kill())
			require.NoError(t, restarted.Node.Start())
			w.until("configuration after the restart", func(ctx context.Context) error {
				s, err := restarted.Status(ctx)
				if err != nil {
					return err
				}
				require.Contains(t, []uint64{0, 2}, s.ConfigurationVersion, "the restarted node reverted")
				if s.ConfigurationVersion == 0 {
					return errors.New("no configuration yet")
				}
				return nil
			})
			w.serving(restarted, 2)
			w.forgotten(old.Member.ID)
			w.runsOn(restarted, "restarted")
			// The first call of a backend server over a connection to its killed node fails in the backend server itself.
			w.until("calls of the restarted place", func(context.Context) error {
				return w.orderOn(restarted, "again")
			})
			w.allRun("after")
		})
	}
}

// allRun sends an order and a read to each node; all must run.
func (w *world) allRun(name string) {
	w.t.Helper()
	for i, p := range w.Places {
		order := fmt.Sprintf("%s-%d", name, i)
		a := send(w.ctx, p.Callers, "POST", "/nursery/orders", orderBody(order),
			"Lovagelane-Ticket", w.ticket(p, "/nursery/orders", order))
		require.Equal(w.t, "ran", a.outcome, "%+v", a)
		require.Equal(w.t, http.StatusOK, a.status, "%s", a.body)
		a = send(w.ctx, p.Callers, "GET", "/nursery/stock?request="+order, nil)
		require.Equal(w.t, "ran", a.outcome, "%+v", a)
	}
}

// forgotten waits until no node counts on a member that is gone, since an order on a connection to it would be "unknown".
func (w *world) forgotten(id string) {
	w.t.Helper()
	for _, p := range w.Places {
		w.status(p, "without member "+id, func(s node.Status) bool {
			return !slices.ContainsFunc(s.Members, func(m membership.Member) bool { return m.ID == id })
		})
	}
}

// orderOn sends orders to one node until one has passed through that node's backend server as well.
func (w *world) orderOn(p *testbed.Place, name string) error {
	before := w.starts()
	order := fmt.Sprintf("%s-%d", name, len(before))
	a := send(w.ctx, p.Callers, "POST", "/nursery/orders", orderBody(order),
		"Lovagelane-Ticket", w.ticket(p, "/nursery/orders", order))
	ran, err := p.Ran(w.ctx)
	switch {
	case err != nil:
		return err
	case a.status != http.StatusOK || ran.Orders["/orders "+order] == 0:
		return fmt.Errorf("%+v, not there", a)
	}
	return nil
}

// runsOn sends reads through the other nodes until the place's backend server has run one.
func (w *world) runsOn(p *testbed.Place, name string) {
	w.t.Helper()
	n := 0
	w.until("a call on "+p.Backend.Name, func(ctx context.Context) error {
		for _, other := range w.Places {
			n++
			if other != p {
				send(ctx, other.Callers, "GET", fmt.Sprintf("/nursery/stock?request=%s-%d", name, n), nil)
			}
		}
		ran, err := p.Ran(ctx)
		if err == nil && ran.Paths["GET /stock"] == 0 {
			err = errors.New("nothing ran there")
		}
		return err
	})
}

// Guards against orders that run twice or answers that are false when nodes are killed and callers send again while the
// store is down.
func TestOrdersRunOnceWhileTheStoreIsDown(t *testing.T) {
	w := start(t, orderRules, orderServices("30ms")...)
	require.NoError(t, w.SetPlatformFaults(w.ctx, standin.PlatformFaults{Down: pointer(true)}))
	// The first place has no seeds, because no other was started before it; it cannot restart without the store.
	w.killDuringOrders(3, 6, w.Places[1:])
}

// accepted reads the accepted configuration from the store.
func (w *world) accepted() rollout.Accepted {
	client, err := tablestore.NewClient(w.Store, 0)
	require.NoError(w.t, err)
	defer client.Close()
	a, _, err := rollout.Current(w.ctx, client)
	require.NoError(w.t, err)
	return a
}

// Guards against two operators who both believe that their change was accepted, and against one who is not told whose
// change was.
func TestTwoOperatorsApplyAtOnce(t *testing.T) {
	services := orderServices("5ms")[:1]
	services[0].Zones = services[0].Zones[:1]
	rules := "[class orders]\nrank = 1\ndefault = yes\n"
	w := start(t, rules, services...)
	for round := range uint64(5) {
		base := round + 1
		names := []string{"amina", "bento"}
		out, failed := make([]string, 2), make([]error, 2)
		var g errgroup.Group
		for i, name := range names {
			dir := w.files(fmt.Sprintf("%s[class of-%s-%d]\nrank = %d\n", rules, name, round, i+2))
			g.Go(func() error {
				out[i], failed[i] = w.command("apply", "--store", w.Store, "--by", name, "--base", fmt.Sprint(base), dir)
				return nil
			})
		}
		require.NoError(t, g.Wait())
		a := w.accepted()
		require.Equal(t, base+1, a.Version)
		for i, name := range names {
			if name == a.By {
				require.NoError(t, failed[i], out[i])
				require.Contains(t, out[i], "accepted as version "+fmt.Sprint(a.Version))
				require.Contains(t, out[i], a.ApplyID)
				continue
			}
			var exit *exec.ExitError
			require.ErrorAs(t, failed[i], &exit, "both were told that they were accepted: %s", out[i])
			require.Equal(t, 3, exit.ExitCode())
			require.Contains(t, out[i], fmt.Sprintf("%s applied version %d (apply id %s)", a.By, a.Version, a.ApplyID))
			require.Contains(t, out[i], fmt.Sprintf("class of-%s-%d", a.By, round), "what was changed")
		}
	}
	w.status(w.Places[0], "version 6", func(s node.Status) bool { return s.ConfigurationVersion == 6 })
}

// losing passes requests on to the store and loses the answers of the next transactions on the configuration.
type losing struct {
	store string
	// lose is the number of transactions whose answers are lost.
	lose atomic.Int64
	// thenDown makes everything after a lost answer fail.
	thenDown bool
	down     atomic.Bool
}

func (l *losing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.down.Load() {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, l.store+r.URL.RequestURI(), r.Body)
	if err != nil {
		panic(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	if r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/tables/config/") && l.lose.Add(-1) >= 0 {
		l.down.Store(l.thenDown)
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

// Guards against an apply that tells its operator something false when the answer of its write is lost, or when the store
// is down before or after it.
func TestLostAnswerOfApply(t *testing.T) {
	services := orderServices("5ms")[:1]
	services[0].Zones = services[0].Zones[:1]
	rules := "[class orders]\nrank = 1\ndefault = yes\n"
	w := start(t, rules, services...)
	for _, c := range []struct {
		name     string
		lose     int64
		thenDown bool
		down     bool
		told     string
		accepted bool
	}{
		{name: "lost", lose: 1, told: "accepted as version", accepted: true},
		{name: "lost again", lose: 3, told: "accepted as version", accepted: true},
		{name: "lost and then down", lose: 1, thenDown: true, told: "unknown whether version", accepted: true},
		{name: "down before", down: true, told: "not accepted, nothing changed"},
	} {
		before := w.accepted()
		l := &losing{store: w.Store, thenDown: c.thenDown}
		l.lose.Store(c.lose)
		l.down.Store(c.down)
		server := httptest.NewServer(l)
		out, err := w.command("apply", "--store", server.URL, "--by", c.name, w.files(rules+"\n# "+c.name+"\n"))
		server.Close()
		require.Contains(t, out, c.told, c.name)
		after := w.accepted()
		if !c.accepted {
			require.Error(t, err, c.name)
			require.Equal(t, before, after, c.name)
			continue
		}
		require.Equal(t, before.Version+1, after.Version, c.name)
		require.Equal(t, c.name, after.By)
		require.Contains(t, out, after.ApplyID, c.name)
		require.Equal(t, c.told == "accepted as version", err == nil, "%s: %s", c.name, out)
	}
	w.status(w.Places[0], "version 4", func(s node.Status) bool { return s.ConfigurationVersion == 4 })
}
