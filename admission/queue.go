package admission

import (
	"cmp"
	"container/heap"
	"math/bits"
	"slices"
	"time"

	"lovagelane/call"
)

// entry is a queued call. It is in one callerQueue of a fairQueue and in the heap byImportance; with a deadline, it is also in
// the heap byLatestStart.
type entry struct {
	item    Item
	id      uint64
	op      *operation
	arrived time.Time
	// latestStart is the latest time at which a start meets the deadline.
	latestStart      time.Time
	seq              uint64
	fairQueue        *fairQueue
	callerQueue      *callerQueue
	prev, next       *entry
	importanceIndex  int
	latestStartIndex int
}

// queue holds the waiting calls. The calls of a restricted operation are in a separate fairQueue, so that they can be skipped
// without a search.
type queue struct {
	byID         map[uint64]*entry
	unrestricted fairQueue
	restricted   fairQueue
	// byImportance has the least important call first, and the oldest one among equals.
	byImportance importanceHeap
	// byLatestStart has the call with the earliest latestStart first; it excludes calls without a deadline.
	byLatestStart latestStartHeap
	seq           uint64
	pool          []*entry
}

func (q *queue) len() int { return len(q.byImportance) }

func (q *queue) leastImportant() *entry { return q.byImportance[0] }

func (q *queue) push(now time.Time, item Item, op *operation, restricted bool) {
	var e *entry
	if n := len(q.pool); n > 0 {
		e, q.pool = q.pool[n-1], q.pool[:n-1]
	} else {
		e = new(entry)
	}
	q.seq++
	*e = entry{item: item, id: item.ID, op: op, arrived: now, seq: q.seq, latestStartIndex: -1}
	q.byID[item.ID] = e
	heap.Push(&q.byImportance, e)
	if !item.Deadline.IsZero() {
		e.latestStart = item.Deadline.Add(-op.estimate(now))
		heap.Push(&q.byLatestStart, e)
	}
	q.insert(e, restricted)
}

func (q *queue) insert(e *entry, restricted bool) {
	e.fairQueue = &q.unrestricted
	if restricted {
		e.fairQueue = &q.restricted
	}
	e.fairQueue.push(e)
}

// remove removes a call; the next push may reuse the entry.
func (q *queue) remove(e *entry) {
	delete(q.byID, e.id)
	heap.Remove(&q.byImportance, e.importanceIndex)
	if e.latestStartIndex >= 0 {
		heap.Remove(&q.byLatestStart, e.latestStartIndex)
	}
	e.fairQueue.remove(e)
	q.pool = append(q.pool, e)
}

// peek returns the call to start next, or nil if there is none. It skips restricted calls unless allowRestricted is set.
func (q *queue) peek(newestFirst, allowRestricted bool) *entry {
	e := q.unrestricted.peek(newestFirst)
	if !allowRestricted || q.restricted.n == 0 {
		return e
	}
	if r := q.restricted.peek(newestFirst); e == nil || band(r.item.Priority) < band(e.item.Priority) {
		return r
	}
	return e
}

// setRestricted moves the calls of the restricted operation to the restricted queue, and all others to the unrestricted one, in
// the order of their arrival.
func (q *queue) setRestricted(op *operation) {
	var moved []*entry
	for _, e := range q.byImportance {
		if (op != nil && e.op == op) != (e.fairQueue == &q.restricted) {
			moved = append(moved, e)
		}
	}
	slices.SortFunc(moved, func(a, b *entry) int { return cmp.Compare(a.seq, b.seq) })
	for _, e := range moved {
		isRestricted := e.fairQueue == &q.unrestricted
		e.fairQueue.remove(e)
		q.insert(e, isRestricted)
	}
}

// bands is the number of service bands: each class rank has one for requests within the fair share and one for excess.
const bands = 2 * (call.MaxRank + 1)

// band returns the service band of a priority; lower bands are served first. Values within a band only decide which calls are
// shed; within a band, callers take turns.
func band(p call.Priority) int {
	b := 2 * int(min(p.Rank, call.MaxRank))
	if p.Value >= call.FairShareValues {
		b++
	}
	return b
}

// fairQueue serves calls by band and, within a band, callers in round-robin order.
type fairQueue struct {
	n int
	// nonEmpty is a bit set of the bands that have calls.
	nonEmpty uint32
	band     [bands]struct {
		callers map[string]*callerQueue
		head    *callerQueue
	}
}

// callerQueue holds the calls of one caller in a band in order of insertion; the queues of a band form a ring.
type callerQueue struct {
	caller         string
	band           int
	oldest, newest *entry
	prev, next     *callerQueue
}

func (f *fairQueue) push(e *entry) {
	i := band(e.item.Priority)
	b := &f.band[i]
	c := b.callers[e.item.Caller]
	if c == nil {
		c = &callerQueue{caller: e.item.Caller, band: i}
		if b.callers == nil {
			b.callers = map[string]*callerQueue{}
		}
		b.callers[c.caller] = c
		if b.head == nil {
			b.head, c.prev, c.next = c, c, c
		} else {
			// A new caller is last in the round-robin order.
			c.prev, c.next = b.head.prev, b.head
			c.prev.next, c.next.prev = c, c
		}
	}
	e.callerQueue, e.prev, e.next = c, c.newest, nil
	if c.newest != nil {
		c.newest.next = e
	} else {
		c.oldest = e
	}
	c.newest = e
	f.n++
	f.nonEmpty |= 1 << i
}

// peek returns the next call without removing it, or nil if there is none. During overload the newest call of a caller is
// served first, because the oldest calls have used up most of their time.
func (f *fairQueue) peek(newestFirst bool) *entry {
	if f.nonEmpty == 0 {
		return nil
	}
	c := f.band[bits.TrailingZeros32(f.nonEmpty)].head
	if newestFirst {
		return c.newest
	}
	return c.oldest
}

// remove removes a call; if its caller is at the head of the ring, the next caller becomes the head.
func (f *fairQueue) remove(e *entry) {
	c := e.callerQueue
	b := &f.band[c.band]
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		c.oldest = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		c.newest = e.prev
	}
	e.callerQueue, e.prev, e.next = nil, nil, nil
	f.n--
	if b.head == c {
		b.head = c.next
	}
	if c.oldest != nil {
		return
	}
	delete(b.callers, c.caller)
	if c.next == c {
		b.head = nil
		f.nonEmpty &^= 1 << c.band
		return
	}
	c.prev.next, c.next.prev = c.next, c.prev
}

type importanceHeap []*entry

func (h importanceHeap) Len() int { return len(h) }
func (h importanceHeap) Less(i, j int) bool {
	a, b := h[i].item.Priority.Key(), h[j].item.Priority.Key()
	return a > b || a == b && h[i].seq < h[j].seq
}
func (h importanceHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].importanceIndex, h[j].importanceIndex = i, j
}
func (h *importanceHeap) Push(x any) {
	e := x.(*entry)
	e.importanceIndex = len(*h)
	*h = append(*h, e)
}
func (h *importanceHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

type latestStartHeap []*entry

func (h latestStartHeap) Len() int           { return len(h) }
func (h latestStartHeap) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }
func (h latestStartHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].latestStartIndex, h[j].latestStartIndex = i, j
}
func (h *latestStartHeap) Push(x any) {
	e := x.(*entry)
	e.latestStartIndex = len(*h)
	*h = append(*h, e)
}
func (h *latestStartHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
