package control

import (
	"context"
	"sync"
	"time"

	"lovagelane/kernel"
)

// sleep waits for d and reports false if ctx ended first.
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

// pacer limits the rate of dials of this node.
type pacer struct {
	interval time.Duration
	rand     *kernel.Rand

	mu       sync.Mutex
	nextDial time.Time
}

// wait blocks until the next dial may start; it reports false if ctx ended first.
func (p *pacer) wait(ctx context.Context) bool {
	now := time.Now()
	p.mu.Lock()
	start := p.nextDial
	if start.Before(now) {
		start = now
	}
	p.nextDial = start.Add(p.interval + p.interval - p.rand.Jitter(p.interval, 0.5))
	p.mu.Unlock()
	return sleep(ctx, start.Sub(now))
}

// backoff doubles the delay between attempts, from min up to max.
type backoff struct {
	min, max time.Duration
	rand     *kernel.Rand
	delay    time.Duration
}

func (b *backoff) reset() { b.delay = 0 }

// nextDelay returns the delay before the next attempt, with jitter of up to half of it.
func (b *backoff) nextDelay() time.Duration {
	b.delay = min(max(2*b.delay, b.min), b.max)
	return b.rand.Jitter(b.delay, 0.5)
}

// boundedSet holds the latest items up to its capacity. It is not safe for concurrent use.
type boundedSet[T comparable] struct {
	items    map[T]struct{}
	order    []T
	oldest   int
	capacity int
}

// add adds an item, evicts the oldest one if the set is full, and reports whether the item was new.
func (s *boundedSet[T]) add(item T) bool {
	if _, ok := s.items[item]; ok {
		return false
	}
	if s.items == nil {
		s.items = map[T]struct{}{}
	}
	s.items[item] = struct{}{}
	if len(s.order) < s.capacity {
		s.order = append(s.order, item)
		return true
	}
	delete(s.items, s.order[s.oldest])
	s.order[s.oldest] = item
	s.oldest = (s.oldest + 1) % s.capacity
	return true
}
