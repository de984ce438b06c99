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
	// Window and Most, if set, bound the tokens that are used in any period of this length in addition.
	Window time.Duration
	Most   float64
}

// Tolerant returns the limit that uses what may exceed the rate and the burst in each window: a share of them, and a number of tokens.
func (l Limit) Tolerant(window time.Duration, share, tokens float64) Limit {
	bound := (l.Rate*window.Seconds()+l.Burst)*(1+share) + tokens
	l.Window, l.Most = window, toleranceUsed*bound
	// While a part passes from one node to another, both may have used it at the rate, and the first one also its burst.
	passing := (bound - l.Burst) / (window + tokenValidity - handoverDelay).Seconds()
	l.Rate = max(l.Rate, min(l.Most/(window+slotDelay).Seconds(), passing))
	return l
}

const (
	// toleranceUsed leaves room for whole tokens of small parts and for nodes that differ about the number of nodes.
	toleranceUsed = 0.95
	// slotLength is the resolution of a window, and slotDelay how long after their use tokens still count: those that are used up to
	// tokenValidity after they were granted.
	slotLength = 100 * time.Millisecond
	slotDelay  = tokenValidity + slotLength
	// maxSlots bounds the length of a window.
	maxSlots = 128
)

// MaxWindow is the longest window of a Limit.
const MaxWindow = maxSlots*slotLength - slotDelay - slotLength

// usage counts the tokens granted in a sliding window.
type usage struct {
	slots []float32
	// last is the number of the newest slot.
	last int64
	sum  float64
}

func slotAt(now time.Duration) int64 { return int64(now / slotLength) }

// at returns the count of a slot, which may be one before the start of the steady clock.
func (u *usage) at(slot int64) *float32 {
	count := int64(len(u.slots))
	return &u.slots[(slot%count+count)%count]
}

// advance discards the slots that have left the window.
func (u *usage) advance(now time.Duration, l Limit) {
	count := int64(min((l.Window+slotDelay)/slotLength+1, maxSlots))
	if int64(len(u.slots)) != count {
		u.slots, u.sum, u.last = make([]float32, count), 0, slotAt(now)
	}
	slot := slotAt(now)
	for u.last = max(u.last, slot-count); u.last < slot; {
		u.last++
		u.sum -= float64(*u.at(u.last))
		*u.at(u.last) = 0
	}
}

// add counts tokens that were granted in a slot, or returned if their number is negative.
func (u *usage) add(slot int64, tokens float64) {
	count := int64(len(u.slots))
	if count == 0 || slot <= u.last-count || slot > u.last {
		return
	}
	*u.at(slot) += float32(tokens)
	u.sum += tokens
}

// wait returns the time until less than a number of tokens is counted.
func (u *usage) wait(now time.Duration, limit float64) time.Duration {
	sum, count := u.sum, int64(len(u.slots))
	for slot := u.last - count + 1; slot <= u.last; slot++ {
		if sum+1 <= limit {
			return max(time.Duration(slot-1+count)*slotLength-now, 0)
		}
		sum -= float64(*u.at(slot))
	}
	return time.Duration(count) * slotLength
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
	// used counts the tokens of the window, if the limit has one.
	used usage
	// epoch changes whenever the bucket is full: a token that was taken before must not be returned, since the bucket would
	// have overflowed with it.
	epoch uint64
}

// available returns the number of whole tokens that may be taken from a bucket that holds a share of a limit.
func (b *bucket) available(l Limit, share float64) int {
	free := b.level
	if l.Most > 0 {
		free = min(free, max(l.Most*share, 1)-b.used.sum)
	}
	return int(max(free, 0))
}

// take takes available tokens and returns the slot in which they are counted.
func (b *bucket) take(now time.Duration, tokens int) (slot int64) {
	b.level -= float64(tokens)
	b.used.add(slotAt(now), float64(tokens))
	return slotAt(now)
}

// advance adds the tokens of a share of a limit since the last call, of which the bucket holds up to capacity.
func (b *bucket) advance(now time.Duration, l Limit, share, capacity float64) {
	rate := l.Rate * share
	if l.Most > 0 {
		b.used.advance(now, l)
	}
	if elapsed := now - b.at; elapsed > 0 {
		b.level += rate * elapsed.Seconds()
		b.at = now
	}
	if b.level >= capacity {
		b.level = capacity
		b.epoch++
	}
}
