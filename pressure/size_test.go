package pressure_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lovagelane/call"
	"lovagelane/pressure"
)

// measured is the bound on the tables.
const measured = 1024

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkStateMemory measures the heap of a learned level and of a caller's share.
func BenchmarkStateMemory(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	b.Run("level", func(b *testing.B) {
		for b.Loop() {
			before := heap()
			var l pressure.Levels
			for i := range measured {
				l.Learn(now, fmt.Sprintf("GET /service-%d/page", i), call.Priority{Rank: 4, Value: 3})
			}
			b.ReportMetric(float64(heap()-before)/measured, "B/operation")
			runtime.KeepAlive(&l)
		}
	})
	b.Run("share", func(b *testing.B) {
		for b.Loop() {
			before := heap()
			var s pressure.Shares
			for i := range measured {
				s.Value(now, "orders", fmt.Sprintf("workshop-%d", i), 1)
			}
			b.ReportMetric(float64(heap()-before)/measured, "B/caller")
			runtime.KeepAlive(&s)
		}
	})
}
