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

// supervise starts backend servers that ended again, as a platform does, until the test ends.
func (w *world) supervise(places []*testbed.Place) {
	g := kernel.NewGroup(w.ctx)
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
	w.t.Cleanup(func() { require.NoError(w.t, g.Stop()) })
}

// Guards against a request that goes on crashing the backend servers that run it when its caller sends it again through
// other nodes.
func TestCrashingRequestIsStoppedOnAllNodes(t *testing.T) {
	services := []testbed.Service{orderServices("5ms")[1]}
	services[0].Zones = []string{"rn-1", "rn-2", "rn-1", "rn-2"}
	services[0].Calls, services[0].Backend = nil, []string{"--service-time", "5ms"}
	rules := "[class reads]\nrank = 1\ndefault = yes\n"
	w := start(t, rules, services...)
	w.supervise(w.Places)
	poison := func() int {
		n := 0
		for _, s := range w.starts() {
			if s.Path == "/poison" {
				n++
			}
		}
		return n
	}
	stopped, sends := 0, 0
	for i := range 20 {
		before := poison()
		a := send(w.ctx, w.Places[i%len(w.Places)].Callers, "GET", "/nursery/poison", nil)
		require.NoError(t, a.err)
		if a.reason == "quarantined" {
			stopped++
			require.Equal(t, http.StatusUnprocessableEntity, a.status)
			require.Equal(t, "not-run", a.outcome)
		}
		if a.outcome == "not-run" {
			require.Equal(t, before, poison(), "a send was told not run (%s) and ran", a.reason)
		}
		// Another request is answered meanwhile; each poll is a request of its own, since resends are bounded.
		w.until("another request", func(ctx context.Context) error {
			sends++
			r := send(ctx, w.Places[(i+1)%len(w.Places)].Callers, "GET", fmt.Sprintf("/nursery/stock?request=%d", sends), nil)
			if r.err != nil || r.status != http.StatusOK {
				return fmt.Errorf("%+v", r)
			}
			return nil
		})
	}
	require.NotZero(t, stopped, "never quarantined")
	require.LessOrEqual(t, poison(), quarantine.CrashBound, "one send at a time, so no copies ran elsewhere")
	for _, p := range w.Places {
		w.serving(p, 1)
	}
}
