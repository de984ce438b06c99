package failure

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"lovagelane/standin"
	"lovagelane/testbed"
)

// Guards against a caller that gets a truncated answer, or the answer to another request, when answers are slow or several
// hundred KB long.
func TestCallersGetTheirOwnCompleteAnswers(t *testing.T) {
	const seed, callers, requests = 5, 16, 40
	services := []testbed.Service{orderServices("5ms")[1]}
	services[0].Zones = []string{"rn-1", "rn-2", "rn-1"}
	services[0].Calls, services[0].Slots = nil, 16
	services[0].BackendFlags = []string{"--service-time", "5ms", "--echo", "--straggler-share", "0.05", "--straggler-factor", "20"}
	services[0].Timeout = sendTimeout
	cl := newCluster(t, "[class reads]\nrank = 1\ndefault = yes\n", services...)
	require.NoError(t, cl.Places[0].SetFaults(cl.ctx, standin.BackendFaults{SlowFactor: pointer(10.0)}))
	var g errgroup.Group
	for c := range callers {
		g.Go(func() error {
			r := rand.New(rand.NewPCG(seed, uint64(c)))
			for i := range requests {
				size := 20 + r.IntN(2000)
				if i%8 == 0 {
					size = 200_000 + r.IntN(300_000)
				}
				body := bytes.Repeat(fmt.Appendf(nil, "%d/%d ", c, i), size/6+1)
				a := send(cl.ctx, cl.Places[r.IntN(len(cl.Places))].Callers, "PUT", "/nursery/photographs", body)
				if a.err != nil || a.status != http.StatusOK {
					return fmt.Errorf("caller %d, request %d of %d bytes: %d %s %s %w", c, i, len(body), a.status, a.outcome, a.reason, a.err)
				}
				if !bytes.Equal(a.body, body) {
					return fmt.Errorf("caller %d, request %d: got %d of %d bytes: %.40q", c, i, len(a.body), len(body), a.body)
				}
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
}
