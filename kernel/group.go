package kernel

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/alitto/pond/v2"
	"golang.org/x/sync/errgroup"
)

// Group runs the long-lived goroutines of one component and stops them together.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	eg     *errgroup.Group
}

// NewGroup returns a group whose context is cancelled with ctx, on Stop, or when one of its goroutines fails.
func NewGroup(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	eg, ctx := errgroup.WithContext(ctx)
	return &Group{ctx: ctx, cancel: cancel, eg: eg}
}

// Context returns the context that the group passes to its goroutines.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs f in a goroutine and turns a panic in it into an error that contains name and the stack.
func (g *Group) Go(name string, f func(ctx context.Context) error) {
	g.eg.Go(func() (err error) {
		defer func() {
			if r := recover(); r != nil {
				err = fmt.Errorf("goroutine %s panicked: %v\n%s", name, r, debug.Stack())
			}
		}()
		return f(g.ctx)
	})
}

// Every starts a goroutine that calls f once per interval until the group stops; jitter in [0,1) shortens each interval
// by a random fraction up to that value, so that many processes do not act at the same time.
func (g *Group) Every(name string, interval time.Duration, jitter float64, r *Rand, f func(ctx context.Context)) {
	g.Go(name, func(ctx context.Context) error {
		timer := time.NewTimer(r.Jitter(interval, jitter))
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-timer.C:
				f(ctx)
				timer.Reset(r.Jitter(interval, jitter))
			}
		}
	})
}

// Stop cancels the group's context, waits for its goroutines and returns the error of Wait.
func (g *Group) Stop() error {
	g.cancel()
	return g.Wait()
}

// StopWithin is Stop with a wait of at most d, so that a process can exit while a goroutine is blocked on the network; it
// returns nil when d has passed.
func (g *Group) StopWithin(d time.Duration) error {
	g.cancel()
	done := make(chan error, 1)
	waiter := &errgroup.Group{}
	waiter.Go(func() error {
		done <- g.Wait()
		return nil
	})
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-timer.C:
		return nil
	}
}

// Wait waits for the group's goroutines and returns the first error, or nil if that error is context.Canceled.
func (g *Group) Wait() error {
	err := g.eg.Wait()
	g.cancel()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Pool is a worker pool with a bounded queue for short tasks.
type Pool struct {
	pool pond.Pool
}

// NewPool returns a pool with at most workers goroutines and at most queue queued tasks.
func NewPool(workers, queue int) *Pool {
	return &Pool{pool: pond.NewPool(workers, pond.WithQueueSize(queue), pond.WithNonBlocking(true))}
}

// Submit queues task and returns false, without running it, when the queue is full or the pool is stopped.
func (p *Pool) Submit(task func()) bool {
	return p.pool.Go(task) == nil
}

// Stop waits for all accepted tasks and stops the workers.
func (p *Pool) Stop() { p.pool.StopAndWait() }
