package quarantine_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/quarantine"
)

var start = time.Unix(1e6, 0)

// Guards against a request that is not refused after MaxCrashes crashes, or is refused for longer or shorter than its
// quarantine.
func TestSecondCrashQuarantines(t *testing.T) {
	var table quarantine.Table
	require.False(t, table.Refuses(start, 7, 0))
	require.Equal(t, []quarantine.Report{{Digest: 7, Crash: "a-1"}}, table.Crashed(start, "a-1", []uint64{7, 7}))
	require.Empty(t, table.Crashed(start, "a-1", []uint64{7}))
	require.Equal(t, 1, table.Crashes(start, 7), "a crash counts once")
	require.False(t, table.Refuses(start, 7, 1))
	require.True(t, table.Refuses(start, 8, quarantine.MaxCrashes), "by the count received with the call")

	require.True(t, table.Merge(start, quarantine.Report{Digest: 7, Crash: "b-1"}))
	require.Equal(t, 2, table.Crashes(start, 7))
	sent := start.Add(quarantine.Period - 1)
	require.True(t, table.Refuses(sent, 7, 0))
	require.True(t, table.Refuses(sent.Add(quarantine.Period-1), 7, 0), "the previous send restarted the quarantine")
	ended := sent.Add(2*quarantine.Period - 1)
	require.False(t, table.Refuses(ended, 7, 0))
	require.Equal(t, 1, table.Crashes(ended, 7), "the count sent with a call must not cause a refusal")

	require.True(t, table.Merge(ended, quarantine.Report{Digest: 7, Crash: "c-1"}))
	require.True(t, table.Refuses(ended, 7, 0), "one more crash is enough")
	require.Zero(t, table.Crashes(ended.Add(quarantine.CrashTTL), 7))
	require.Zero(t, table.Len())
}

// Guards against the quarantine of a popular request that is only in flight at crashes and is answered elsewhere.
func TestAnswersClearPopularRequests(t *testing.T) {
	const popular, crasher = uint64(1), uint64(2)
	var a, b quarantine.Table
	exchange := func(from, to *quarantine.Table, reports []quarantine.Report) {
		for _, r := range reports {
			require.True(t, to.Merge(start, r))
			require.False(t, from.Merge(start, r), "a report that returns is not gossiped again")
		}
	}
	for n := range 20 {
		exchange(&a, &b, a.Crashed(start, fmt.Sprint("a-", n), []uint64{popular, crasher}))
		exchange(&b, &a, b.Answered(start, popular))
		require.Empty(t, b.Answered(start, popular), "no new reports to gossip")
		for _, table := range []*quarantine.Table{&a, &b} {
			require.False(t, table.Refuses(start, popular, table.Crashes(start, popular)))
			require.Equal(t, n > 0, table.Refuses(start, crasher, 0))
		}
	}
}

// Guards against nodes that disagree because they received reports in a different order or more than once.
func TestReportsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) quarantine.Report {
			return quarantine.Report{
				Digest:  rapid.Uint64Range(1, 2).Draw(t, "digest"),
				Crash:   rapid.SampledFrom([]string{"a-1", "a-2", "b-1", "c-1"}).Draw(t, "crash"),
				Cleared: rapid.Bool().Draw(t, "cleared"),
			}
		}), 1, 20).Draw(t, "reports")
		var one, two quarantine.Table
		for _, r := range reports {
			one.Merge(start, r)
		}
		for _, r := range rapid.Permutation(append(reports, reports...)).Draw(t, "permuted") {
			two.Merge(start, r)
		}
		for digest := uint64(1); digest <= 2; digest++ {
			require.Equal(t, one.Crashes(start, digest), two.Crashes(start, digest))
			require.Equal(t, one.Refuses(start, digest, 0), two.Refuses(start, digest, 0))
		}
	})
}

// Guards against a table that grows without bound, or evicts a quarantined digest before one with fewer crashes.
func TestTableEvictsDigestsWithFewestCrashes(t *testing.T) {
	var table quarantine.Table
	table.Crashed(start, "a-1", []uint64{1, 2})
	table.Crashed(start, "a-2", []uint64{1})
	for digest := uint64(3); digest < 3+quarantine.MaxDigests; digest++ {
		table.Crashed(start.Add(time.Second), "a-3", []uint64{digest})
	}
	require.Equal(t, quarantine.MaxDigests, table.Len())
	require.True(t, table.Refuses(start, 1, 0))
	require.Zero(t, table.Crashes(start, 2), "the oldest digest with one crash is evicted first")
	require.Equal(t, 1, table.Crashes(start, 2+quarantine.MaxDigests))

	require.False(t, table.Merge(start, quarantine.Report{Digest: 1, Crash: strings.Repeat("x", 97)}))
	for n := range 20 {
		table.Crashed(start, fmt.Sprint("b-", n), []uint64{1})
	}
	require.Equal(t, 8, table.Crashes(start, 1), "maximum of distinct crashes for one digest")
	require.Len(t, table.Answered(start, 1), 8)
	require.NotEmpty(t, table.Crashed(start, "c-1", []uint64{1}))
	require.Equal(t, 1, table.Crashes(start, 1), "new crashes replace cleared ones")
}

// Guards against a request that is not refused again when it crashes a backend server after its quarantine has ended, because
// the table already holds as many of its crashes as it may.
func TestCrashAfterManyCrashesQuarantinesAgain(t *testing.T) {
	var table quarantine.Table
	now := start
	for i := range 20 {
		require.False(t, table.Refuses(now, 7, 0))
		for table.Merge(now, quarantine.Report{Digest: 7, Crash: fmt.Sprint("a-", i, "-", table.Crashes(now, 7))}) &&
			!table.Refuses(now, 7, 0) {
		}
		require.True(t, table.Refuses(now, 7, 0), "quarantine %d", i)
		now = now.Add(quarantine.Period)
	}
}
