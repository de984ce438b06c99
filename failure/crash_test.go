package failure

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagelane/kernel"
	"lovagelane/quarantine"
	"lovagelane/testbed"
)

// supervise restarts backend servers that have exited, as a platform does, until the test ends.
func (cl *cluster) supervise(places []*testbed.Place) {
	g := kernel.NewGroup(cl.ctx)
	for _, p := range places {
		g.Go("supervise", func(ctx context.Context) error {
			for p.Backend.Wait(ctx) {
				if err := p.Backend.Start(); err != nil {
					return err
				}
			}
			return nil
		})
	}
	cl.t.Cleanup(func() { require.NoError(cl.t, g.Stop()) })
}

// Guards against a crashing request that is not quarantined on all nodes: its caller resends it through other nodes, and it
// keeps crashing the backend servers that run it.
func TestCrashingRequestIsQuarantinedOnAllNodes(t *testing.T) {
	services := []testbed.Service{orderServices("5ms")[1]}
	services[0].Zones = []string{"rn-1", "rn-2", "rn-1", "rn-2"}
	services[0].Calls, services[0].BackendFlags = nil, []string{"--service-time", "5ms"}
	rules := "[class reads]\nrank = 1\ndefault = yes\n"
	cl := newCluster(t, rules, services...)
	cl.supervise(cl.Places)
	poisonStarts := func() int {
		n := 0
		for _, s := range cl.starts() {
			if s.Path == "/poison" {
				n++
			}
		}
		return n
	}
	quarantined, sends := 0, 0
	for i := range 20 {
		before := poisonStarts()
		a := send(cl.ctx, cl.Places[i%len(cl.Places)].Callers, "GET", "/nursery/poison", nil)
		require.NoError(t, a.err)
		if a.reason == "quarantined" {
			quarantined++
			require.Equal(t, http.StatusUnprocessableEntity, a.status)
			require.Equal(t, "not-run", a.outcome)
		}
		if a.outcome == "not-run" {
			require.Equal(t, before, poisonStarts(), "a send was answered as not run (%s) and ran", a.reason)
		}
		// Other requests must still be served. Each poll sends a new request, since resends are bounded.
		cl.eventually("another request", func(ctx context.Context) error {
			sends++
			r := send(ctx, cl.Places[(i+1)%len(cl.Places)].Callers, "GET", fmt.Sprintf("/nursery/stock?request=%d", sends), nil)
			if r.err != nil || r.status != http.StatusOK {
				return fmt.Errorf("%+v", r)
			}
			return nil
		})
	}
	require.NotZero(t, quarantined, "the request was never quarantined")
	require.LessOrEqual(t, poisonStarts(), quarantine.MaxCrashes, "one send at a time, so no copies ran elsewhere")
	for _, p := range cl.Places {
		cl.awaitServing(p, 1)
	}
}
