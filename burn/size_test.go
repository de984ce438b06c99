package burn_test

import (
	"fmt"
	"runtime"
	"testing"

	"lovagelane/burn"
	"lovagelane/kernel"
)

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkSeriesMemory measures the heap of a series of the burn report.
func BenchmarkSeriesMemory(b *testing.B) {
	const measured = 200
	for b.Loop() {
		before := heap()
		r := burn.NewRecorder(burn.Node{ID: "node"}, kernel.SystemClock{})
		for i := range measured {
			r.Record(burn.Key{Service: fmt.Sprintf("service-%d", i)}, burn.KindGood)
		}
		b.ReportMetric(float64(heap()-before)/measured, "B/series")
		runtime.KeepAlive(r)
	}
}
