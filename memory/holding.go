package memory

import "context"

const (
	// readAheadShare is the share of the room of Connections up to which connections that hold something are read ahead, and up to which
	// requests that wait for earlier ones take room. peerShare is that up to which connections of one address are read ahead.
	readAheadShare = 0.75
	peerShare      = 0.5
	// freedShare is the share of that room that Excess leaves in use.
	freedShare = 0.5
	// rankBytes is the difference of the bytes held that changes the order of two connections that wait.
	rankBytes = 4 << 10
	// peerRank is the rank of a connection whose address holds more than its share. It is behind those of all others.
	peerRank = 1 << 20
)

// peer is what is held for the connections of one address.
type peer struct {
	address     string
	size        int64
	connections int
}

// Holding is the number of bytes that are held for one connection of a caller, beside its larger Reservations. Its methods accept
// nil, which counts nothing and has no limit. They are safe for use by several goroutines.
type Holding struct {
	b     *Budget
	limit int64
	peer  *peer

	// size and closed are guarded by b.mu.
	size   int64
	closed bool
}

// OpenHolding returns the empty Holding of a connection of an address, which is read ahead up to limit bytes. The Holding of a nil
// Budget is nil.
func (b *Budget) OpenHolding(address string, limit int64) *Holding {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.peers[address]
	if !ok {
		if b.peers == nil {
			b.peers = map[string]*peer{}
		}
		p = &peer{address: address}
		b.peers[address] = p
	}
	p.connections++
	return &Holding{b: b, limit: limit, peer: p}
}

// addLocked changes the bytes of a Holding and of its peer, but not those of the kind.
func (h *Holding) addLocked(size int64) {
	h.size += size
	h.peer.size += size
}

// TryTake adds bytes and reports false if there is no room now, or a connection waits for it.
func (h *Holding) TryTake(size int64) bool {
	if h == nil {
		return true
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	return h.tryTakeLocked(size)
}

// TryTakeAhead is TryTake for a request whose answer waits for those to earlier ones of its connection. It leaves the last part of the
// room to requests that wait for nothing but their own run.
func (h *Holding) TryTakeAhead(size int64) bool {
	if h == nil {
		return true
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	return float64(h.b.used[Connections]+size) <= readAheadShare*float64(h.b.ceiling(Connections)) && h.tryTakeLocked(size)
}

func (h *Holding) tryTakeLocked(size int64) bool {
	if h.closed || !h.b.fitsLocked(Connections, size) || h.b.connectionsWaitLocked() {
		return false
	}
	h.b.used[Connections] += size
	h.addLocked(size)
	return true
}

// Take adds bytes and waits for room until ctx ends. It reports false if there was none. Connections that hold little with these
// bytes go first, so that a small request passes large ones that hold nothing yet.
func (h *Holding) Take(ctx context.Context, size int64) bool {
	if h == nil {
		return true
	}
	b := h.b
	b.mu.Lock()
	rank := int((h.size + size) / rankBytes)
	if float64(h.peer.size) > peerShare*float64(b.ceiling(Connections)) {
		rank += peerRank
	}
	b.mu.Unlock()
	if !b.acquire(ctx, Connections, rank, size) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		b.used[Connections] -= size
		b.grantLocked()
		return false
	}
	h.addLocked(size)
	return true
}

// connectionsWaitLocked reports whether a connection waits. Connections are first in the order of waiters.
func (b *Budget) connectionsWaitLocked() bool {
	return len(b.waiting) > 0 && b.waiting[0].kind == Connections
}

// Add adds bytes without a wait, for what is held already. A negative size returns bytes. It has no effect after Close.
func (h *Holding) Add(size int64) {
	if h == nil || size == 0 {
		return
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	if h.closed {
		return
	}
	size = max(size, -h.size)
	h.addLocked(size)
	h.b.used[Connections] += size
	if size < 0 && len(h.b.waiting) > 0 {
		h.b.grantLocked()
	}
}

// Size returns the bytes that are held.
func (h *Holding) Size() int64 {
	if h == nil {
		return 0
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	return h.size
}

// PeerSize returns the bytes that are held for all connections of the address, and their number.
func (h *Holding) PeerSize() (size int64, connections int) {
	if h == nil {
		return 0, 0
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	return h.peer.size, h.peer.connections
}

// MayReadAhead reports whether another request may be read while earlier ones are unanswered.
func (h *Holding) MayReadAhead() bool {
	if h == nil {
		return true
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	room := float64(h.b.ceiling(Connections))
	return h.size < h.limit && float64(h.peer.size) < peerShare*room && float64(h.b.used[Connections]) < readAheadShare*room
}

// Close returns all bytes. Further calls have no effect.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	if h.closed {
		return
	}
	h.b.used[Connections] -= h.size
	h.addLocked(-h.size)
	h.closed = true
	h.peer.connections--
	if h.peer.connections == 0 {
		delete(h.b.peers, h.peer.address)
	}
	h.b.grantLocked()
}

// Excess returns the bytes that connections without progress have to free because room is short, or 0.
func (b *Budget) Excess() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	room, used := float64(b.ceiling(Connections)), float64(b.used[Connections])
	if used < readAheadShare*room && !b.connectionsWaitLocked() {
		return 0
	}
	return max(int64(used-freedShare*room), 1)
}

// Peers returns the number of addresses with open connections, and the bytes held for the largest.
func (b *Budget) Peers() (count int, largest int64) {
	if b == nil {
		return 0, 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		largest = max(largest, p.size)
	}
	return len(b.peers), largest
}
