package directory

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"lovagelane/kernel"
)

// State is the availability of a backend server for calls.
type State uint8

const (
	// Absent means that no backend server has announced itself, or that the last one is unreachable.
	Absent State = iota
	// Serving means that the backend server accepts calls.
	Serving
	// Leaving means that the backend server accepts no new calls.
	Leaving
)

// String returns the name of the state in logs.
func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case Leaving:
		return "leaving"
	default:
		return "absent"
	}
}

const (
	// maxNodes bounds the entries of a directory.
	maxNodes = 4096
	// maxTextBytes bounds each string field of a node.
	maxTextBytes = 200
	// maxSlots bounds the slots that a backend server may announce.
	maxSlots = 1 << 16
	// maxPendingDepartures bounds the pending departures of each node.
	maxPendingDepartures = 4
)

// Incarnation identifies one process of a backend server.
type Incarnation struct {
	ID string `cbor:"1,keyasint"`
	// StartMillis is the start time in Unix milliseconds, which distinguishes processes with the same id.
	StartMillis int64 `cbor:"2,keyasint"`
}

// Node is the state that a node publishes about itself and its backend server.
type Node struct {
	// Address is the address at which other nodes reach the node.
	Address string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Region  string `cbor:"3,keyasint"`
	// AvailabilityZone is the availability zone of the node and its backend server.
	AvailabilityZone string      `cbor:"4,keyasint"`
	Slots            int         `cbor:"5,keyasint"`
	State            State       `cbor:"6,keyasint"`
	Backend          Incarnation `cbor:"7,keyasint"`
}

// Valid reports whether all fields are within their bounds and the address can be dialed.
func (n Node) Valid() bool {
	for _, text := range []string{n.Service, n.Region, n.AvailabilityZone, n.Backend.ID} {
		if len(text) > maxTextBytes {
			return false
		}
	}
	return len(n.Address) <= maxTextBytes && kernel.IsDialable(n.Address) && n.Slots >= 0 && n.Slots <= maxSlots && n.State <= Leaving
}

// Entry is a node as recorded in a row of the store.
type Entry struct {
	Node Node `cbor:"1,keyasint"`
	// Version is the store's version of the row, in the era Era; the entry with the later position wins.
	Version uint64 `cbor:"2,keyasint"`
	// Removed marks a tombstone: the row was removed from the store.
	Removed bool   `cbor:"3,keyasint,omitempty"`
	Era     uint64 `cbor:"4,keyasint,omitempty"`
}

// Position returns the position of the store at which the row was written.
func (e Entry) Position() Position { return Position{Era: e.Era, Version: e.Version} }

// WithPosition returns the entry with another position.
func (e Entry) WithPosition(p Position) Entry {
	e.Era, e.Version = p.Era, p.Version
	return e
}

// Directory holds the known nodes. The caller must serialize access to it. The zero value is an empty directory.
type Directory struct {
	entries map[string]Entry
	// reported holds the state that a node reported over a connection after its row was read.
	reported map[string]Node
	// pendingDepartures holds, by node address, the departures that this node keeps for itself and for other nodes, since the store may
	// not hold them yet.
	pendingDepartures map[string][]Incarnation
	position          Position
}

// Merge adds a row from the store or from another node and reports whether the directory changed. It ignores invalid and
// outdated rows, and new nodes beyond maxNodes.
func (d *Directory) Merge(e Entry) bool {
	if !e.Node.Valid() {
		return false
	}
	old, known := d.entries[e.Node.Address]
	if known && old.Position().Compare(e.Position()) >= 0 || !known && len(d.entries) >= maxNodes {
		return false
	}
	if d.entries == nil {
		d.entries = map[string]Entry{}
	}
	d.entries[e.Node.Address] = e
	delete(d.reported, e.Node.Address)
	d.AdvancePosition(e.Position())
	return true
}

// Replace merges a complete list of rows as of a position. Entries up to that position that the list lacks become tombstones,
// except those of the kept addresses, whose rows can't be read, and, if keepEarlier is set, those of earlier eras, whose nodes may
// not have written their rows again yet.
func (d *Directory) Replace(list []Entry, kept []string, at Position, keepEarlier bool) {
	listed := make(map[string]bool, len(list)+len(kept))
	for _, address := range kept {
		listed[address] = true
	}
	for _, e := range list {
		listed[e.Node.Address] = true
		d.Merge(e)
	}
	for address, e := range d.entries {
		if listed[address] || e.Removed || e.Position().Compare(at) > 0 || keepEarlier && e.Era < at.Era {
			continue
		}
		e.Removed = true
		d.entries[address] = e.WithPosition(at)
		delete(d.reported, address)
	}
	d.AdvancePosition(at)
}

// Forget removes the entry of a node.
func (d *Directory) Forget(address string) {
	delete(d.entries, address)
	delete(d.reported, address)
}

// MergeReport records the state that a node reported over a connection, which is newer than its row, and reports whether it
// changed. It ignores nodes without a row.
func (d *Directory) MergeReport(n Node) bool {
	e, known := d.entries[n.Address]
	if !n.Valid() || !known || e.Removed || d.latest(e) == n {
		return false
	}
	if d.reported == nil {
		d.reported = map[string]Node{}
	}
	d.reported[n.Address] = n
	return true
}

