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

// Guards against calls that fail while the store is down or slow, against a new node that cannot join during that time, and
// against a restarted node, which has kept no state, that reverts to an older configuration.
func TestStoreOutage(t *testing.T) {
	for name, fault := range storeFaults {
		t.Run(name, func(t *testing.T) {
			services := []testbed.Service{orderServices("5ms")[0], orderServices("5ms")[1]}
			services[1].Zones = services[1].Zones[:2]
			cl := newClusterWithReserve(t, 2, orderRules, services...)
			changed := orderRules + "[request changed]\nservice = nursery\nmethod = GET\npath = /changed\nclass = reads\n"
			_, err := cl.Apply(cl.ctx, testbed.Inventory(cl.services), changed)
			require.NoError(t, err)
			require.NoError(t, cl.WaitReady(cl.ctx, 2))
			require.NoError(t, cl.SetPlatformFaults(cl.ctx, fault))
			cl.requireAllRun("before")

			joining := cl.services[1]
			joining.Zones = []string{"rn-2"}
			require.NoError(t, cl.Add(joining))
			joined := cl.Places[len(cl.Places)-1]
			cl.awaitServing(joined, 2)
			cl.awaitCallOn(joined, "joined")

			restarted := cl.PlacesOf("nursery")[1]
			old, err := restarted.Status(cl.ctx)
			require.NoError(t, err)
			require.NoError(t, restarted.Node.Kill())
			require.NoError(t, restarted.Node.Start())
			cl.eventually("configuration after the restart", func(ctx context.Context) error {
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
			cl.awaitServing(restarted, 2)
			cl.awaitRemoval(old.Member.ID)
			cl.awaitCallOn(restarted, "restarted")
			// The first call of a backend server on a connection to its killed node fails in the backend server itself.
			cl.eventually("calls of the restarted place", func(context.Context) error {
				return cl.orderThrough(restarted, "again")
			})
			cl.requireAllRun("after")
		})
	}
}

// requireAllRun sends an order and a read to each node; all must run.
func (cl *cluster) requireAllRun(name string) {
	cl.t.Helper()
	for i, p := range cl.Places {
		order := fmt.Sprintf("%s-%d", name, i)
		a := send(cl.ctx, p.Callers, "POST", "/nursery/orders", orderBody(order),
			"Lovagelane-Ticket", cl.ticket(p, "/nursery/orders", order))
		require.Equal(cl.t, "ran", a.outcome, "%+v", a)
		require.Equal(cl.t, http.StatusOK, a.status, "%s", a.body)
		a = send(cl.ctx, p.Callers, "GET", "/nursery/stock?request="+order, nil)
		require.Equal(cl.t, "ran", a.outcome, "%+v", a)
	}
}

// awaitRemoval waits until no node lists a member that no longer exists. An order on a connection to it would end with the
// outcome "unknown".
func (cl *cluster) awaitRemoval(id string) {
	cl.t.Helper()
	for _, p := range cl.Places {
		cl.awaitStatus(p, "without member "+id, func(s node.Status) bool {
			return !slices.ContainsFunc(s.Members, func(m membership.Member) bool { return m.ID == id })
		})
	}
}

// orderThrough sends an order to a node and returns an error unless the order ran on the node's own backend server.
func (cl *cluster) orderThrough(p *testbed.Place, name string) error {
	before := cl.starts()
	order := fmt.Sprintf("%s-%d", name, len(before))
	a := send(cl.ctx, p.Callers, "POST", "/nursery/orders", orderBody(order),
		"Lovagelane-Ticket", cl.ticket(p, "/nursery/orders", order))
	counts, err := p.StartCounts(cl.ctx)
	switch {
	case err != nil:
		return err
	case a.status != http.StatusOK || counts.Orders["/orders "+order] == 0:
		return fmt.Errorf("%+v: the order did not run on the node's own backend server", a)
	}
	return nil
}

// awaitCallOn sends reads through the other nodes until the place's backend server has run one.
func (cl *cluster) awaitCallOn(p *testbed.Place, name string) {
	cl.t.Helper()
	n := 0
	cl.eventually("a call on "+p.Backend.Name, func(ctx context.Context) error {
		for _, other := range cl.Places {
			n++
			if other != p {
				send(ctx, other.Callers, "GET", fmt.Sprintf("/nursery/stock?request=%s-%d", name, n), nil)
			}
		}
		counts, err := p.StartCounts(ctx)
		if err == nil && counts.Paths["GET /stock"] == 0 {
			err = errors.New("no read ran on the backend server")
		}
		return err
	})
}

// Guards against orders that run twice, or that get a wrong outcome, when nodes are killed and callers resend while the store
// is down.
func TestOrdersRunOnceWhileTheStoreIsDown(t *testing.T) {
	cl := newCluster(t, orderRules, orderServices("30ms")...)
	require.NoError(t, cl.SetPlatformFaults(cl.ctx, standin.PlatformFaults{Down: pointer(true)}))
	// The first place is excluded: it has no seeds, since it started before all others, and cannot restart without the store.
	cl.killDuringOrders(3, 6, cl.Places[1:])
}

// acceptedConfig reads the accepted configuration from the store.
func (cl *cluster) acceptedConfig() rollout.Accepted {
	client, err := tablestore.NewClient(cl.Store, 0)
	require.NoError(cl.t, err)
	defer client.Close()
	a, _, err := rollout.Current(cl.ctx, client)
	require.NoError(cl.t, err)
	return a
}

// Guards against concurrent applies that both report success, and against a rejected apply that does not report whose change
// was accepted.
func TestConcurrentApplies(t *testing.T) {
	services := orderServices("5ms")[:1]
	services[0].Zones = services[0].Zones[:1]
	rules := "[class orders]\nrank = 1\ndefault = yes\n"
	cl := newCluster(t, rules, services...)
	for round := range uint64(5) {
		base := round + 1
		names := []string{"amina", "bento"}
		outputs, errs := make([]string, 2), make([]error, 2)
		var g errgroup.Group
		for i, name := range names {
			dir := cl.writeConfig(fmt.Sprintf("%s[class of-%s-%d]\nrank = %d\n", rules, name, round, i+2))
			g.Go(func() error {
				outputs[i], errs[i] = cl.runCommand("apply", "--store", cl.Store, "--by", name, "--base", fmt.Sprint(base), dir)
				return nil
			})
		}
		require.NoError(t, g.Wait())
		a := cl.acceptedConfig()
		require.Equal(t, base+1, a.Version)
		for i, name := range names {
			if name == a.By {
				require.NoError(t, errs[i], outputs[i])
				require.Contains(t, outputs[i], "accepted as version "+fmt.Sprint(a.Version))
				require.Contains(t, outputs[i], a.ApplyID)
				continue
			}
			var exit *exec.ExitError
			require.ErrorAs(t, errs[i], &exit, "both applies were reported as accepted: %s", outputs[i])
			require.Equal(t, 3, exit.ExitCode())
			require.Contains(t, outputs[i], fmt.Sprintf("%s applied version %d (apply id %s)", a.By, a.Version, a.ApplyID))
			require.Contains(t, outputs[i], fmt.Sprintf("class of-%s-%d", a.By, round), "the accepted change is not reported")
		}
	}
	cl.awaitStatus(cl.Places[0], "version 6", func(s node.Status) bool { return s.ConfigurationVersion == 6 })
}

// lossyProxy forwards requests to the store and drops the answers of the next transactions on the configuration.
type lossyProxy struct {
	store string
	// answersToDrop is the number of further transactions whose answers are dropped.
	answersToDrop atomic.Int64
	// downAfterLoss makes all requests after a dropped answer fail.
	downAfterLoss bool
	down          atomic.Bool
}

func (l *lossyProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	if r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/tables/config/") && l.answersToDrop.Add(-1) >= 0 {
		l.down.Store(l.downAfterLoss)
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

// Guards against an apply that reports a wrong result to its operator when the answer of its write is lost, or when the store
// is down before or after the write.
func TestLostAnswerOfApply(t *testing.T) {
	services := orderServices("5ms")[:1]
	services[0].Zones = services[0].Zones[:1]
	rules := "[class orders]\nrank = 1\ndefault = yes\n"
	cl := newCluster(t, rules, services...)
	for _, c := range []struct {
		name          string
		answersToDrop int64
		downAfterLoss bool
		down          bool
		output        string
		accepted      bool
	}{
		{name: "lost", answersToDrop: 1, output: "accepted as version", accepted: true},
		{name: "lost again", answersToDrop: 3, output: "accepted as version", accepted: true},
		{name: "lost and then down", answersToDrop: 1, downAfterLoss: true, output: "unknown whether version", accepted: true},
		{name: "down before", down: true, output: "not accepted, nothing changed"},
	} {
		before := cl.acceptedConfig()
		proxy := &lossyProxy{store: cl.Store, downAfterLoss: c.downAfterLoss}
		proxy.answersToDrop.Store(c.answersToDrop)
		proxy.down.Store(c.down)
		server := httptest.NewServer(proxy)
		out, err := cl.runCommand("apply", "--store", server.URL, "--by", c.name, cl.writeConfig(rules+"\n# "+c.name+"\n"))
		server.Close()
		require.Contains(t, out, c.output, c.name)
		after := cl.acceptedConfig()
		if !c.accepted {
			require.Error(t, err, c.name)
			require.Equal(t, before, after, c.name)
			continue
		}
		require.Equal(t, before.Version+1, after.Version, c.name)
		require.Equal(t, c.name, after.By)
		require.Contains(t, out, after.ApplyID, c.name)
		require.Equal(t, c.output == "accepted as version", err == nil, "%s: %s", c.name, out)
	}
	cl.awaitStatus(cl.Places[0], "version 4", func(s node.Status) bool { return s.ConfigurationVersion == 4 })
}
