package burn_test

import (
	"fmt"
	"runtime"
	"testing"

	"lovagelane/burn"
	"lovagelane/kernel"
)

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkSeriesMemory measures the heap memory of one series.
func BenchmarkSeriesMemory(b *testing.B) {
	const seriesCount = 200
	for b.Loop() {
		before := heapBytes()
		r := burn.NewRecorder(burn.Node{ID: "node"}, kernel.SystemClock{})
		for i := range seriesCount {
			r.Record(burn.Key{Service: fmt.Sprintf("service-%d", i)}, burn.KindGood)
		}
		b.ReportMetric(float64(heapBytes()-before)/seriesCount, "B/series")
		runtime.KeepAlive(r)
	}
}