func (d *Directory) latest(e Entry) Node {
	if n, ok := d.reported[e.Node.Address]; ok {
		return n
	}
	return e.Node
}

// Entry returns the row of a node.
func (d *Directory) Entry(address string) (Entry, bool) {
	e, ok := d.entries[address]
	return e, ok
}

// AdvancePosition records that all rows up to a position are merged, as when another node that has them sent those that this one lacked.
func (d *Directory) AdvancePosition(p Position) {
	if d.position.Compare(p) < 0 {
		d.position = p
	}
}

// Position returns the latest position of the store that the directory has merged.
func (d *Directory) Position() Position { return d.position }

// Since returns the rows after a position in order of their positions, tombstones included.
func (d *Directory) Since(p Position) []Entry {
	var list []Entry
	for _, e := range d.entries {
		if e.Position().Compare(p) > 0 {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return a.Position().Compare(b.Position()) })
	return list
}

// Nodes returns the nodes that are not removed, sorted by address.
func (d *Directory) Nodes() []Node {
	var list []Node
	for _, address := range slices.Sorted(maps.Keys(d.entries)) {
		if e := d.entries[address]; !e.Removed {
			list = append(list, d.latest(e))
		}
	}
	return list
}

// IsFirstInZone reports whether no usable node of the same region and availability zone comes before a node in a list.
func IsFirstInZone(list []Node, node Node, usable func(address string) bool) bool {
	for _, other := range list {
		if other.Address == node.Address {
			return true
		}
		if other.Region == node.Region && other.AvailabilityZone == node.AvailabilityZone && usable(other.Address) {
			return false
		}
	}
	return true
}

// Neighbours returns the addresses of the nodes that a node keeps gossip connections to: its next perRing successors on a
// hash ring of its region and on one of all nodes, so that updates reach every node in a few hops.
func (d *Directory) Neighbours(address, region string, perRing int) []string {
	own := ringHash(address)
	var all, sameRegion []Node
	for _, n := range d.Nodes() {
		if n.Address == address {
			continue
		}
		all = append(all, n)
		if n.Region == region {
			sameRegion = append(sameRegion, n)
		}
	}
	var list []string
	for _, ring := range [][]Node{sameRegion, all} {
		slices.SortFunc(ring, func(a, b Node) int { return cmp.Compare(ringHash(a.Address)-own, ringHash(b.Address)-own) })
		for i := 0; i < len(ring) && i < perRing; i++ {
			if !slices.Contains(list, ring[i].Address) {
				list = append(list, ring[i].Address)
			}
		}
	}
	return list
}

// ringHash returns the position of an address on the hash ring.
func ringHash(address string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(address)) // hash.Hash never returns an error.
	return h.Sum32()
}

// Departure states that the backend server beside the node at an address is leaving: it takes no new calls, also after a restart of
// the node.
type Departure struct {
	Address string      `cbor:"1,keyasint"`
	Backend Incarnation `cbor:"2,keyasint"`
}

// AddPendingDeparture stores the departure of a node's backend server, which may not be in the store yet, and reports whether it is kept.
// It keeps those of the maxPendingDepartures latest starts of each node, in whichever order they are added.
func (d *Directory) AddPendingDeparture(p Departure) bool {
	if len(p.Address) > maxTextBytes || len(p.Backend.ID) > maxTextBytes {
		return false
	}
	list, known := d.pendingDepartures[p.Address]
	if slices.Contains(list, p.Backend) {
		return true
	}
	if !known && len(d.pendingDepartures) >= maxNodes {
		return false
	}
	if d.pendingDepartures == nil {
		d.pendingDepartures = map[string][]Incarnation{}
	}
	list = append(list, p.Backend)
	slices.SortFunc(list, func(a, b Incarnation) int {
		return cmp.Or(cmp.Compare(a.StartMillis, b.StartMillis), cmp.Compare(a.ID, b.ID))
	})
	list = list[max(0, len(list)-maxPendingDepartures):]
	d.pendingDepartures[p.Address] = list
	return slices.Contains(list, p.Backend)
}

// PendingDepartures returns the pending departures of a node, the latest start last.
func (d *Directory) PendingDepartures(address string) []Incarnation {
	return slices.Clone(d.pendingDepartures[address])
}

// UnstoredDepartures returns the pending departures that no known row of the store has made needless, sorted by address.
func (d *Directory) UnstoredDepartures() []Departure {
	var list []Departure
	for _, address := range slices.Sorted(maps.Keys(d.pendingDepartures)) {
		for _, b := range d.pendingDepartures[address] {
			if e, known := d.entries[address]; !known || e.Era < d.position.Era || !e.settles(b) {
				list = append(list, Departure{Address: address, Backend: b})
			}
		}
	}
	return list
}

// settles reports whether the row makes the record of a departure needless: it holds the departure or a later start at its address,
// or was removed, as by a node whose backend server has ended.
func (e Entry) settles(b Incarnation) bool {
	stored := e.Node.Backend
	return e.Removed || stored.StartMillis > b.StartMillis || stored == b && e.Node.State == Leaving
}
