package control

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagelane/kernel"
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
