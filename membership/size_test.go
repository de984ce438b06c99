package membership_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lovagelane/membership"
)

// sizes are the target size and a larger one that shows the slope.
var sizes = []int{590, 2000}

func manyMembers(n int) []membership.Member {
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

func bySize(b *testing.B, f func(b *testing.B, members []membership.Member)) {
	for _, n := range sizes {
		members := manyMembers(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) { f(b, members) })
	}
}

// BenchmarkViewMemory measures the heap of a view for each member.
func BenchmarkViewMemory(b *testing.B) {
	bySize(b, func(b *testing.B, members []membership.Member) {
		for b.Loop() {
			before := heap()
			v := membership.NewView(start, members[0])
			for _, m := range manyMembers(len(members)) {
				v.Merge(start, m)
			}
			b.ReportMetric(float64(heap()-before)/float64(len(members)), "B/member")
			runtime.KeepAlive(v)
		}
	})
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkMerge measures an announcement that changes the view, with the digest that it keeps up to date.
func BenchmarkMerge(b *testing.B) {
	bySize(b, func(b *testing.B, members []membership.Member) {
		v := viewOf(members)
		for i := 0; b.Loop(); i++ {
			m := members[i%len(members)]
			m.Counter = uint64(i + 10)
			v.Merge(start, m)
		}
	})
}

// BenchmarkMergeKnown measures an announcement that the view has already, as most flooded copies are.
func BenchmarkMergeKnown(b *testing.B) {
	bySize(b, func(b *testing.B, members []membership.Member) {
		v := viewOf(members)
		for i := 0; b.Loop(); i++ {
			v.Merge(start, members[i%len(members)])
		}
	})
}

// BenchmarkLive measures the list that is built after each change of the view.
func BenchmarkLive(b *testing.B) {
	bySize(b, func(b *testing.B, members []membership.Member) {
		v := viewOf(members)
		for b.Loop() {
			v.Live()
		}
	})
}

// BenchmarkDiffering measures the answer to a digest that differs in one part.
func BenchmarkDiffering(b *testing.B) {
	bySize(b, func(b *testing.B, members []membership.Member) {
		v, other := viewOf(members), viewOf(members[1:])
		d := other.Digest()
		for b.Loop() {
			v.Differing(d)
		}
	})
}

// BenchmarkTick measures the periodic work on a view without suspicions.
func BenchmarkTick(b *testing.B) {
	bySize(b, func(b *testing.B, members []membership.Member) {
		v := viewOf(members)
		for i := 0; b.Loop(); i++ {
			v.Tick(start.Add(time.Duration(i)*100*time.Millisecond), false)
		}
	})
}

// BenchmarkRings measures the recomputation after a change of the members.
func BenchmarkRings(b *testing.B) {
	bySize(b, func(b *testing.B, members []membership.Member) {
		for b.Loop() {
			membership.NewRings(members)
		}
	})
}

// BenchmarkWatched measures the choice of peers, which each tick of control repeats.
func BenchmarkWatched(b *testing.B) {
	bySize(b, func(b *testing.B, members []membership.Member) {
		r := membership.NewRings(members)
		for b.Loop() {
			r.Watched(members[0])
			r.Links(members[0])
		}
	})
}
