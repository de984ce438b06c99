package control

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/inventory"
	"lovagelane/kernel"
	"lovagelane/membership"
	"lovagelane/rollout"
	"lovagelane/tablestore"
)

// Guards against rings that exclude members which announced themselves before they had a configuration, and so without a
// region. When groups of nodes load their first configuration at the same time, they would exclude each other for as long as
// the store is unavailable.
func TestRingsUseConfiguredRegions(t *testing.T) {
	n := startNode(t, nodeOptions{id: "self", region: "rn"})
	text, err := rollout.Encode(configFiles())
	require.NoError(t, err)
	n.Control.mu.Lock()
	n.view.Merge(n.now(), membership.Member{ID: "other", Counter: 1, Service: "maps", AvailabilityZone: "rn-1",
		Control: "127.0.0.1:1", State: membership.StateStarting})
	n.Control.mu.Unlock()
	n.loadConfig(1, rollout.Hash(text), text)
	eventually(t, "the node has a watcher for the member", func() bool {
		n.Control.mu.Lock()
		defer n.Control.mu.Unlock()
		_, watched := n.watchers["other"]
		return watched
	})
}

func configFiles() []inventory.File {
	return []inventory.File{
		{Name: "inventory.ini", Text: "[region rn]\nstore = yes\n[availability-zone rn-1]\nregion = rn\n[service maps]\nslots = 4\n" +
			"connections = 50\ntimeout = 1s\n[backend-servers maps rn-1]\ncount = 2\n"},
		{Name: "rules.ini", Text: "[class all]\nrank = 1\ndefault = yes\n"},
	}
}

// Guards against every node listing the whole table each minute, and against regions in which no node lists it.
func TestOnlyLinkNodesListOften(t *testing.T) {
	n := startNode(t, nodeOptions{id: "self", region: "rn"})
	n.Control.mu.Lock()
	for i := range 20 {
		m := typicalMember(i)
		m.Control = fmt.Sprint("127.0.0.1:", i+1)
		n.view.Merge(n.now(), m)
	}
	rings := membership.NewRings(n.view.Live())
	n.tuning.rareListInterval = time.Hour
	n.rings = rings
	n.Control.mu.Unlock()
	listed := n.now()
	require.True(t, n.listDue(listed), "a node without peers must list")

	frequent := 0
	for i := range 20 {
		c := &Control{options: Options{Clock: kernel.SystemClock{}}, tuning: tuning{rareListInterval: time.Hour}, rings: rings,
			synced: true, view: membership.NewView(listed, typicalMember(i)), peers: map[*peer]struct{}{{}: {}}}
		if c.listDue(listed) {
			frequent++
		}
		require.True(t, c.listDue(listed.Add(-time.Hour)), "each node must list at rareListInterval")
	}
	require.LessOrEqual(t, frequent, membership.LinkNodesPerRegion)
	require.GreaterOrEqual(t, frequent, membership.LinkNodesPerRegion-1, "node self may be one of the link nodes")
}

// Guards against a separate write for each state change of a starting node. When all nodes of an availability zone start at
// once, these writes would exceed the write rate of the store.
func TestStateChangesAreBatchedInOneWrite(t *testing.T) {
	store := newMemoryStore()
	tuned := defaultTuning()
	tuned.tls, tuned.store, tuned.maxWriteDelay = sharedKeys(), store, 300*time.Millisecond
	c, err := start(context.Background(), Options{Self: typicalMember(1), Listen: "127.0.0.1:0"}, tuned)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.abort() })
	written := func() uint64 {
		row, _, err := store.Row(context.Background(), tablestore.MembersTable, c.selfID())
		require.NoError(t, err)
		return row.Version
	}
	eventually(t, "the row is written", func() bool { return written() == 1 })
	const changes = 20
	for i := range changes {
		c.SetState([]membership.State{membership.StateStarting, membership.StateServing}[i%2])
		time.Sleep(5 * time.Millisecond)
	}
	eventually(t, "the last change is written", func() bool {
		row, _, err := store.Row(context.Background(), tablestore.MembersTable, c.selfID())
		require.NoError(t, err)
		return strings.Contains(row.Value, fmt.Sprintf(`"counter":%d,`, typicalMember(1).Counter+changes))
	})
	require.LessOrEqual(t, written(), uint64(changes/2), "state changes were not batched")
}
