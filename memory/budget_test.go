package memory_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/kernel"
	"lovagelane/memory"
)

const mb = 1 << 20

// ended returns a context that has ended, with which a reservation never waits.
func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// reserveAsync starts a reservation and waits until it waits.
func reserveAsync(t *testing.T, b *memory.Budget, kind memory.Kind, rank int, size int64) <-chan *memory.Reservation {
	t.Helper()
	waiting := b.Waiting()
	done := make(chan *memory.Reservation, 1)
	kernel.NewGroup(t.Context()).Go("reserve", func(ctx context.Context) error {
		r, ok := b.Reserve(ctx, kind, rank, size)
		if ok {
			done <- r
		}
		return nil
	})
	require.Eventually(t, func() bool { return b.Waiting() == waiting+1 }, 10*time.Second, time.Millisecond)
	return done
}

// Guards against reservations that exceed their limits, and against small messages that wait.
func TestReserveKeepsTheLimits(t *testing.T) {
	b := memory.New(16 * mb)
	r, ok := b.Reserve(ended(), memory.Requests, 0, memory.FreeBytes)
	require.True(t, ok)
	require.Nil(t, r)
	r.Release()
	_, ok = b.Reserve(ended(), memory.Requests, 0, 11*mb)
	require.False(t, ok, "more than the share of a kind")
	requests, ok := b.Reserve(ended(), memory.Requests, 0, 8*mb)
	require.True(t, ok)
	_, ok = b.Reserve(ended(), memory.Deliveries, 0, 5*mb)
	require.False(t, ok, "more than the joint share")
	answers, ok := b.Reserve(ended(), memory.Answers, 0, 8*mb)
	require.True(t, ok, "the rest is left for answers")
	require.False(t, answers.Grow(ended(), 9*mb))
	requests.Release()
	requests.Release()
	require.True(t, answers.Grow(ended(), 16*mb))
	answers.Shrink(mb)
	require.EqualValues(t, mb, b.Used(memory.Answers))
	var none *memory.Budget
	_, ok = none.Reserve(ended(), memory.Requests, 0, 1<<40)
	require.True(t, ok, "a nil budget has no limit")
}

// Guards against work that has already run, or requests of a higher rank, that wait behind others.
func TestReserveOrder(t *testing.T) {
	b := memory.New(16 * mb)
	held, ok := b.Reserve(ended(), memory.Answers, 0, 16*mb)
	require.True(t, ok)
	late := reserveAsync(t, b, memory.Requests, 2, 4*mb)
	early := reserveAsync(t, b, memory.Requests, 0, 4*mb)
	answer := reserveAsync(t, b, memory.Answers, 0, 12*mb)
	held.Shrink(8 * mb)
	require.Zero(t, b.Used(memory.Requests), "a request takes the bytes that an answer waits for")
	held.Release()
	r := <-answer
	require.NotNil(t, <-early)
	require.EqualValues(t, 4*mb, b.Used(memory.Requests), "the lower rank goes first")
	r.Release()
	require.NotNil(t, <-late)
}

// Guards against a budget that drifts from the sum of what is held, exceeds its limit, or leaves a reservation waiting that fits.
func TestBudgetEqualsTheSumOfItsReservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 40 * mb
		b := memory.New(limit)
		var held []*memory.Reservation
		kinds := []memory.Kind{memory.Requests, memory.Deliveries, memory.Answers}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at := 0
			if len(held) > 0 {
				at = rapid.IntRange(0, len(held)-1).Draw(t, "at")
			}
			size := rapid.Int64Range(1, 12*mb).Draw(t, "size")
			switch step := rapid.IntRange(0, 4).Draw(t, "step"); {
			case step == 0 || len(held) == 0:
				if r, ok := b.Reserve(ended(), rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.IntRange(0, 2).Draw(t, "rank"), size); ok && r != nil {
					held = append(held, r)
				}
			case step == 1:
				held[at].Grow(ended(), size)
			case step == 2:
				held[at].Shrink(size)
			case step == 3:
				held[at].Move(rapid.SampledFrom(kinds).Draw(t, "kind"))
			default:
				held[at].Release()
				held = append(held[:at], held[at+1:]...)
			}
			sum, used := int64(0), int64(0)
			for _, r := range held {
				sum += r.Size()
			}
			for _, k := range kinds {
				used += b.Used(k)
			}
			require.Equal(t, sum, used)
			require.LessOrEqual(t, used, int64(limit))
			require.Zero(t, b.Waiting())
		}
	})
}

// Guards against bytes that are lost when reservations are granted, given up and released at the same time.
func TestBudgetIsEmptyInTheEnd(t *testing.T) {
	b := memory.New(16 * mb)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			for range 50 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%4)*100*time.Microsecond)
				r, ok := b.Reserve(ctx, memory.Kind(i%3), i%3, int64(1+i%6)*mb)
				if ok {
					r.Grow(ctx, int64(2+i%6)*mb)
					time.Sleep(50 * time.Microsecond)
					r.Release()
				}
				cancel()
			}
		})
	}
	wg.Wait()
	for k := range 3 {
		require.Zero(t, b.Used(memory.Kind(k)))
	}
	require.Zero(t, b.Waiting())
}
