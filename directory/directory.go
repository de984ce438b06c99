package directory

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
)

// State says whether a backend server takes calls.
type State uint8

const (
	// Absent means that no backend server has announced itself yet.
	Absent State = iota
	// Serving means that the backend server takes calls.
	Serving
	// Leaving means that the backend server takes no new calls.
	Leaving
)

// String returns the state as logs write it.
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
	// maxNodes bounds the nodes that are known.
	maxNodes = 4096
	// maxText bounds each text of a node, in bytes.
	maxText = 200
	// maxSlots bounds the slots that a backend server may state.
	maxSlots = 1 << 16
)

// Incarnation names one start of a backend server.
type Incarnation struct {
	ID string `cbor:"1,keyasint"`
	// Born is the Unix millisecond of the start, which tells starts under the same id apart.
	Born int64 `cbor:"2,keyasint"`
}

// Node is what a node states of itself and its backend server.
type Node struct {
	// Address is where other nodes reach the node.
	Address string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Region  string `cbor:"3,keyasint"`
	// AvailabilityZone is where the node and its backend server stand.
	AvailabilityZone string      `cbor:"4,keyasint"`
	Slots            int         `cbor:"5,keyasint"`
	State            State       `cbor:"6,keyasint"`
	Backend          Incarnation `cbor:"7,keyasint"`
}

// Valid reports whether all fields are within their bounds.
func (n Node) Valid() bool {
	for _, text := range []string{n.Service, n.Region, n.AvailabilityZone, n.Backend.ID} {
		if len(text) > maxText {
			return false
		}
	}
	return n.Address != "" && len(n.Address) <= maxText && n.Slots >= 0 && n.Slots <= maxSlots && n.State <= Leaving
}

// Entry is a node as a row of the store states it.
type Entry struct {
	Node Node `cbor:"1,keyasint"`
	// Version is the store's version of the row; the higher one wins.
	Version uint64 `cbor:"2,keyasint"`
	// Removed marks a row that was removed.
	Removed bool `cbor:"3,keyasint,omitempty"`
}

// Directory holds the known nodes; the caller serializes access to it. Its zero value knows none.
type Directory struct {
	entries map[string]Entry
	// seen holds what a node said of itself on a connection after the row was read.
	seen map[string]Node
	// held holds the leavings that other nodes could not write to the store.
	held    map[string]Incarnation
	version uint64
}

// Merge takes a row from the store or from another node and reports whether it was news.
func (d *Directory) Merge(e Entry) bool {
	if !e.Node.Valid() {
		return false
	}
	old, known := d.entries[e.Node.Address]
	if known && old.Version >= e.Version || !known && len(d.entries) >= maxNodes {
		return false
	}
	if d.entries == nil {
		d.entries = map[string]Entry{}
	}
	d.entries[e.Node.Address] = e
	delete(d.seen, e.Node.Address)
	d.version = max(d.version, e.Version)
	return true
}

// Replace takes a complete list of rows as of a version; rows that are missing from it were removed.
func (d *Directory) Replace(list []Entry, version uint64) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Node.Address] = true
		d.Merge(e)
	}
	for address, e := range d.entries {
		if !listed[address] && !e.Removed && e.Version <= version {
			e.Version, e.Removed = version, true
			d.entries[address] = e
			delete(d.seen, address)
		}
	}
	d.version = max(d.version, version)
}

// Seen takes what a node said of itself on a connection, which is newer than its row, and reports whether it was news.
func (d *Directory) Seen(n Node) bool {
	e, known := d.entries[n.Address]
	if !n.Valid() || !known || e.Removed || d.node(e) == n {
		return false
	}
	if d.seen == nil {
		d.seen = map[string]Node{}
	}
	d.seen[n.Address] = n
	return true
}

func (d *Directory) node(e Entry) Node {
	if n, ok := d.seen[e.Node.Address]; ok {
		return n
	}
	return e.Node
}

// Entry returns the row of a node.
func (d *Directory) Entry(address string) (Entry, bool) {
	e, ok := d.entries[address]
	return e, ok
}

// Version returns the highest version of the store that a row was read at.
func (d *Directory) Version() uint64 { return d.version }

// Since returns the rows that are newer than a version, removed ones included.
func (d *Directory) Since(version uint64) []Entry {
	var list []Entry
	for _, e := range d.entries {
		if e.Version > version {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.Version, b.Version) })
	return list
}

// Nodes returns the nodes that are not removed, in order of their addresses.
func (d *Directory) Nodes() []Node {
	var list []Node
	for _, address := range slices.Sorted(maps.Keys(d.entries)) {
		if e := d.entries[address]; !e.Removed {
			list = append(list, d.node(e))
		}
	}
	return list
}

// Neighbours returns the nodes that a node keeps connections to: the next ones on a ring of all nodes and on a ring of its
// region, both ordered by hash, so that news reaches every node in a few steps.
func (d *Directory) Neighbours(address, region string, each int) []string {
	own := place(address)
	var all, near []Node
	for _, n := range d.Nodes() {
		if n.Address == address {
			continue
		}
		all = append(all, n)
		if n.Region == region {
			near = append(near, n)
		}
	}
	var list []string
	for _, ring := range [][]Node{near, all} {
		slices.SortFunc(ring, func(a, b Node) int { return cmp.Compare(place(a.Address)-own, place(b.Address)-own) })
		for i := 0; i < len(ring) && i < each; i++ {
			if !slices.Contains(list, ring[i].Address) {
				list = append(list, ring[i].Address)
			}
		}
	}
	return list
}

// place returns where an address stands on the ring.
func place(address string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(address)) // hash.Hash never returns an error.
	return h.Sum32()
}

// Hold keeps the leaving of another node's backend server until the store holds it.
func (d *Directory) Hold(address string, b Incarnation) {
	if d.held == nil {
		d.held = map[string]Incarnation{}
	}
	if _, known := d.held[address]; known || len(d.held) < maxNodes {
		d.held[address] = b
	}
}

// Held returns the leaving that is kept for a node.
func (d *Directory) Held(address string) (Incarnation, bool) {
	b, ok := d.held[address]
	return b, ok
}
