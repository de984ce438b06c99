package directory_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/directory"
)

func entry(address string, version uint64, service string) directory.Entry {
	return directory.Entry{Version: version, Node: directory.Node{Address: address + ":1", Service: service, Region: "rn", State: directory.Serving}}
}

// Guards against an old row that replaces a newer one when rows arrive out of order from several sources.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rows []directory.Entry
		var at directory.Position
		for i := range 20 {
			if rapid.IntRange(0, 5).Draw(t, "restored") == 0 {
				at = directory.Position{Era: at.Era + 1, Version: at.Version / 2}
			}
			at.Version++
			e := entry(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "address")), 0, fmt.Sprint(i)).WithPosition(at)
			e.Removed = rapid.Bool().Draw(t, "removed")
			rows = append(rows, e)
		}
		var ordered, shuffled directory.Directory
		for _, e := range rows {
			ordered.Merge(e)
		}
		for _, e := range rapid.Permutation(rows).Draw(t, "order") {
			shuffled.Merge(e)
			shuffled.Merge(e)
		}
		require.Equal(t, ordered.Nodes(), shuffled.Nodes())
		require.Equal(t, ordered.Position(), shuffled.Position())
		require.Equal(t, ordered.Since(directory.Position{}), shuffled.Since(directory.Position{}))
	})
}

// Guards against a node that stays in the directory although its row was removed while the change feed was not read.
func TestReplaceRemovesUnlistedRows(t *testing.T) {
	var d directory.Directory
	d.Merge(entry("a", 3, "maps"))
	d.Merge(entry("b", 4, "maps"))
	d.Merge(entry("c", 9, "maps"))
	d.Replace([]directory.Entry{entry("a", 3, "maps")}, nil, directory.Position{Version: 7}, false)
	var remaining []string
	for _, n := range d.Nodes() {
		remaining = append(remaining, n.Address)
	}
	require.Equal(t, []string{"a:1", "c:1"}, remaining, "c was written after the list was read")
	require.False(t, d.Merge(entry("b", 5, "maps")), "a row from before the list came back")
}

// Guards against rows that are ignored since the store has come back from an older copy and gives out versions again, and against
// nodes that are dropped before they could write their rows again.
func TestRowsOfLaterErasWin(t *testing.T) {
	var d directory.Directory
	d.Merge(entry("a", 30, "maps"))
	d.Merge(entry("b", 40, "maps"))
	restored := entry("a", 20, "nursery")
	restored.Era = 1
	d.Replace([]directory.Entry{restored}, nil, directory.Position{Era: 1, Version: 25}, true)
	require.Equal(t, directory.Position{Era: 1, Version: 25}, d.Position())
	require.Equal(t, "nursery", d.Nodes()[0].Service)
	require.Len(t, d.Nodes(), 2, "b has not written its row again yet")
	require.False(t, d.Merge(entry("a", 50, "maps")), "a row of the era before came back")
	require.Equal(t, []directory.Entry{restored}, d.Since(directory.Position{Version: 100}))
	d.Replace([]directory.Entry{restored}, nil, directory.Position{Era: 1, Version: 26}, false)
	require.Len(t, d.Nodes(), 1, "b has ended")
}

// Guards against a departure that is no longer passed on since the store held it, when the store has come back without it.
func TestDeparturesThatTheStoreLostArePassedOn(t *testing.T) {
	var d directory.Directory
	departed := directory.Departure{Address: "a:1", Backend: directory.Incarnation{ID: "one", StartMillis: 5}}
	require.True(t, d.AddPendingDeparture(departed))
	row := entry("a", 9, "maps")
	row.Node.State, row.Node.Backend = directory.Leaving, departed.Backend
	d.Merge(row)
	require.Empty(t, d.UnstoredDepartures())
	d.AdvancePosition(directory.Position{Era: 1, Version: 4})
	require.Equal(t, []directory.Departure{departed}, d.UnstoredDepartures())
	row.Era, row.Version = 1, 6
	d.Merge(row)
	require.Empty(t, d.UnstoredDepartures())
}

