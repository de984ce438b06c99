package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lovagelane/inventory"
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
