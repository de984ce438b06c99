package memory_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/memory"
)

// Guards against an account of connections that drifts from the sum of what they hold, by connection, by address or in all,
// whatever the order in which messages arrive, are read, are given up and connections end.
func TestHoldingsEqualTheirSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := memory.New(16 * mb)
		addresses := []string{"10.0.0.1", "10.0.0.2"}
		type connection struct {
			*memory.Holding
			address string
			size    int64
		}
		var open []*connection
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			address := rapid.SampledFrom(addresses).Draw(t, "address")
			size := rapid.Int64Range(1, 2*mb).Draw(t, "size")
			step := rapid.IntRange(0, 6).Draw(t, "step")
			if step == 0 || len(open) == 0 {
				open = append(open, &connection{Holding: b.OpenHolding(address, mb), address: address})
				continue
			}
			at := rapid.IntRange(0, len(open)-1).Draw(t, "at")
			c := open[at]
			switch step {
			case 1:
				if c.Take(ended(), size) {
					c.size += size
				}
			case 2:
				c.Add(size)
				c.size += size
			case 3:
				c.Add(-size)
				c.size = max(c.size-size, 0)
			case 4:
				c.Close()
				c.Close()
				c.Add(size)
				require.False(t, c.Take(ended(), size))
				open = append(open[:at], open[at+1:]...)
			case 5:
				if r, ok := b.Reserve(ended(), memory.Requests, 0, size); ok {
					r.Release()
				}
			case 6:
				if c.TryTakeAhead(size) {
					c.size += size
					require.LessOrEqual(t, b.Used(memory.Connections), int64(16*mb)*9/40, "what is sent ahead leaves no room")
				}
			}
			sum, byAddress, connections := int64(0), map[string]int64{}, map[string]int{}
			for _, c := range open {
				require.Equal(t, c.size, c.Size())
				sum += c.size
				byAddress[c.address] += c.size
				connections[c.address]++
			}
			for _, c := range open {
				size, count := c.PeerSize()
				require.Equal(t, byAddress[c.address], size)
				require.Equal(t, connections[c.address], count)
			}
			peers, _ := b.Peers()
			require.Len(t, byAddress, peers)
			require.Equal(t, sum, b.Used(memory.Connections))
			require.Zero(t, b.Waiting())
		}
	})
}

// Guards against bytes of connections that are lost when waits are granted, given up and cut off by the end of the connection at
// the same time.
func TestHoldingsAreEmptyInTheEnd(t *testing.T) {
	b := memory.New(4 * mb)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			for range 50 {
				h := b.OpenHolding("10.0.0.1", mb)
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%4)*100*time.Microsecond)
				wg.Go(func() {
					time.Sleep(50 * time.Microsecond)
					h.Close()
				})
				if h.Take(ctx, int64(1+i%6)*100<<10) {
					h.Add(64 << 10)
					h.Add(-32 << 10)
				}
				cancel()
				h.Close()
			}
		})
	}
	wg.Wait()
	require.Zero(t, b.Used(memory.Connections))
	require.Zero(t, b.Waiting())
	peers, _ := b.Peers()
	require.Zero(t, peers)
}

// Guards against a caller, or an address, that takes the room of others by sending ahead, and against callers that hold little and
// wait behind those that hold much.
func TestConnectionsThatHoldLittleGoFirst(t *testing.T) {
	b := memory.New(10 * mb) // 3 MB of it are for connections.
	greedy, modest := b.OpenHolding("10.0.0.1", mb), b.OpenHolding("10.0.0.2", mb)
	greedy.Add(mb / 2)
	require.True(t, greedy.MayReadAhead())
	greedy.Add(mb)
	require.False(t, greedy.MayReadAhead())
	require.True(t, modest.MayReadAhead())
	require.True(t, modest.Take(ended(), mb/2))
	require.Zero(t, b.Excess())
	greedy.Add(mb)
	require.False(t, modest.MayReadAhead(), "three quarters are used")
	require.Positive(t, b.Excess())
	first, second := make(chan bool, 1), make(chan bool, 1)
	var wg sync.WaitGroup
	take := func(h *memory.Holding, done chan<- bool) {
		waiting := b.Waiting()
		wg.Go(func() { done <- h.Take(t.Context(), mb) })
		require.Eventually(t, func() bool { return b.Waiting() == waiting+1 }, 10*time.Second, time.Millisecond)
	}
	take(greedy, second)
	take(modest, first)
	greedy.Add(-mb)
	require.True(t, <-first)
	require.Equal(t, 1, b.Waiting())
	greedy.Add(-mb)
	require.True(t, <-second)
	wg.Wait()
	_, ok := b.Reserve(ended(), memory.Answers, 0, 10*mb)
	require.True(t, ok, "connections take no room from work that has run")
}

// Guards against a small request, of which a part is read, that waits behind an unending row of large ones that hold nothing yet.
func TestSmallRequestsPassLargeOnes(t *testing.T) {
	b := memory.New(10 * mb) // 3 MB of it are for connections.
	holder, large, small := b.OpenHolding("10.0.0.1", mb), b.OpenHolding("10.0.0.1", mb), b.OpenHolding("10.0.0.1", mb)
	holder.Add(3*mb - 8<<10)
	small.Add(8 << 10)
	first := make(chan bool, 2)
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	defer wg.Wait()
	defer cancel()
	for i, h := range []*memory.Holding{large, small} {
		wg.Go(func() {
			if h.Take(ctx, []int64{184 << 10, 8 << 10}[i]) {
				first <- h == small
			}
		})
		require.Eventually(t, func() bool { return b.Waiting() == i+1 }, 10*time.Second, time.Millisecond)
	}
	holder.Add(-8 << 10)
	select {
	case isSmall := <-first:
		require.True(t, isSmall)
	case <-time.After(10 * time.Second):
		t.Fatal("the small request waits behind the large one")
	}
}
