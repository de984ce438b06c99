package membership_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lovagelane/membership"
)

// memberCounts are the target size and a larger size that shows how the cost grows.
var memberCounts = []int{590, 2000}

func testMembers(n int) []membership.Member {
	members := make([]membership.Member, n)
	for i := range members {
		m := member(fmt.Sprintf("%032x", i*7919), 3)
		m.Service, m.AvailabilityZone = fmt.Sprintf("service-%d", i%37), fmt.Sprintf("rn-%d", i%5)
		m.Region = []string{"rn", "ce"}[i%2]
		m.Calls, m.Control, m.Callers = address(i, 7100), address(i, 7300), address(i, 8080)
		m.Started = start.UnixMilli()
		members[i] = m
	}
	return members
}

func address(i, port int) string { return fmt.Sprintf("10.0.%d.%d:%d", i/250, i%250, port) }

func forEachSize(b *testing.B, f func(b *testing.B, members []membership.Member)) {
	for _, n := range memberCounts {
		members := testMembers(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) { f(b, members) })
	}
}

// BenchmarkViewMemory measures the heap bytes per member of a view.
func BenchmarkViewMemory(b *testing.B) {
	forEachSize(b, func(b *testing.B, members []membership.Member) {
		for b.Loop() {
			before := heapBytes()
			v := membership.NewView(start, members[0])
			for _, m := range testMembers(len(members)) {
				v.Merge(start, m)
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(len(members)), "B/member")
			runtime.KeepAlive(v)
		}
	})
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkMerge measures the merge of an announcement that changes the view, including the update of the digest.
func BenchmarkMerge(b *testing.B) {
	forEachSize(b, func(b *testing.B, members []membership.Member) {
		v := viewOf(members)
		for i := 0; b.Loop(); i++ {
			m := members[i%len(members)]
			m.Counter = uint64(i + 10)
			v.Merge(start, m)
		}
	})
}

// BenchmarkMergeKnown measures the merge of an announcement that is already in the view, as most flooded copies are.
func BenchmarkMergeKnown(b *testing.B) {
	forEachSize(b, func(b *testing.B, members []membership.Member) {
		v := viewOf(members)
		for i := 0; b.Loop(); i++ {
			v.Merge(start, members[i%len(members)])
		}
	})
}

// BenchmarkLive measures the list of live members, which is rebuilt after each change of the view.
func BenchmarkLive(b *testing.B) {
	forEachSize(b, func(b *testing.B, members []membership.Member) {
		v := viewOf(members)
		for b.Loop() {
			v.Live()
		}
	})
}

// BenchmarkDiffering measures the comparison with a digest that differs in one bucket.
func BenchmarkDiffering(b *testing.B) {
	forEachSize(b, func(b *testing.B, members []membership.Member) {
		v, other := viewOf(members), viewOf(members[1:])
		d := other.Digest()
		for b.Loop() {
			v.Differing(d)
		}
	})
}

// BenchmarkTick measures a tick of a view without suspicions.
func BenchmarkTick(b *testing.B) {
	forEachSize(b, func(b *testing.B, members []membership.Member) {
		v := viewOf(members)
		for i := 0; b.Loop(); i++ {
			v.Tick(start.Add(time.Duration(i)*100*time.Millisecond), false)
		}
	})
}

// BenchmarkRings measures the rebuild of the rings after a change of the members.
func BenchmarkRings(b *testing.B) {
	forEachSize(b, func(b *testing.B, members []membership.Member) {
		for b.Loop() {
			membership.NewRings(members)
		}
	})
}

// BenchmarkWatched measures the selection of peers, which package control repeats in each tick.
func BenchmarkWatched(b *testing.B) {
	forEachSize(b, func(b *testing.B, members []membership.Member) {
		r := membership.NewRings(members)
		for b.Loop() {
			r.Watched(members[0])
			r.Links(members[0])
		}
	})
}
