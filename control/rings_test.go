package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/inventory"
	"lovagelane/kernel"
	"lovagelane/membership"
	"lovagelane/rollout"
)

// Guards against groups of nodes that take their first configuration at the same time, see the others' announcements from
// before it, which have no region, and leave them out of their rings for as long as the store does not help.
func TestRingsTakeTheRegionFromTheConfiguration(t *testing.T) {
	n := startNode(t, place{id: "self", region: "rn"})
	body, err := rollout.Encode(configFiles())
	require.NoError(t, err)
	n.Control.mu.Lock()
	n.view.Merge(n.now(), membership.Member{ID: "other", Counter: 1, Service: "maps", AvailabilityZone: "rn-1",
		Control: "127.0.0.1:1", State: membership.StateStarting})
	n.Control.mu.Unlock()
	n.hold(1, rollout.Hash(body), body)
	eventually(t, "the member is watched", func() bool {
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

// Guards against a listing of the whole table by every node each minute, and against nodes that nobody lists for.
func TestOnlyLinkNodesListOften(t *testing.T) {
	n := startNode(t, place{id: "self", region: "rn"})
	n.Control.mu.Lock()
	for i := range 20 {
		m := typicalMember(i)
		m.Control = fmt.Sprint("127.0.0.1:", i+1)
		n.view.Merge(n.now(), m)
	}
	rings := membership.NewRings(n.view.Live())
	n.tuning.listRare = time.Hour
	n.rings = rings
	n.Control.mu.Unlock()
	listed := n.now()
	require.True(t, n.listDue(listed), "a node without peers lists")

	often := 0
	for i := range 20 {
		c := &Control{options: Options{Clock: kernel.SystemClock{}}, tuning: tuning{listRare: time.Hour}, rings: rings, synced: true,
			view: membership.NewView(listed, typicalMember(i)), peers: map[*peer]struct{}{{}: {}}}
		if c.listDue(listed) {
			often++
		}
		require.True(t, c.listDue(listed.Add(-time.Hour)), "each node lists now and then")
	}
	require.LessOrEqual(t, often, membership.LinkNodes)
	require.GreaterOrEqual(t, often, membership.LinkNodes-1, "the own node may be one of them")
}
