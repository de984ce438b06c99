package quarantine_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lovagelane/quarantine"
)

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkEntryMemory measures the heap of a digest with the crashes that quarantine it.
func BenchmarkEntryMemory(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	for b.Loop() {
		before := heap()
		var t quarantine.Table
		for i := range quarantine.MaxDigests {
			for crash := range quarantine.CrashBound {
				t.Merge(now, quarantine.Report{Digest: uint64(i), Crash: fmt.Sprintf("%032x-%d", i, crash)})
			}
		}
		b.ReportMetric(float64(heap()-before)/quarantine.MaxDigests, "B/entry")
		runtime.KeepAlive(&t)
	}
}
