package node_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	idleSettle      = time.Second
	idleMeasurement = 5 * time.Second
)

// BenchmarkIdleNodes measures the processor time of nodes without calls and without control, which is spent on timers and
// health checks. The backend servers run in the same process and are included.
func BenchmarkIdleNodes(b *testing.B) {
	for _, nodes := range []int{0, 10, 20} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			d := newDeployment(b, chainInventory, chainRules)
			for range nodes {
				d.startInstance("payments", text("paid"))
			}
			for b.Loop() {
				time.Sleep(idleSettle)
				before := processorTime(b)
				time.Sleep(idleMeasurement)
				b.ReportMetric(100*float64(processorTime(b)-before)/float64(idleMeasurement)/float64(max(nodes, 1)), "%core/node")
			}
		})
	}
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
