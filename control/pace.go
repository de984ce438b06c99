package control

import (
	"context"
	"sync"
	"time"

	"lovagelane/kernel"
)

// sleep waits and reports false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// pacer spaces the dials of this node.
type pacer struct {
	gap  time.Duration
	rand *kernel.Rand

	mu   sync.Mutex
	next time.Time
}

// wait returns when the next dial may start; it reports false when ctx ended first.
func (p *pacer) wait(ctx context.Context) bool {
	now := time.Now()
	p.mu.Lock()
	slot := p.next
	if slot.Before(now) {
		slot = now
	}
	p.next = slot.Add(p.gap + p.gap - p.rand.Jitter(p.gap, 0.5))
	p.mu.Unlock()
	return sleep(ctx, slot.Sub(now))
}

// backoff grows the pause between attempts with each failure.
type backoff struct {
	min, max time.Duration
	rand     *kernel.Rand
	current  time.Duration
}

func (b *backoff) reset() { b.current = 0 }

// next returns the pause before the next attempt, of which up to half is random.
func (b *backoff) next() time.Duration {
	b.current = min(max(2*b.current, b.min), b.max)
	return b.rand.Jitter(b.current, 0.5)
}

// seen remembers the latest items up to a bound; the caller serializes access to it.
type seen[T comparable] struct {
	items map[T]struct{}
	order []T
	next  int
	bound int
}

// add reports whether the item is new, and forgets the oldest one when there are too many.
func (s *seen[T]) add(item T) bool {
	if _, ok := s.items[item]; ok {
		return false
	}
	if s.items == nil {
		s.items = map[T]struct{}{}
	}
	s.items[item] = struct{}{}
	if len(s.order) < s.bound {
		s.order = append(s.order, item)
		return true
	}
	delete(s.items, s.order[s.next])
	s.order[s.next] = item
	s.next = (s.next + 1) % s.bound
	return true
}
