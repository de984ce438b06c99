package control

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagelane/event"
	"lovagelane/inventory"
	"lovagelane/kernel"
	"lovagelane/rollout"
	"lovagelane/standin"
	"lovagelane/tablestore"
)

// closableStore is a store whose reads wait while the test holds its gate.
type closableStore struct {
	tablestore.Store
	gate *sync.RWMutex
}

func (s closableStore) Row(ctx context.Context, table, key string) (tablestore.Row, bool, error) {
	s.gate.RLock()
	defer s.gate.RUnlock()
	return s.Store.Row(ctx, table, key)
}

func (s closableStore) Rows(ctx context.Context, table string, since tablestore.Mark) (tablestore.Mark, []tablestore.Row, error) {
	s.gate.RLock()
	defer s.gate.RUnlock()
	return s.Store.Rows(ctx, table, since)
}

// startStandIn serves a stand-in of the store and returns it with a client.
func startStandIn(t *testing.T) (*standin.Platform, *tablestore.Client) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := kernel.NewGroup(context.Background())
	p := standin.NewPlatform(kernel.SystemClock{})
	p.Serve(g, ln)
	t.Cleanup(func() { _ = g.Stop() })
	client, err := tablestore.NewClient("http://"+ln.Addr().String(), 0)
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return p, client
}

func writeMember(t *testing.T, store tablestore.Store, id string) uint64 {
	t.Helper()
	value := fmt.Sprintf(`{"member":{"id":%q,"counter":1,"control":"127.0.0.1:9","state":"serving"},"lease-ms":120000}`, id)
	commit, err := store.Transact(t.Context(), tablestore.MembersTable, []tablestore.Write{{Key: id, Value: value}})
	require.NoError(t, err)
	return commit.Revision
}

// Guards against rows that a node never reads because the store came back from an older copy and gave their revisions out
// again before the node listed the table.
func TestRowsWithRepeatedRevisionsAreRead(t *testing.T) {
	p, client := startStandIn(t)
	var gate sync.RWMutex
	n := startNode(t, nodeOptions{id: "a", region: "rn", store: closableStore{client, &gate}})
	sees := func(id string) func() bool {
		return func() bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			_, ok := n.view.Get(id)
			return ok
		}
	}
	p.Copy()
	var lost uint64
	for i := range 20 {
		lost = writeMember(t, client, fmt.Sprintf("lost-%d", i))
	}
	eventually(t, "the rows that will be lost are read", sees("lost-19"))

	gate.Lock()
	p.Restore()
	require.Less(t, writeMember(t, client, "repeated"), lost)
	for i := 0; writeMember(t, client, fmt.Sprintf("later-%d", i)) <= lost+20; i++ {
	}
	gate.Unlock()
	eventually(t, "a row with a later revision is read", sees("later-20"))
	eventually(t, "the row with a repeated revision is read", sees("repeated"))
}

// applyCount applies a configuration that differs from others by its number of backend servers.
func applyCount(t *testing.T, store tablestore.Store, base uint64, count int) rollout.Accepted {
	t.Helper()
	accepted, err := rollout.Apply(t.Context(), store, []inventory.File{
		{Name: "inventory.ini", Text: fmt.Sprintf(testInventory, count)}, {Name: "rules.ini", Text: testRules},
	}, "operator", base)
	require.NoError(t, err)
	return accepted
}

