package event_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lovagelane/event"
)

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkHistogramMemory measures the heap of a histogram of durations.
func BenchmarkHistogramMemory(b *testing.B) {
	const measured = 100
	for b.Loop() {
		before := heap()
		m := event.NewMetrics()
		for i := range measured {
			m.Observe("calls", time.Millisecond, fmt.Sprint(i))
		}
		b.ReportMetric(float64(heap()-before)/measured, "B/histogram")
		runtime.KeepAlive(m)
	}
}
