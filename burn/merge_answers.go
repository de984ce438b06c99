package burn

import (
	"fmt"

	"lovagelane/kernel"
)

// NodeAnswer holds the snapshot of one node, or the error of its request.
type NodeAnswer struct {
	Address  string
	Snapshot Snapshot
	Err      error
}

// MergeAnswers merges the answers of all nodes into one snapshot. A node whose request failed, or whose answer does not contain
// exactly one node, is listed as missing. A node that answered at two addresses counts once.
func MergeAnswers(answers []NodeAnswer) Snapshot {
	seen := kernel.Set[string]{}
	parts := make([]Snapshot, 0, len(answers))
	for _, a := range answers {
		if a.Err == nil && len(a.Snapshot.Nodes) != 1 {
			a.Err = fmt.Errorf("the answer is of %d nodes instead of one: upgrade the older program", len(a.Snapshot.Nodes))
		}
		if a.Err != nil {
			parts = append(parts, Snapshot{Missing: []Missing{{Address: a.Address, Problem: a.Err.Error()}}})
			continue
		}
		node := a.Snapshot.Nodes[0]
		if seen.Has(node.ID) {
			continue
		}
		seen[node.ID] = struct{}{}
		node.Address = a.Address
		a.Snapshot.Nodes = []Node{node}
		parts = append(parts, a.Snapshot)
	}
	return Merge(parts...)
}
