package quarantine_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lovagelane/quarantine"
)

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkEntryMemory measures the heap size of a quarantined digest with its crashes.
func BenchmarkEntryMemory(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	for b.Loop() {
		before := heapBytes()
		var t quarantine.Table
		for i := range quarantine.MaxDigests {
			for crash := range quarantine.MaxCrashes {
				t.Merge(now, quarantine.Report{Digest: uint64(i), Crash: fmt.Sprintf("%032x-%d", i, crash)})
			}
		}
		b.ReportMetric(float64(heapBytes()-before)/quarantine.MaxDigests, "B/entry")
		runtime.KeepAlive(&t)
	}
}
