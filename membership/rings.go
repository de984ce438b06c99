package membership

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	ringCount = 2
	// LinkNodesPerRegion is the number of members of a region that maintain links to the other regions.
	LinkNodesPerRegion = 4
)

// salts are hash salts that make the rings and the choice of link nodes independent of each other.
var salts = [ringCount + 1]string{"ring-0", "ring-1", "links"}

type ringPoint struct {
	hash   uint64
	member *Member
}

type regionRings struct {
	rings [ringCount][]ringPoint
	links []Member
}

// Rings assigns to each member the members that it watches and links to. It is immutable.
type Rings struct {
	regions     map[string]regionRings
	regionNames []string
}

// NewRings builds two hash rings of the members of each region and chooses the link nodes, in O(n log n).
func NewRings(members []Member) Rings {
	byRegion := map[string][]Member{}
	for _, m := range members {
		byRegion[m.Region] = append(byRegion[m.Region], m)
	}
	r := Rings{regions: make(map[string]regionRings, len(byRegion))}
	for name, members := range byRegion {
		r.regionNames = append(r.regionNames, name)
		var g regionRings
		for i := range g.rings {
			g.rings[i] = sortedPoints(salts[i], members)
		}
		for _, p := range sortedPoints(salts[ringCount], members) {
			if len(g.links) == LinkNodesPerRegion {
				break
			}
			g.links = append(g.links, *p.member)
		}
		r.regions[name] = g
	}
	slices.Sort(r.regionNames)
	return r
}

// Watched returns the members that a member watches: its successors on the rings of its region.
func (r Rings) Watched(m Member) []Member {
	var watched []Member
	for i, ring := range r.regions[m.Region].rings {
		index, _ := slices.BinarySearchFunc(ring, ringPoint{hash: ringHash(salts[i], m.ID), member: &m}, compareRingPoints)
		for step := range ring {
			next := *ring[(index+step)%len(ring)].member
			if next.ID != m.ID {
				watched = appendNew(watched, next)
				break
			}
		}
	}
	return watched
}

// IsLinkNode reports whether the member is a link node of its region.
func (r Rings) IsLinkNode(m Member) bool {
	return slices.ContainsFunc(r.regions[m.Region].links, func(l Member) bool { return l.ID == m.ID })
}

// Links returns the members of other regions to which a member dials a link. Of two regions, the link nodes of the one that
// sorts first by name dial, so that each pair of link nodes has one connection.
func (r Rings) Links(m Member) []Member {
	own := slices.IndexFunc(r.regions[m.Region].links, func(l Member) bool { return l.ID == m.ID })
	var links []Member
	for _, name := range r.regionNames {
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

func sortedPoints(salt string, members []Member) []ringPoint {
	points := make([]ringPoint, len(members))
	for i := range members {
		points[i] = ringPoint{hash: ringHash(salt, members[i].ID), member: &members[i]}
	}
	slices.SortFunc(points, compareRingPoints)
	return points
}

func compareRingPoints(a, b ringPoint) int {
	if a.hash != b.hash {
		return cmp.Compare(a.hash, b.hash)
	}
	return strings.Compare(a.member.ID, b.member.ID)
}

func ringHash(salt, id string) uint64 { return xxhash.Sum64String(salt + "/" + id) }
