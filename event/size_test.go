package event_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lovagelane/event"
)

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkHistogramMemory measures the heap size of a duration histogram.
func BenchmarkHistogramMemory(b *testing.B) {
	const histograms = 100
	for b.Loop() {
		before := heapBytes()
		m := event.NewMetrics()
		for i := range histograms {
			m.Observe("calls", time.Millisecond, fmt.Sprint(i))
		}
		b.ReportMetric(float64(heapBytes()-before)/histograms, "B/histogram")
		runtime.KeepAlive(m)
	}
}
