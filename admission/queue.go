package admission

import (
	"container/heap"
	"math/bits"
	"time"

	"lovagelane/call"
)

// entry is a queued call. It is in one line of an order and in both heaps.
type entry struct {
	item    Item
	id      uint64
	op      *operation
	arrived time.Time
	// latest is the last moment at which a start meets the deadline.
	latest     time.Time
	seq        uint64
	order      *order
	line       *line
	prev, next *entry
	worstIndex int
	dueIndex   int
}

// queue holds the calls that wait. The calls of a restricted operation are kept apart, so that they can be passed over
// without a search.
type queue struct {
	byID map[uint64]*entry
	free order
	held order
	// byWorst has the least important and oldest call first.
	byWorst worstHeap
	// due has the call whose latest start comes first; calls without a deadline are not in it.
	due  dueHeap
	seq  uint64
	pool []*entry
}

func (q *queue) len() int { return len(q.byWorst) }

func (q *queue) worst() *entry { return q.byWorst[0] }

func (q *queue) push(now time.Time, item Item, op *operation, held bool) {
	var e *entry
	if n := len(q.pool); n > 0 {
		e, q.pool = q.pool[n-1], q.pool[:n-1]
	} else {
		e = new(entry)
	}
	q.seq++
	*e = entry{item: item, id: item.ID, op: op, arrived: now, seq: q.seq, dueIndex: -1}
	q.byID[item.ID] = e
	heap.Push(&q.byWorst, e)
	if !item.Deadline.IsZero() {
		e.latest = item.Deadline.Add(-op.estimate(now))
		heap.Push(&q.due, e)
	}
	q.insert(e, held)
}

func (q *queue) insert(e *entry, held bool) {
	e.order = &q.free
	if held {
		e.order = &q.held
	}
	e.order.push(e)
}

// remove takes a call out; the entry may be reused by the next push.
func (q *queue) remove(e *entry) {
	delete(q.byID, e.id)
	heap.Remove(&q.byWorst, e.worstIndex)
	if e.dueIndex >= 0 {
		heap.Remove(&q.due, e.dueIndex)
	}
	e.order.remove(e)
	q.pool = append(q.pool, e)
}

// best returns the call to start next, or nil when all that wait are held and held is false.
func (q *queue) best(newestFirst, held bool) *entry {
	e := q.free.best(newestFirst)
	if !held || q.held.n == 0 {
		return e
	}
	if h := q.held.best(newestFirst); e == nil || band(h.item.Priority) < band(e.item.Priority) {
		return h
	}
	return e
}

// regroup moves the calls of the restricted operation apart, and those of other operations back.
func (q *queue) regroup(restricted *operation) {
	for _, e := range q.byWorst {
		held := restricted != nil && e.op == restricted
		if held != (e.order == &q.held) {
			e.order.remove(e)
			q.insert(e, held)
		}
	}
}

// bands is the number of class ranks, each with one band for requests within the fair share and one for excess.
const bands = 2 * (call.MaxRank + 1)

// band returns the place of a priority in the order. Values within a band only decide which calls are shed; the order of
// service within it is fair between callers.
func band(p call.Priority) int {
	b := 2 * int(min(p.Rank, call.MaxRank))
	if p.Value >= call.FairValues {
		b++
	}
	return b
}

// order hands out calls by band and, within a band, to callers in turn.
type order struct {
	n    int
	used uint32
	band [bands]struct {
		lines map[string]*line
		head  *line
	}
}

// line holds the calls of one caller in a band in order of arrival; the lines of a band form a ring.
type line struct {
	caller         string
	band           int
	oldest, newest *entry
	prev, next     *line
}

func (o *order) push(e *entry) {
	i := band(e.item.Priority)
	b := &o.band[i]
	l := b.lines[e.item.Caller]
	if l == nil {
		l = &line{caller: e.item.Caller, band: i}
		if b.lines == nil {
			b.lines = map[string]*line{}
		}
		b.lines[l.caller] = l
		if b.head == nil {
			b.head, l.prev, l.next = l, l, l
		} else {
			// A new line comes last in turn.
			l.prev, l.next = b.head.prev, b.head
			l.prev.next, l.next.prev = l, l
		}
	}
	e.line, e.prev, e.next = l, l.newest, nil
	if l.newest != nil {
		l.newest.next = e
	} else {
		l.oldest = e
	}
	l.newest = e
	o.n++
	o.used |= 1 << i
}

// best returns the next call and leaves it in place. At overload the newest call of a caller is served first, because the
// oldest ones have used up most of their time.
func (o *order) best(newestFirst bool) *entry {
	if o.used == 0 {
		return nil
	}
	l := o.band[bits.TrailingZeros32(o.used)].head
	if newestFirst {
		return l.newest
	}
	return l.oldest
}

// remove takes a call out; when its caller was first in turn, the turn goes to the next caller.
func (o *order) remove(e *entry) {
	l := e.line
	b := &o.band[l.band]
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		l.oldest = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		l.newest = e.prev
	}
	e.line, e.prev, e.next = nil, nil, nil
	o.n--
	if b.head == l {
		b.head = l.next
	}
	if l.oldest != nil {
		return
	}
	delete(b.lines, l.caller)
	if l.next == l {
		b.head = nil
		o.used &^= 1 << l.band
		return
	}
	l.prev.next, l.next.prev = l.next, l.prev
}

type worstHeap []*entry

func (h worstHeap) Len() int { return len(h) }
func (h worstHeap) Less(i, j int) bool {
	a, b := h[i].item.Priority.Key(), h[j].item.Priority.Key()
	return a > b || a == b && h[i].seq < h[j].seq
}
func (h worstHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].worstIndex, h[j].worstIndex = i, j
}
func (h *worstHeap) Push(x any) {
	e := x.(*entry)
	e.worstIndex = len(*h)
	*h = append(*h, e)
}
func (h *worstHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

type dueHeap []*entry

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].latest.Before(h[j].latest) }
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].dueIndex, h[j].dueIndex = i, j
}
func (h *dueHeap) Push(x any) {
	e := x.(*entry)
	e.dueIndex = len(*h)
	*h = append(*h, e)
}
func (h *dueHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