// Guards against a configuration that running nodes take for one that they have, or for an older one, because the store came back
// from an older copy and gave its row version out again, and against a node that goes back to the configuration of the copy.
func TestConfigAppliedAfterTheStoreCameBackIsAdopted(t *testing.T) {
	for lost := range 3 {
		t.Run(fmt.Sprintf("%d lost", lost), func(t *testing.T) {
			p, client := startStandIn(t)
			nodes := startNodes(t, 3, client)
			inForce := func(a rollout.Accepted) func() bool {
				return func() bool {
					return !slices.ContainsFunc(nodes, func(n *testNode) bool { return n.Status().Hash != a.Hash })
				}
			}
			base := applyCount(t, client, 0, 1)
			p.Copy()
			newest := base
			for i := range lost {
				newest = applyCount(t, client, newest.Version, 2+i)
			}
			eventually(t, "the newest configuration is in force", inForce(newest))

			p.Restore()
			reads := p.Counts().Reads
			eventually(t, "the store is read again", func() bool { return p.Counts().Reads > reads+10 })
			require.True(t, inForce(newest)(), "a node went back to the configuration of the copy")
			current, _, err := rollout.Current(t.Context(), client)
			require.NoError(t, err)
			require.Equal(t, base, current)
			eventually(t, "the configuration that was applied after the return is in force",
				inForce(applyCount(t, client, current.Version, 10)))
			for _, n := range nodes {
				require.IsIncreasing(t, n.inForceVersions())
			}
		})
	}
}

// lines keeps the log lines that are written to it.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lines) count(event string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), event)
}

// Guards against an operator who isn't told that the store lost an accepted configuration which nodes have in force, or is told
// with each poll.
func TestLostConfigIsLoggedOnce(t *testing.T) {
	p, client := startStandIn(t)
	var log lines
	n := startNode(t, nodeOptions{id: "a", region: "rn", store: client, log: event.New(&log, kernel.SystemClock{})})
	base := applyCount(t, client, 0, 1)
	p.Copy()
	eventually(t, "the first version is in force", func() bool { return n.Status().Hash == base.Hash })
	lost := applyCount(t, client, base.Version, 2)
	eventually(t, "the second version is in force", func() bool { return n.Status().Hash == lost.Hash })
	require.Zero(t, log.count("config-ahead-of-store"))
	p.Restore()
	eventually(t, "the loss is logged", func() bool { return log.count("config-ahead-of-store") > 0 })
	eventually(t, "the return is logged", func() bool { return log.count("store-restored") > 0 })
	reads := p.Counts().Reads
	eventually(t, "the store is read again", func() bool { return p.Counts().Reads > reads+10 })
	require.Equal(t, 1, log.count("config-ahead-of-store"))
	require.Equal(t, 1, log.count("store-restored"))
}

// heldObjects is a store whose reads of objects wait while the test holds its gate.
type heldObjects struct {
	tablestore.Store
	gate *sync.RWMutex
}

func (s heldObjects) Object(ctx context.Context, name string) ([]byte, bool, error) {
	s.gate.RLock()
	defer s.gate.RUnlock()
	return s.Store.Object(ctx, name)
}

// Guards against a node that never starts because it waits for a configuration that the store named and then lost.
func TestNodeStartsWithoutAConfigThatTheStoreLost(t *testing.T) {
	p, client := startStandIn(t)
	base := applyCount(t, client, 0, 1)
	p.Copy()
	applyCount(t, client, base.Version, 2)
	var gate sync.RWMutex
	gate.Lock()
	n := startNode(t, nodeOptions{id: "a", region: "rn", store: heldObjects{client, &gate}})
	eventually(t, "the store names the second version", func() bool { return n.Status().HighestVersion == 2 })
	p.Restore()
	gate.Unlock()
	eventually(t, "the first version is in force", func() bool { return n.Status().Hash == base.Hash })
}

// Guards against a node that never starts because it could not read a configuration that the store then lost.
func TestNodeStartsBelowAnUnreadableConfigThatTheStoreLost(t *testing.T) {
	p, client := startStandIn(t)
	base := applyCount(t, client, 0, 1)
	p.Copy()
	_, err := rollout.Apply(t.Context(), client, []inventory.File{{Name: "inventory.ini", Text: "[later]\n"}}, "operator", base.Version)
	require.NoError(t, err)
	n := startNode(t, nodeOptions{id: "a", region: "rn", store: client})
	eventually(t, "the second version can't be read", func() bool { return n.metrics.Counter("control-texts-unreadable") > 0 })
	p.Restore()
	eventually(t, "the first version is in force", func() bool { return n.Status().Hash == base.Hash })
}
