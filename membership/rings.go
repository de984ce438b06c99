package membership

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	ringCount = 2
	// LinkNodes is the number of members of a region that hold links to each other region.
	LinkNodes = 4
)

// salts make the rings and the choice of link nodes independent of each other.
var salts = [ringCount + 1]string{"ring-0", "ring-1", "links"}

type point struct {
	hash   uint64
	member *Member
}

type region struct {
	rings [ringCount][]point
	links []Member
}

// Rings says which member watches which; it never changes.
type Rings struct {
	regions map[string]region
	names   []string
}

// NewRings arranges the members of each region in two rings and chooses the link nodes, in O(n log n).
func NewRings(members []Member) Rings {
	byRegion := map[string][]Member{}
	for _, m := range members {
		byRegion[m.Region] = append(byRegion[m.Region], m)
	}
	r := Rings{regions: make(map[string]region, len(byRegion))}
	for name, members := range byRegion {
		r.names = append(r.names, name)
		var g region
		for i := range g.rings {
			g.rings[i] = ordered(salts[i], members)
		}
		for _, p := range ordered(salts[ringCount], members) {
			if len(g.links) == LinkNodes {
				break
			}
			g.links = append(g.links, *p.member)
		}
		r.regions[name] = g
	}
	slices.Sort(r.names)
	return r
}

// Watched returns the successors of a member on the rings of its region.
func (r Rings) Watched(m Member) []Member {
	var watched []Member
	for i, ring := range r.regions[m.Region].rings {
		at, _ := slices.BinarySearchFunc(ring, point{hash: position(salts[i], m.ID), member: &m}, comparePoints)
		for step := range ring {
			next := *ring[(at+step)%len(ring)].member
			if next.ID != m.ID {
				watched = appendNew(watched, next)
				break
			}
		}
	}
	return watched
}

// HoldsLinks reports whether the member is one of those of its region that hold links.
func (r Rings) HoldsLinks(m Member) bool {
	return slices.ContainsFunc(r.regions[m.Region].links, func(l Member) bool { return l.ID == m.ID })
}

// Links returns the members of other regions to which a member dials a link. The region that comes first by name dials, so
// that each pair of link nodes has one connection.
func (r Rings) Links(m Member) []Member {
	own := slices.IndexFunc(r.regions[m.Region].links, func(l Member) bool { return l.ID == m.ID })
	var links []Member
	for _, name := range r.names {
		other := r.regions[name].links
		if own < 0 || name <= m.Region || len(other) == 0 {
			continue
		}
		links = append(links, other[own%len(other)])
	}
	return links
}

func appendNew(list []Member, m Member) []Member {
	if slices.ContainsFunc(list, func(l Member) bool { return l.ID == m.ID }) {
		return list
	}
	return append(list, m)
}

func ordered(salt string, members []Member) []point {
	points := make([]point, len(members))
	for i := range members {
		points[i] = point{hash: position(salt, members[i].ID), member: &members[i]}
	}
	slices.SortFunc(points, comparePoints)
	return points
}

func comparePoints(a, b point) int {
	if a.hash != b.hash {
		return cmp.Compare(a.hash, b.hash)
	}
	return strings.Compare(a.member.ID, b.member.ID)
}

func position(salt, id string) uint64 { return xxhash.Sum64String(salt + "/" + id) }
