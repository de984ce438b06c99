package ingress_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lovagelane/call"
	"lovagelane/ingress"
)

// tableSize is the bound on the tables of operations and callers.
const tableSize = 1024

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkStateMemory reports the heap bytes per learned level and per caller's share.
func BenchmarkStateMemory(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	b.Run("level", func(b *testing.B) {
		for b.Loop() {
			before := heapBytes()
			var l ingress.Levels
			for i := range tableSize {
				l.Learn(now, fmt.Sprintf("GET /service-%d/page", i), call.Priority{Rank: 4, Value: 3})
			}
			b.ReportMetric(float64(heapBytes()-before)/tableSize, "B/operation")
			runtime.KeepAlive(&l)
		}
	})
	b.Run("share", func(b *testing.B) {
		for b.Loop() {
			before := heapBytes()
			var s ingress.Shares
			for i := range tableSize {
				s.Value(now, "orders", fmt.Sprintf("workshop-%d", i), 1)
			}
			b.ReportMetric(float64(heapBytes()-before)/tableSize, "B/caller")
			runtime.KeepAlive(&s)
		}
	})
}
