package quarantine_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

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

// BenchmarkSnapshotSize measures the encoded size of a digest in a snapshot. One crash has 70 digests in flight.
func BenchmarkSnapshotSize(b *testing.B) {
	const inFlight = 70
	now := time.Unix(1_000_000, 0)
	for b.Loop() {
		var t quarantine.Table
		for i := range quarantine.MaxDigests {
			crash := fmt.Sprintf("i-%08x@2026-12-07T17:00:00.000Z", i/inFlight)
			t.Merge(now, quarantine.Report{Digest: uint64(i+1) * 0x9e3779b97f4a7c15, Crash: crash})
		}
		later := now.Add(time.Minute)
		encoded, err := cbor.Marshal(t.Snapshot(later))
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(encoded))/quarantine.MaxDigests, "B/entry")
	}
}

// BenchmarkSum measures the sum of a full table after a change.
func BenchmarkSum(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	var t quarantine.Table
	for i := range quarantine.MaxDigests {
		t.Merge(now, quarantine.Report{Digest: uint64(i), Crash: "i-0@2026-12-07T17:00:00.000Z"})
	}
	for i := 0; b.Loop(); i++ {
		t.Merge(now, quarantine.Report{Digest: 1, Crash: fmt.Sprint(i)})
		t.Answered(now, 1)
		t.Sum(now)
	}
}
