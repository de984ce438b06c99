package rollout_test

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagelane/kernel"
	"lovagelane/rollout"
	"lovagelane/standin"
	"lovagelane/tablestore"
)

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

// returningStore runs back before the first transaction.
type returningStore struct {
	*tablestore.Client
	back func()
}

func (s *returningStore) Transact(ctx context.Context, table string, writes []tablestore.Write) (tablestore.Commit, error) {
	if back := s.back; back != nil {
		s.back = nil
		back()
	}
	return s.Client.Transact(ctx, table, writes)
}

// Guards against a version that is given out again for another configuration, also by an apply that began before the store came
// back from an older copy.
func TestVersionsAreNotRepeated(t *testing.T) {
	p, client := startStandIn(t)
	apply := func(store tablestore.Store, base uint64) (uint64, string) {
		accepted, err := rollout.Apply(t.Context(), store, files, "davi", base)
		return accepted.Version, applyResult(err)
	}
	first, result := apply(client, 0)
	require.Equal(t, "accepted", result)
	p.Copy()
	lost, result := apply(client, first)
	require.Equal(t, "accepted", result)
	require.Equal(t, uint64(2), lost)
	_, result = apply(&returningStore{client, p.Restore}, lost)
	require.Equal(t, "stale", result)
	_, result = apply(&returningStore{client, p.Restore}, first)
	require.Equal(t, "not accepted", result)
	current, _, err := rollout.Current(t.Context(), client)
	require.NoError(t, err)
	require.Equal(t, first, current.Version)

	version, result := apply(client, first)
	require.Equal(t, "accepted", result)
	require.Equal(t, uint64(2_000_000_002), version)
	version, result = apply(client, version)
	require.Equal(t, "accepted", result)
	require.Equal(t, uint64(2_000_000_003), version)
	p.Restore()
	version, result = apply(client, first)
	require.Equal(t, "accepted", result)
	require.Equal(t, uint64(3_000_000_002), version)
}

// Guards against an apply that silently overwrites another operator's configuration, because its base was lost when the store
// came back from an older copy and the other one got the base's row version.
func TestApplyOnALostBaseIsStale(t *testing.T) {
	p, client := startStandIn(t)
	apply := func(operator string, base uint64) (rollout.Accepted, error) {
		return rollout.Apply(t.Context(), client, files, operator, base)
	}
	first, err := apply("davi", 0)
	require.NoError(t, err)
	p.Copy()
	lost, err := apply("davi", first.Version)
	require.NoError(t, err)
	p.Restore()
	other, err := apply("ana", first.Version)
	require.NoError(t, err)
	_, err = apply("davi", lost.Version)
	require.Equal(t, "stale", applyResult(err), "%v", err)
	require.ErrorContains(t, err, "ana applied version")
	var stale *rollout.StaleError
	require.ErrorAs(t, err, &stale)
	require.Equal(t, []rollout.Accepted{other}, stale.Since)
}