// Guards against an address that is still attributed to its former service after another service has reused it.
func TestNewestStateOfNodeWins(t *testing.T) {
	var d directory.Directory
	d.Merge(entry("a", 3, "maps"))
	n := entry("a", 0, "nursery").Node
	require.True(t, d.MergeReport(n))
	require.False(t, d.MergeReport(n))
	require.Equal(t, "nursery", d.Nodes()[0].Service)
	d.Merge(entry("a", 4, "imagery"))
	require.Equal(t, "imagery", d.Nodes()[0].Service)
	require.False(t, d.MergeReport(entry("unknown", 0, "maps").Node))
}

// Guards against malformed rows of another writer that are accepted as nodes.
func TestMergeRejectsInvalidNodes(t *testing.T) {
	var d directory.Directory
	for _, n := range []directory.Node{{}, {Address: "a:1", Slots: -1}, {Address: "a:1", State: 9}, {Address: "a:1", Service: string(make([]byte, 300))}} {
		require.False(t, d.Merge(directory.Entry{Node: n, Version: 1}), "%+v", n)
	}
	require.Empty(t, d.Nodes())
}

// Guards against an address of another writer that no connection can be opened to.
func TestMergeRejectsAddressesThatCannotBeDialed(t *testing.T) {
	var d directory.Directory
	for _, address := range []string{"", "10.0.0.1", "10.0.0.1:", ":80", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:65536",
		"10.0.0.1:99999999999999999999", "10.0.0.1:http", "10.0.0.1:80:80", strings.Repeat("a", 1<<20) + ":80"} {
		require.False(t, d.Merge(directory.Entry{Node: directory.Node{Address: address}, Version: 1}), "%.40s", address)
	}
	require.True(t, d.Merge(directory.Entry{Node: directory.Node{Address: "[::1]:65535"}, Version: 1}))
}

// Guards against a known node that is dropped because another writer left a row at its address that can't be read.
func TestReplaceKeepsNodesWithUnreadableRows(t *testing.T) {
	var d directory.Directory
	d.Merge(entry("a", 3, "maps"))
	d.Merge(entry("b", 4, "maps"))
	d.Replace(nil, []string{"a:1"}, directory.Position{Version: 7}, false)
	require.Len(t, d.Nodes(), 1)
	require.Equal(t, "a:1", d.Nodes()[0].Address)
}

// Guards against an availability zone in which no node, or each one, is the first.
func TestOneUsableNodeIsFirstInItsZone(t *testing.T) {
	var d directory.Directory
	for i, address := range []string{"a", "b", "c", "d"} {
		e := entry(address, uint64(i+1), "maps")
		e.Node.AvailabilityZone = []string{"rn-1", "rn-2"}[i%2]
		d.Merge(e)
	}
	first := func(unusable ...string) (list []string) {
		for _, n := range d.Nodes() {
			if !slices.Contains(unusable, n.Address) && directory.IsFirstInZone(d.Nodes(), n, func(a string) bool { return !slices.Contains(unusable, a) }) {
				list = append(list, n.Address)
			}
		}
		return list
	}
	require.Equal(t, []string{"a:1", "b:1"}, first())
	require.Equal(t, []string{"b:1", "c:1"}, first("a:1"))
	require.Equal(t, []string{"c:1"}, first("a:1", "b:1", "d:1"))
	unlisted := directory.Node{Address: "aa:1", Region: "rn", AvailabilityZone: "rn-3"}
	require.True(t, directory.IsFirstInZone(d.Nodes(), unlisted, func(string) bool { return true }))
}

