package allowance

import (
	"cmp"
	"hash/fnv"
	"io"
	"math/bits"
	"slices"
	"time"
)

// nodesPerGroup is the least number of nodes for each group of keys, which has one owner.
const nodesPerGroup = 32

// Limit is an allowance.
type Limit struct {
	// Rate is the number of tokens per second.
	Rate float64
	// Burst is the number of tokens that may be used beyond the rate after a pause.
	Burst float64
}

// Reading is the time on both clocks of a node. The steady clock does not count the time in which the machine was suspended; the
// time of day does, but may be set.
type Reading struct {
	// Steady is the time on the steady clock since a fixed moment.
	Steady time.Duration `cbor:"1,keyasint"`
	// Wall is the time of day since the Unix epoch.
	Wall time.Duration `cbor:"2,keyasint"`
}

// longestSince returns the time since an earlier reading by the clock that shows more.
func (r Reading) longestSince(earlier Reading) time.Duration {
	return max(r.Steady-earlier.Steady, r.Wall-earlier.Wall)
}

// Group names one of the groups into which all keys are divided.
type Group struct {
	Index int `cbor:"1,keyasint,omitempty"`
	// Count is the number of groups, a power of two.
	Count int `cbor:"2,keyasint"`
}

// maxGroups bounds Group.Count.
const maxGroups = 256

func (g Group) valid() bool {
	return g.Count > 0 && g.Count <= maxGroups && bits.OnesCount(uint(g.Count)) == 1 && g.Index >= 0 && g.Index < g.Count
}

// groupCount returns the number of groups for a number of nodes.
func groupCount(nodes int) int {
	return min(1<<max(bits.Len(uint(nodes/nodesPerGroup))-1, 0), maxGroups)
}

func groupOf(key string, count int) Group {
	return Group{Index: int(hash(key) % uint64(count)), Count: count}
}

// hash returns a hash whose bits all depend on all bytes of the text.
func hash(texts ...string) uint64 {
	h := fnv.New64a()
	for _, text := range texts {
		_, _ = io.WriteString(h, text+"\x00") // hash.Hash never returns an error.
	}
	v := h.Sum64()
	v = (v ^ v>>33) * 0xff51afd7ed558ccd
	v = (v ^ v>>33) * 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

// rendezvousOrder returns the nodes in the order of their hashes with a salt, up to a number of them.
func rendezvousOrder(salt string, nodes []string, limit int) []string {
	type candidate struct {
		node string
		hash uint64
	}
	list := make([]candidate, len(nodes))
	for i, node := range nodes {
		list[i] = candidate{node, hash(salt, node)}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.node, b.node))
	})
	order := make([]string, min(limit, len(list)))
	for i := range order {
		order[i] = list[i].node
	}
	return order
}

// bucket is a token bucket that holds a share of a limit. Its zero value is empty.
type bucket struct {
	level float64
	// at is when the level was computed, on the steady clock.
	at time.Duration
	// epoch changes whenever the bucket is full: a token that was taken before must not be returned, since the bucket would
	// have overflowed with it.
	epoch uint64
}

// advance adds the tokens since the last call, of which the bucket holds up to capacity.
func (b *bucket) advance(now time.Duration, rate, capacity float64) {
	if elapsed := now - b.at; elapsed > 0 {
		b.level += rate * elapsed.Seconds()
		b.at = now
	}
	if b.level >= capacity {
		b.level = capacity
		b.epoch++
	}
}
