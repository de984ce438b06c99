package inventory

import (
	"fmt"
	"slices"
	"strings"

	"lovagelane/call"
)

// graph walks the call graph; a service is on the path while its calls are walked, and done afterwards.
type graph struct {
	b     *builder
	path  []string
	depth map[string]int
}

// checkGraph reports loops of the call graph, one for each service that closes any, and a chain that is too deep to be carried.
func (b *builder) checkGraph() {
	g := graph{b: b, depth: map[string]int{}}
	reported := false
	for _, s := range b.services {
		// Services deeper than the bound are usually called by others that are deeper still, so one report is enough.
		if depth := g.walk(s.Name); depth > call.MaxDepth && !reported {
			reported = true
			b.Add(s.Line, fmt.Sprintf("a chain of calls from service %s is %d deep", s.Name, depth),
				fmt.Sprintf("shorten it to %d", call.MaxDepth))
		}
	}
}

// walk returns the number of services on the longest chain that begins with the service.
func (g *graph) walk(name string) int {
	if depth, ok := g.depth[name]; ok {
		return depth
	}
	entry, ok := g.b.service[name]
	if !ok {
		return 0
	}
	g.path = append(g.path, name)
	depth, reported := 0, false
	for _, called := range entry.service.Calls {
		if i := slices.Index(g.path, called); i >= 0 {
			if reported {
				continue
			}
			reported = true
			g.b.Add(g.b.stated[name].LineOf("calls"),
				"the call graph has a loop: "+chain(append(slices.Clone(g.path[i:]), called)),
				fmt.Sprintf("remove %s from the calls of %s, or another call of the loop", called, name))
			continue
		}
		depth = max(depth, g.walk(called))
	}
	g.path = g.path[:len(g.path)-1]
	g.depth[name] = depth + 1
	return depth + 1
}

// chain writes a chain of services on one readable line and leaves out the middle of a long one.
func chain(names []string) string {
	if len(names) > maxNamesShown {
		half := maxNamesShown / 2
		names = slices.Concat(names[:half], []string{"..."}, names[len(names)-half:])
	}
	return strings.Join(names, " -> ")
}
