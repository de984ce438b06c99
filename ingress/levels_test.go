package ingress_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/call"
	"lovagelane/ingress"
)

var (
	epoch  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	strict = call.Priority{Rank: 3, Value: 100}
	bulk   = call.Priority{Rank: 6, Value: 10}
)

const ms = time.Millisecond

// Guards against a learned level that is ignored, applied to another operation, or kept without confirmation.
// Mutation: Admit always true; inForce without the release.
func TestLevelIsLearnedAndReleased(t *testing.T) {
	var l ingress.Levels
	require.True(t, l.Admit(epoch, "maps", bulk))
	l.Learn(epoch, "maps", strict)
	require.False(t, l.Admit(epoch, "maps", bulk))
	require.True(t, l.Admit(epoch, "maps", strict))
	require.True(t, l.Admit(epoch, "orders", bulk))
	level, age := l.Level(epoch.Add(300*ms), "maps")
	require.Equal(t, strict, level)
	require.Equal(t, 300*ms, age)

	before := level
	for at := time.Second; at <= 3*time.Second; at += 50 * ms {
		level, _ := l.Level(epoch.Add(at), "maps")
		require.GreaterOrEqual(t, level.Key(), before.Key(), "released at %v", at)
		before = level
	}
	require.Equal(t, call.LeastImportant, before)
	level, _ = l.Level(epoch.Add(1100*ms), "maps")
	require.Less(t, level.Key(), strict.Key()+100, "released in steps")
}

// Guards against a level that stays strict because no request beyond it is admitted, and against too many probes.
// Mutation: probeInterval of an hour, or of 0.
func TestProbes(t *testing.T) {
	var l ingress.Levels
	probes := 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * ms {
		l.Learn(epoch.Add(at), "maps", strict)
		if l.Admit(epoch.Add(at), "maps", bulk) {
			probes++
		}
	}
	require.InDelta(t, 20, probes, 2)
}

// Guards against one strict backend server of six that sheds requests that the others can serve, and against a level that many
// less strict answers do not raise.
// Mutation: the strictest answer always wins; a less strict answer changes nothing.
func TestAnswersOfSeveralBackendServers(t *testing.T) {
	var l ingress.Levels
	now := epoch
	for i := range 60 {
		now = now.Add(10 * ms)
		if i%6 == 0 {
			l.Learn(now, "maps", strict)
		} else {
			l.Learn(now, "maps", call.LeastImportant)
		}
		level, _ := l.Level(now, "maps")
		require.True(t, i < 30 || level.Key() > call.Priority{Rank: 7}.Key(), "%s after %d answers", level, i)
	}
	for range 30 {
		l.Learn(now, "maps", call.LeastImportant)
	}
	level, _ := l.Level(now, "maps")
	require.Equal(t, call.LeastImportant, level)
}

// Guards against a level stricter than every answer, one that stays for 3 s without confirmation, and one that refuses a
// request as important as the strictest answer.
// Mutation: Learn moving the level by twice the distance.
func TestLevelStaysWithinTheAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l ingress.Levels
		now, strictest := epoch, call.LeastImportant
		for range rapid.IntRange(1, 50).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * ms)
			p := call.PriorityFromKey(uint16(rapid.IntRange(0, int(call.LeastImportant.Key())).Draw(t, "key")))
			l.Learn(now, "maps", p)
			strictest = call.MoreImportant(strictest, p)
			level, age := l.Level(now, "maps")
			require.GreaterOrEqual(t, level.Key(), strictest.Key())
			require.LessOrEqual(t, level.Key(), call.LeastImportant.Key())
			require.GreaterOrEqual(t, age, time.Duration(0))
			require.True(t, l.Admit(now, "maps", strictest))
		}
		require.True(t, l.Admit(now.Add(3*time.Second), "maps", call.LeastImportant))
	})
}

// Guards against unbounded memory for the names of operations, classes and callers.
// Mutation: maxOperations, maxClasses or maxCallers of 1<<30.
func TestTablesAreBounded(t *testing.T) {
	var l ingress.Levels
	var s ingress.Shares
	heapAfter := func(from, to int) uint64 {
		for i := from; i < to; i++ {
			name := fmt.Sprint("name-", i)
			l.Learn(epoch, name, strict)
			s.Value(epoch, "class", name, 0)
			s.Value(epoch, name, "caller", 0)
		}
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heapAfter(0, 5000)
	require.Less(t, heapAfter(5000, 50000), before+1<<20)
	runtime.KeepAlive(&l)
	runtime.KeepAlive(&s)
}

func BenchmarkAdmitLearn(b *testing.B) {
	var l ingress.Levels
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		if l.Admit(now, "maps", strict) {
			l.Learn(now, "maps", strict)
		}
	}
}
