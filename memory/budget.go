package memory

import (
	"cmp"
	"context"
	"slices"
	"sync"
)

// FreeBytes is the size in bytes up to which a message takes nothing from a Budget: the number of messages that a node holds at
// the same time is bounded by itself.
const FreeBytes = 64 << 10

// Kind is what bytes are held for. A later kind comes first when bytes are short, since more work has been done for it.
type Kind uint8

const (
	// Requests are bodies of the requests of callers.
	Requests Kind = iota
	// Deliveries are answers that callers have not read yet, or room for them.
	Deliveries
	// Answers are answers of the own backend server until they are passed on.
	Answers
	// Connections are the small messages that are held for connections of callers.
	Connections

	kindCount
)

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return [...]string{"requests", "deliveries", "answers", "connections"}[k]
}

const (
	// kindShare is the share of the limit that one kind other than Answers may take, and jointShare that all of these may take
	// together. The rest is left for Answers, which wait for no other kind, so that kinds never wait for each other in a circle.
	kindShare  = 0.625
	jointShare = 0.75
	// connectionShare is the share of Connections. They take room from Requests and Deliveries, but not from Answers.
	connectionShare = 0.3
)

// Budget is a limit on the bytes that are held at the same time. Use New; a nil Budget has no limit.
type Budget struct {
	limit int64

	mu   sync.Mutex
	used [kindCount]int64
	// peers holds what is held for the connections of each address.
	peers   map[string]*peer
	waiting []*waiter
	lastSeq uint64
}

// waiter is a reservation that waits for bytes.
type waiter struct {
	kind    Kind
	rank    int
	seq     uint64
	size    int64
	granted chan struct{}
}

// Reservation is a number of bytes that are held. Its methods accept nil, which holds none.
type Reservation struct {
	b *Budget

	// kind and size are guarded by b.mu.
	kind Kind
	size int64
}

// New returns a Budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve reserves bytes for a message and waits for them until ctx ends. It reports false if they did not become free, or never
// can. While bytes are short, later kinds go first, then lower ranks, then earlier reservations. The Reservation is nil for a
// message of at most FreeBytes.
func (b *Budget) Reserve(ctx context.Context, kind Kind, rank int, size int64) (*Reservation, bool) {
	if b == nil || size <= FreeBytes {
		return nil, true
	}
	if !b.acquire(ctx, kind, rank, size) {
		return nil, false
	}
	return &Reservation{b: b, kind: kind, size: size}, true
}

// acquire takes bytes and waits for them until ctx ends.
func (b *Budget) acquire(ctx context.Context, kind Kind, rank int, size int64) bool {
	b.mu.Lock()
	if size > b.ceiling(kind) {
		b.mu.Unlock()
		return false
	}
	b.lastSeq++
	w := &waiter{kind: kind, rank: rank, seq: b.lastSeq, size: size, granted: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(b.waiting, w, compareWaiters)
	b.waiting = slices.Insert(b.waiting, at, w)
	b.grantLocked()
	b.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	at = slices.Index(b.waiting, w)
	if at < 0 {
		return true // It was granted at the same moment.
	}
	b.waiting = slices.Delete(b.waiting, at, at+1)
	b.grantLocked()
	return false
}

func compareWaiters(x, y *waiter) int {
	return cmp.Or(-cmp.Compare(x.kind, y.kind), cmp.Compare(x.rank, y.rank), cmp.Compare(x.seq, y.seq))
}

// ceiling returns the most bytes that a kind may take.
func (b *Budget) ceiling(kind Kind) int64 {
	switch kind {
	case Answers:
		return b.limit
	case Connections:
		return int64(connectionShare * float64(b.limit))
	}
	return int64(kindShare * float64(b.limit))
}

// fitsLocked reports whether bytes of a kind are free.
func (b *Budget) fitsLocked(kind Kind, size int64) bool {
	if b.used[kind]+size > b.ceiling(kind) {
		return false
	}
	large := b.used[Requests] + b.used[Deliveries]
	switch kind {
	case Connections:
		return true
	case Answers:
		return large+b.used[Answers]+size <= b.limit
	}
	return large+b.used[Answers]+size <= b.limit && large+b.used[Connections]+size <= int64(jointShare*float64(b.limit))
}

// grantLocked grants the waiting reservations that fit. None overtakes one of its kind. None overtakes one of a later kind either,
// unless that waits only because of the share of its own kind.
func (b *Budget) grantLocked() {
	kept := b.waiting[:0]
	var blocked [kindCount]bool
	allBlocked := false
	for _, w := range b.waiting {
		if !allBlocked && !blocked[w.kind] && b.fitsLocked(w.kind, w.size) {
			b.used[w.kind] += w.size
			close(w.granted)
			continue
		}
		blocked[w.kind] = true
		if w.kind != Connections { // They have a share of their own.
			allBlocked = allBlocked || w.kind == Answers || b.used[w.kind]+w.size <= b.ceiling(w.kind)
		}
		kept = append(kept, w)
	}
	clear(b.waiting[len(kept):])
	b.waiting = kept
}

// release returns bytes.
func (b *Budget) release(kind Kind, size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used[kind] -= size
	b.grantLocked()
}

// Used returns the bytes that are held for a kind.
func (b *Budget) Used(kind Kind) int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[kind]
}

// Waiting returns the number of reservations that wait.
func (b *Budget) Waiting() int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// IsShort reports whether a reservation of a kind waits.
func (b *Budget) IsShort(kind Kind) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.waiting, func(w *waiter) bool { return w.kind == kind })
}

// Size returns the reserved bytes.
func (r *Reservation) Size() int64 {
	if r == nil {
		return 0
	}
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	return r.size
}

// Grow reserves bytes up to size and waits for them until ctx ends. It reports false, and keeps what it has, if they did not become
// free. A reservation that is large enough stays as it is. One goroutine uses a Reservation at a time.
func (r *Reservation) Grow(ctx context.Context, size int64) bool {
	missing := size - r.Size()
	if missing <= 0 {
		return true
	}
	if !r.b.acquire(ctx, r.kind, 0, missing) {
		return false
	}
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	r.size += missing
	return true
}

// Shrink returns the bytes beyond size.
func (r *Reservation) Shrink(size int64) {
	if r == nil {
		return
	}
	r.b.mu.Lock()
	excess := max(r.size-size, 0)
	r.size -= excess
	kind := r.kind
	r.b.mu.Unlock()
	r.b.release(kind, excess)
}

// Move changes the kind of what is held. It reports false, and leaves the kind as it is, if the bytes don't fit under the other one now.
func (r *Reservation) Move(kind Kind) bool {
	if r == nil {
		return true
	}
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	r.b.used[r.kind] -= r.size
	ok := r.b.fitsLocked(kind, r.size)
	if ok {
		r.kind = kind
	}
	r.b.used[r.kind] += r.size
	r.b.grantLocked()
	return ok
}

// Release returns all bytes. Further calls have no effect.
func (r *Reservation) Release() { r.Shrink(0) }
