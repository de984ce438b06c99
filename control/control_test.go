package control

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"

	"lovagelane/event"
	"lovagelane/inventory"
	"lovagelane/keys"
	"lovagelane/membership"
	"lovagelane/quarantine"
	"lovagelane/rollout"
	"lovagelane/tablestore"
)

const (
	testInventory = `[region rn]
[region ce]
[availability-zone rn-1]
region = rn
[availability-zone ce-1]
region = ce
[service maps]
slots = 70
connections = 500
timeout = 2s
[backend-servers maps rn-1]
count = %d
`
	testRules = `[class lookups]
rank = 6
default = yes
`
)

func applyConfig(t testing.TB, store *memoryStore, base uint64) {
	t.Helper()
	files := []inventory.File{
		{Name: "inventory.ini", Text: fmt.Sprintf(testInventory, base+1)},
		{Name: "rules.ini", Text: testRules},
	}
	accepted, err := rollout.Apply(context.Background(), store, files, "operator", base)
	require.NoError(t, err)
	require.Equal(t, base+1, accepted.Version)
}

// Guards against members that never discover each other, and against a configuration that does not reach every node.
func TestNodesJoinAndAdoptConfiguration(t *testing.T) {
	store := newMemoryStore()
	nodes := startNodes(t, 8, store)
	eventually(t, "all nodes see each other", allSee(nodes, 8))
	applyConfig(t, store, 0)
	nodes[3].PollStore()
	eventually(t, "version 1 in force everywhere", allInForce(nodes, 1))
}

// Guards against a node that needs the store to join or to start, and against a restarted node that first puts an older
// version in force than the one that the other nodes have.
func TestNodesJoinDuringStoreOutage(t *testing.T) {
	store := newMemoryStore()
	nodes := startNodes(t, 5, store)
	eventually(t, "all nodes see each other", allSee(nodes, 5))
	applyConfig(t, store, 0)
	eventually(t, "version 1 in force everywhere", allInForce(nodes, 1))
	applyConfig(t, store, 1)
	eventually(t, "version 2 in force everywhere", allInForce(nodes, 2))
	store.setDown(true)

	require.NoError(t, nodes[4].Stop())
	eventually(t, "the stopped node has left", allSee(nodes[:4], 4))
	restarted := startNode(t, nodeOptions{
		id: "n04-again", region: "rn", listen: nodes[4].Address(), seeds: []string{nodes[0].Address()}, store: store,
	})
	nodes[4] = restarted
	eventually(t, "all nodes see each other without the store", allSee(nodes, 5))
	eventually(t, "the restarted node has version 2 in force", allInForce(nodes, 2))
	require.Equal(t, []uint64{2}, restarted.inForceVersions(), "an older version was put in force first")
}

// Guards against a store that never answers and thereby blocks joining, the distribution of a configuration, or a stop.
func TestHangingStoreBlocksNothing(t *testing.T) {
	store := newMemoryStore()
	applyConfig(t, store, 0)
	nodes := []*testNode{startNode(t, nodeOptions{id: "a", region: "rn", store: store})}
	eventually(t, "the first node has version 1 in force", allInForce(nodes, 1))
	for _, id := range []string{"b", "c", "d"} {
		nodes = append(nodes, startNode(t, nodeOptions{
			id: id, region: "rn", seeds: []string{nodes[0].Address()}, store: hangingStore{store},
		}))
	}
	eventually(t, "all nodes see each other", allSee(nodes, 4))
	eventually(t, "version 1 in force everywhere", allInForce(nodes, 1))
	require.NoError(t, nodes[3].Stop())
	eventually(t, "the stopped node has left", allSee(nodes[:3], 3))
}

// Guards against two groups of nodes that started separately, without a store, and never merge.
func TestSeparateGroupsMergeThroughSeeds(t *testing.T) {
	left := startRegion(t, 3)
	right := startNode(t, nodeOptions{id: "x", region: "rn"})
	bridge := startNode(t, nodeOptions{id: "y", region: "rn", seeds: []string{right.Address(), left[0].Address()}})
	eventually(t, "all nodes see each other", allSee(append(left, right, bridge), 5))
}

// Guards against crash reports that are lost, delivered twice or sent back to the node that reported them.
func TestCrashReportsReachEveryNodeOnce(t *testing.T) {
	nodes := startNodes(t, 6, nil)
	eventually(t, "all nodes see each other", allSee(nodes, 6))
	report := quarantine.Report{Digest: 7, Crash: "n00/1"}
	nodes[0].FloodCrashes([]quarantine.Report{report})
	nodes[0].FloodCrashes([]quarantine.Report{report})
	later := quarantine.Report{Digest: 7, Crash: "n00/2"}
	eventually(t, "the first report is everywhere", func() bool {
		for _, n := range nodes[1:] {
			if len(n.crashReports()) == 0 {
				return false
			}
		}
		return true
	})
	nodes[0].FloodCrashes([]quarantine.Report{later})
	eventually(t, "the second report is everywhere", func() bool {
		for _, n := range nodes[1:] {
			if got := n.crashReports(); got[len(got)-1] != later {
				return false
			}
		}
		return true
	})
	for _, n := range nodes[1:] {
		require.Equal(t, []quarantine.Report{report, later}, n.crashReports())
	}
	require.Empty(t, nodes[0].crashReports())

	late := startNode(t, nodeOptions{id: "late", region: "rn", seeds: []string{nodes[0].Address()}})
	eventually(t, "a node that joins later has both", func() bool { return len(late.crashReports()) == 2 })
}