// Guards against nodes that no other node keeps a connection to: they would get no updates while the store is unavailable.
func TestEveryNodeIsANeighbour(t *testing.T) {
	var d directory.Directory
	regions := []string{"rn", "ce"}
	for i := range 40 {
		e := entry(fmt.Sprintf("10.0.0.%d", i), uint64(i+1), "maps")
		e.Node.Region = regions[i%2]
		d.Merge(e)
	}
	incoming := map[string]int{}
	for _, n := range d.Nodes() {
		list := d.Neighbours(n.Address, n.Region, 2)
		require.NotContains(t, list, n.Address)
		for _, address := range list {
			incoming[address]++
		}
	}
	for _, n := range d.Nodes() {
		require.GreaterOrEqual(t, incoming[n.Address], 2, n.Address)
	}
}

// Guards against departures that are passed on without end although the store holds them or their backend server has ended, against one
// that is dropped before, and against nodes that keep different ones because they heard of them in another order.
func TestPendingDeparturesArePassedOnUntilTheyAreStored(t *testing.T) {
	departure := func(start int64) directory.Departure {
		return directory.Departure{Address: "a:1", Backend: directory.Incarnation{ID: "i", StartMillis: start}}
	}
	row := func(version uint64, start int64, state directory.State) directory.Entry {
		e := entry("a", version, "maps")
		e.Node.Backend, e.Node.State = departure(start).Backend, state
		return e
	}
	var d directory.Directory
	require.Empty(t, d.UnstoredDepartures())
	d.AddPendingDeparture(departure(5))
	require.Equal(t, []directory.Departure{departure(5)}, d.UnstoredDepartures(), "without a row")
	d.Merge(row(1, 5, directory.Serving))
	require.Equal(t, []directory.Departure{departure(5)}, d.UnstoredDepartures())
	d.Merge(row(2, 5, directory.Leaving))
	require.Empty(t, d.UnstoredDepartures())
	d.AddPendingDeparture(departure(6))
	require.Equal(t, []directory.Departure{departure(6)}, d.UnstoredDepartures())
	d.Merge(row(3, 7, directory.Serving))
	require.Empty(t, d.UnstoredDepartures())
	d.AddPendingDeparture(departure(7))
	require.Len(t, d.UnstoredDepartures(), 1)
	removed := row(4, 7, directory.Serving)
	removed.Removed = true
	d.Merge(removed)
	require.Empty(t, d.UnstoredDepartures())

	rapid.Check(t, func(t *rapid.T) {
		added := rapid.SliceOf(rapid.Int64Range(1, 9)).Draw(t, "starts")
		var one, two directory.Directory
		for _, start := range added {
			one.AddPendingDeparture(departure(start))
		}
		for _, start := range rapid.Permutation(append(added, added...)).Draw(t, "permuted") {
			two.AddPendingDeparture(departure(start))
		}
		require.Equal(t, one.PendingDepartures("a:1"), two.PendingDepartures("a:1"))
	})
}

// Guards against a departure that is confirmed to its node although it isn't kept.
func TestDroppedDepartureIsNotReportedAsKept(t *testing.T) {
	departure := func(address, id string, start int64) directory.Departure {
		return directory.Departure{Address: address, Backend: directory.Incarnation{ID: id, StartMillis: start}}
	}
	var d directory.Directory
	for start := int64(5); start < 9; start++ {
		require.True(t, d.AddPendingDeparture(departure("a:1", "i", start)))
	}
	require.True(t, d.AddPendingDeparture(departure("a:1", "i", 6)), "it is kept already")
	require.False(t, d.AddPendingDeparture(departure("a:1", "i", 4)), "those of four later starts are kept")
	require.False(t, d.AddPendingDeparture(departure("a:1", strings.Repeat("i", 201), 10)))
	require.False(t, d.AddPendingDeparture(departure(strings.Repeat("a", 201), "i", 10)))
	for i := range 4095 {
		require.True(t, d.AddPendingDeparture(departure(fmt.Sprint("b:", i), "i", 1)))
	}
	require.False(t, d.AddPendingDeparture(departure("c:1", "i", 1)), "too many nodes")
}
