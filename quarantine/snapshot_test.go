package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/quarantine"
)

// Guards against nodes that disagree after they have exchanged their tables, because of the order or the repetition of the snapshots.
func TestSnapshotsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tables [3]quarantine.Table
		node := rapid.IntRange(0, len(tables)-1)
		for _, r := range rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.Report {
			return quarantine.Report{
				Digest:  rapid.Uint64Range(1, 2).Draw(t, "digest"),
				Crash:   rapid.SampledFrom([]string{"a-1", "a-2", "b-1", "c-1"}).Draw(t, "crash"),
				Cleared: rapid.Bool().Draw(t, "cleared"),
			}
		}), 1, 20).Draw(t, "reports") {
			tables[node.Draw(t, "reporter")].Merge(start, r)
		}
		exchange := func(from, to int) { tables[to].MergeSnapshot(start, tables[from].Snapshot(start)) }
		for range rapid.IntRange(0, 10).Draw(t, "exchanges") {
			exchange(node.Draw(t, "from"), node.Draw(t, "to"))
		}
		for from := range tables {
			exchange(from, 0)
		}
		for to := range tables {
			exchange(0, to)
			require.Zero(t, tables[to].MergeSnapshot(start, tables[0].Snapshot(start)), "a repeated snapshot adds nothing")
			require.Equal(t, tables[0].Sum(start), tables[to].Sum(start))
			for digest := uint64(1); digest <= 2; digest++ {
				require.Equal(t, tables[0].Crashes(start, digest), tables[to].Crashes(start, digest))
				require.Equal(t, tables[0].Refuses(start, digest, 0), tables[to].Refuses(start, digest, 0))
			}
		}
	})
}

// Guards against a request that is refused without end because nodes that start get its crashes as if they were new, and pass them on.
func TestPassedOnCrashesKeepTheirAge(t *testing.T) {
	var a quarantine.Table
	a.Crashed(start, "a-1", []uint64{7})
	a.Crashed(start, "b-1", []uint64{7})
	last := &a
	now := start
	for ; now.Before(start.Add(quarantine.CrashTTL)); now = now.Add(time.Minute) {
		var started quarantine.Table
		require.Equal(t, 2, started.MergeSnapshot(now, last.Snapshot(now)))
		require.Equal(t, now.Before(start.Add(quarantine.Period)), started.Crashes(now, 7) == 2, now.Sub(start))
		last = &started
	}
	require.Zero(t, last.Sum(now))
	require.Empty(t, last.Snapshot(now).Records)
	require.Zero(t, last.Len())
}

// Guards against a quarantine that ends early at a node that starts, although the request has been sent again and refused since.
func TestPassedOnQuarantineIncludesRefusedSends(t *testing.T) {
	var a, b, started quarantine.Table
	for _, crash := range []string{"a-1", "b-1"} {
		a.Crashed(start, crash, []uint64{7})
		b.Crashed(start, crash, []uint64{7})
	}
	sent := start.Add(quarantine.Period - time.Second)
	require.True(t, a.Refuses(sent, 7, 0))
	ended := start.Add(quarantine.Period)
	require.Equal(t, 1, b.Crashes(ended, 7))
	require.Zero(t, b.MergeSnapshot(ended, a.Snapshot(ended)))
	started.MergeSnapshot(ended, b.Snapshot(ended))
	for _, table := range []*quarantine.Table{&a, &b, &started} {
		require.Equal(t, 2, table.Crashes(ended, 7))
		require.Equal(t, 1, table.Crashes(sent.Add(quarantine.Period), 7))
	}
}

// Guards against a sum that stays the same although a crash was added, cleared or removed: the nodes would not exchange it.
func TestSumFollowsTheTable(t *testing.T) {
	var table quarantine.Table
	seen := map[uint64]string{0: "empty"}
	expectNew := func(what string, now time.Time) {
		t.Helper()
		sum := table.Sum(now)
		require.NotContains(t, seen, sum, what)
		seen[sum] = what
	}
	table.Crashed(start, "a-1", []uint64{1})
	expectNew("a crash", start)
	table.Crashed(start, "a-1", []uint64{2})
	expectNew("another digest", start)
	table.Crashed(start.Add(time.Minute), "b-1", []uint64{1})
	expectNew("another crash", start)
	table.Answered(start.Add(2*time.Minute), 1)
	expectNew("cleared", start)
	expectNew("the older digest expired", start.Add(quarantine.CrashTTL))
	require.Equal(t, 1, table.Len())
	require.Zero(t, table.Sum(start.Add(2*time.Minute+quarantine.CrashTTL)))
}

// Guards against a malformed snapshot that ends the process or is merged, and against a full table that takes more than a message.
func TestSnapshotIsCheckedAndBounded(t *testing.T) {
	valid := quarantine.Record{Digest: 1, Uncleared: []uint16{0}}
	for name, change := range map[string]func(r *quarantine.Record){
		"unknown crash":         func(r *quarantine.Record) { r.Uncleared = []uint16{1} },
		"unknown cleared crash": func(r *quarantine.Record) { r.Cleared = []uint16{9} },
		"from the future":       func(r *quarantine.Record) { r.IdleMS = -1 },
		"expired":               func(r *quarantine.Record) { r.IdleMS = quarantine.CrashTTL.Milliseconds() },
		"negative quarantine":   func(r *quarantine.Record) { r.QuarantineMS = -1 },
		"endless quarantine":    func(r *quarantine.Record) { r.QuarantineMS = 1 << 62 },
		"too many crashes":      func(r *quarantine.Record) { r.Uncleared = make([]uint16, 9) },
	} {
		r := valid
		change(&r)
		var table quarantine.Table
		require.Zero(t, table.MergeSnapshot(start, quarantine.Snapshot{Crashes: []string{"a-1"}, Records: []quarantine.Record{r}}), name)
		require.Zero(t, table.Len(), name)
	}
	var table quarantine.Table
	for digest := range uint64(quarantine.MaxDigests + 1) {
		for crash := range 8 {
			table.Crashed(start, fmt.Sprintf("%032x@2026-12-07T17:00:00.%03dZ", digest, crash), []uint64{digest << 40})
		}
	}
	b, err := cbor.Marshal(table.Snapshot(start))
	require.NoError(t, err)
	require.Less(t, len(b), 4<<20)
	var s quarantine.Snapshot
	require.NoError(t, cbor.Unmarshal(b, &s))
	var started quarantine.Table
	started.MergeSnapshot(start, s)
	require.Equal(t, table.Sum(start), started.Sum(start))
}
