package inventory

import (
	"fmt"
	"slices"
	"strings"

	"lovagelane/call"
)

// graphChecker searches the call graph depth-first. A service is in path while its callees are visited and in depth once
// they are done.
type graphChecker struct {
	b     *builder
	path  []string
	depth map[string]int
}

// checkGraph reports cycles in the call graph, at most one for each service with a back edge, and one call chain that
// exceeds call.MaxDepth, the largest depth that a call can carry.
func (b *builder) checkGraph() {
	g := graphChecker{b: b, depth: map[string]int{}}
	reported := false
	for _, s := range b.services {
		// The callers of a service beyond the limit exceed it too, so one report is enough.
		if depth := g.longestChain(s.Name); depth > call.MaxDepth && !reported {
			reported = true
			b.Add(s.Line, fmt.Sprintf("a chain of calls from service %s is %d deep", s.Name, depth),
				fmt.Sprintf("shorten it to %d", call.MaxDepth))
		}
	}
}

// longestChain returns the number of services on the longest call chain that begins with the service.
func (g *graphChecker) longestChain(name string) int {
	if depth, ok := g.depth[name]; ok {
		return depth
	}
	entry, ok := g.b.service[name]
	if !ok {
		return 0
	}
	g.path = append(g.path, name)
	depth, reported := 0, false
	for _, callee := range entry.service.Calls {
		if i := slices.Index(g.path, callee); i >= 0 {
			if reported {
				continue
			}
			reported = true
			g.b.Add(g.b.serviceSections[name].LineOf("calls"),
				"the call graph has a loop: "+formatChain(append(slices.Clone(g.path[i:]), callee)),
				fmt.Sprintf("remove %s from the calls of %s, or another call of the loop", callee, name))
			continue
		}
		depth = max(depth, g.longestChain(callee))
	}
	g.path = g.path[:len(g.path)-1]
	g.depth[name] = depth + 1
	return depth + 1
}

// formatChain formats a call chain on one line and omits the middle of a long one.
func formatChain(names []string) string {
	if len(names) > maxNamesShown {
		half := maxNamesShown / 2
		names = slices.Concat(names[:half], []string{"..."}, names[len(names)-half:])
	}
	return strings.Join(names, " -> ")
}