// Guards against crash reports that all nodes forget, although some node is running all the time, because each of them has started since
// the crash (review case 9 on the other interface).
func TestCrashReportsReachNodesThatStartInTurn(t *testing.T) {
	store := newMemoryStore()
	nodes := startNodes(t, 3, store)
	eventually(t, "all nodes see each other", allSee(nodes, len(nodes)))
	report := quarantine.Report{Digest: 7, Crash: "n00-1"}
	nodes[0].FloodCrashes([]quarantine.Report{report})
	for i := range nodes {
		eventually(t, "the report reaches the other nodes", func() bool {
			for j, n := range nodes {
				// The node that reported the crash isn't told of it until it has started again.
				if j != i && (j > 0 || i > 0) && !slices.Contains(n.crashReports(), report) {
					return false
				}
			}
			return true
		})
		require.NoError(t, nodes[i].Stop())
		var seeds []string
		for j, n := range nodes {
			if j != i {
				seeds = append(seeds, n.Address())
			}
		}
		nodes[i] = startNode(t, nodeOptions{id: fmt.Sprintf("m%02d", i), region: "rn", seeds: seeds, store: store})
		eventually(t, "the report reaches the node that has started", func() bool {
			return slices.Contains(nodes[i].crashReports(), report)
		})
	}
}

// Guards against rows of dead nodes that count as live members or are never deleted, and against a node that stops and leaves
// its row in the store.
func TestExpiredRowsAreIgnoredAndDeleted(t *testing.T) {
	store := newMemoryStore()
	for key, age := range map[string]time.Duration{"old": 2 * time.Hour, "lapsed": 3 * time.Minute, "fresh": time.Second} {
		value := fmt.Sprintf(`{"member":{"id":%q,"counter":1,"control":%q,"state":"serving"},"lease-ms":120000}`, key, key+":7300")
		_, err := store.Transact(t.Context(), tablestore.MembersTable, []tablestore.Write{{Key: key, Value: value}})
		require.NoError(t, err)
		row := store.rows[tablestore.MembersTable][key]
		row.AgeMillis = age.Milliseconds()
		store.rows[tablestore.MembersTable][key] = row
	}
	n := startNode(t, nodeOptions{id: "a", region: "rn", store: store})
	exists := func(key string) bool {
		_, ok, err := store.Row(t.Context(), tablestore.MembersTable, key)
		return ok && err == nil
	}
	eventually(t, "the old row is deleted and the node's own row is written", func() bool { return !exists("old") && exists("a") })
	require.True(t, exists("lapsed") && exists("fresh"))
	eventually(t, "the fresh row is a member", func() bool { return len(n.Members()) == 1 })
	require.Equal(t, "fresh", n.Members()[0].ID)
	require.NoError(t, n.Stop())
	require.False(t, exists("a"))
}

// Guards against TLS settings of the keyring that QUIC does not accept, against default intervals with which nodes never join,
// and against an operator's key that is accepted as a node's key.
func TestStartJoinsWithKeyringAndRefusesOperatorKey(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, keys.Issue(dir))
	keyring, err := keys.Load(keys.PathsIn(dir, keys.RoleNode))
	require.NoError(t, err)
	metrics := event.NewMetrics()
	var seeds []string
	var nodes []*testNode
	for range 2 {
		c, err := Start(t.Context(), Options{Listen: "127.0.0.1:0", Seeds: seeds, Keyring: keyring, Metrics: metrics})
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.abort() })
		nodes = append(nodes, &testNode{Control: c})
		seeds = []string{c.Address()}
	}
	eventually(t, "both see each other", allSee(nodes, 2))
	eventually(t, "bytes are counted", func() bool {
		return metrics.Counter("control-bytes-sent") > 0 && metrics.Counter("control-bytes-received") > 0
	})

	operator, err := keys.Load(keys.PathsIn(dir, keys.RoleOperator))
	require.NoError(t, err)
	conn, err := quic.DialAddr(t.Context(), seeds[0], operator.ClientConfig(protocol), &quic.Config{})
	if err == nil {
		// The client's handshake ends before the server has checked its certificate.
		<-conn.Context().Done()
		err = context.Cause(conn.Context())
	}
	var refused *quic.TransportError
	require.ErrorAs(t, err, &refused)
	require.True(t, refused.ErrorCode.IsCryptoError(), "%v", err)
}

// Guards against rings that split the nodes into separate groups because some announcements were sent before their node had
// its first configuration and have no region.
func TestRingsDoNotDependOnAnnouncedRegions(t *testing.T) {
	cfg, problems := inventory.Parse([]inventory.File{{Name: "inventory.ini", Text: fmt.Sprintf(testInventory, 1)},
		{Name: "rules.ini", Text: testRules}})
	require.Empty(t, problems)
	c := &Control{loaded: loadedConfig{config: cfg}}
	var members []membership.Member
	for i := range 6 {
		m := membership.Member{ID: fmt.Sprint(i), AvailabilityZone: "rn-1", Region: []string{"", "rn"}[i%2]}
		members = append(members, m)
	}
	rings := membership.NewRings(c.withConfiguredRegions(members))
	reached := map[string]bool{"0": true}
	for range members {
		for _, m := range c.withConfiguredRegions(members) {
			for _, next := range rings.Watched(m) {
				if reached[m.ID] || reached[next.ID] {
					reached[m.ID], reached[next.ID] = true, true
				}
			}
		}
	}
	require.Len(t, reached, len(members))
}
