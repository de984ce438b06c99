package rollout_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/kernel"
	"lovagelane/rollout"
	"lovagelane/standin"
	"lovagelane/tablestore"
)

// Guards against a store client and a stand-in that implement the store protocol differently, also under the faults that the
// stand-in can inject.
func TestApplyAgainstTheStandIn(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := kernel.NewGroup(context.Background())
	p := standin.NewPlatform(kernel.SystemClock{})
	p.Serve(g, ln)
	t.Cleanup(func() { _ = g.Stop() })
	store, err := tablestore.NewClient("http://"+ln.Addr().String(), 300*time.Millisecond)
	require.NoError(t, err)
	t.Cleanup(store.Close)

	apply := func(base uint64) string {
		_, err := rollout.Apply(t.Context(), store, files, "davi", base)
		return applyResult(err)
	}
	_, ok, err := rollout.Current(t.Context(), store)
	require.NoError(t, err)
	require.False(t, ok)
	require.Equal(t, "accepted", apply(0))
	require.Equal(t, "stale", apply(0))
	p.SetFaults(standin.PlatformFaults{Down: ptr(true)})
	require.Equal(t, "not accepted", apply(1))
	// The lost answer is that of the first write, which puts the object; the table transaction follows.
	p.SetFaults(standin.PlatformFaults{Down: ptr(false), LoseAnswers: ptr(1)})
	require.Equal(t, "accepted", apply(1))
	current, ok, err := rollout.Current(t.Context(), store)
	require.NoError(t, err)
	require.True(t, ok)
	require.Equal(t, uint64(2), current.Version)

	_, err = store.Transact(t.Context(), tablestore.MembersTable, []tablestore.Write{{Key: "a", Value: "x"}})
	require.NoError(t, err)
	mark, rows, err := store.Rows(t.Context(), tablestore.MembersTable, tablestore.Mark{})
	require.NoError(t, err)
	require.Len(t, rows, 1)
	_, err = store.Transact(t.Context(), tablestore.MembersTable, []tablestore.Write{{Key: "a", Delete: true}})
	require.NoError(t, err)
	_, rows, err = store.Rows(t.Context(), tablestore.MembersTable, mark)
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.True(t, rows[0].Deleted)

	p.SetFaults(standin.PlatformFaults{LoseAnswers: ptr(1)})
	_, err = store.Transact(t.Context(), tablestore.MembersTable, []tablestore.Write{{Key: "b", Value: "x"}})
	var unknown *tablestore.UnknownError
	require.ErrorAs(t, err, &unknown)
	_, ok, err = store.Row(t.Context(), tablestore.MembersTable, "b")
	require.NoError(t, err)
	require.True(t, ok, "a write without an answer took effect")
}

func ptr[T any](v T) *T { return &v }
