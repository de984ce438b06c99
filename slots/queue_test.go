package slots_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/slots"
)

var start = time.Unix(1000, 0)

func call(id uint64, rank int, wait time.Duration) slots.Call {
	return slots.Call{ID: id, Rank: rank, LatestStart: start.Add(wait)}
}

func queue(limit int) *slots.Queue {
	q := &slots.Queue{}
	q.SetLimit(limit)
	return q
}

// Guards against a less important call that starts before a more important one, and a later call that starts before an earlier
// one of the same rank.
func TestImportantCallsStartFirst(t *testing.T) {
	q := queue(1)
	require.Equal(t, slots.Start{}, q.Arrive(start, call(1, 2, time.Second)))
	require.Equal(t, slots.Wait{}, q.Arrive(start, call(2, 2, time.Minute)))
	require.Equal(t, slots.Wait{}, q.Arrive(start, call(3, 1, time.Minute)))
	require.Equal(t, slots.Wait{}, q.Arrive(start, call(4, 0, time.Minute)))
	for _, want := range []uint64{4, 3, 2} {
		finished := map[uint64]uint64{4: 1, 3: 4, 2: 3}[want]
		require.Equal(t, []slots.Event{slots.Started{ID: want}}, q.Finish(finished, time.Millisecond))
	}
}

// Guards against queueing a call that is estimated to start after its latest start, and against refusing a call although only
// less important calls wait.
func TestCallIsRefusedAtOnceWhenTheWaitIsTooLong(t *testing.T) {
	q := queue(1)
	q.Arrive(start, call(1, 2, 0))
	q.Finish(1, time.Second)
	q.Arrive(start, call(2, 2, 0))
	require.Equal(t, slots.Refuse{Wait: time.Second}, q.Arrive(start, call(3, 2, 900*time.Millisecond)))
	require.Equal(t, slots.Wait{}, q.Arrive(start, call(4, 2, 1100*time.Millisecond)))
	require.Equal(t, slots.Refuse{Wait: 2 * time.Second}, q.Arrive(start, call(5, 2, 1100*time.Millisecond)))
	require.Equal(t, slots.Wait{}, q.Arrive(start, call(6, 0, 1100*time.Millisecond)))
}

// Guards against a waiting call that starts after Close, while the backend server drains.
func TestCloseRefusesWaitingAndLaterCalls(t *testing.T) {
	q := queue(1)
	q.Arrive(start, call(1, 0, time.Second))
	q.Arrive(start, call(2, 0, time.Second))
	require.Equal(t, []slots.Event{slots.Expired{ID: 2}}, q.Close())
	require.Empty(t, q.Finish(1, time.Millisecond))
	require.Equal(t, slots.Refuse{}, q.Arrive(start, call(3, 0, time.Second)))
	q.Open()
	require.Equal(t, slots.Start{}, q.Arrive(start, call(4, 0, time.Second)))
}

// Guards against more running calls than slots, a queued call with no event or more than one, an expiry before the latest start,
// and a free slot while calls wait.
func TestQueueSettlesEachCallOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		q := queue(limit)
		now := start
		running, waiting := map[uint64]bool{}, map[uint64]time.Time{}
		settle := func(events []slots.Event) {
			for _, e := range events {
				switch e := e.(type) {
				case slots.Started:
					require.Contains(t, waiting, e.ID)
					running[e.ID] = true
					delete(waiting, e.ID)
				case slots.Expired:
					require.False(t, now.Before(waiting[e.ID]), "expired early")
					delete(waiting, e.ID)
				}
			}
			require.LessOrEqual(t, len(running), limit)
		}
		any := func(m map[uint64]bool) uint64 {
			least := uint64(0)
			for id := range m {
				if least == 0 || id < least {
					least = id
				}
			}
			return least
		}
		for id := uint64(1); id < 200; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			settle(q.Expire(now))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				c := slots.Call{ID: id, Rank: rapid.IntRange(0, 2).Draw(t, "rank"),
					Account:     rapid.SampledFrom([]string{"", "truro", "bodmin"}).Draw(t, "account"),
					Route:       rapid.SampledFrom([]string{"read", "order"}).Draw(t, "route"),
					LatestStart: now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond)}
				switch d := q.Arrive(now, c).(type) {
				case slots.Start:
					running[id] = true
				case slots.Displace:
					require.Contains(t, waiting, d.ID)
					delete(waiting, d.ID)
					waiting[id] = c.LatestStart
				case slots.Wait:
					waiting[id] = c.LatestStart
				}
			case 2:
				if done := any(running); done != 0 {
					delete(running, done)
					settle(q.Finish(done, time.Duration(rapid.IntRange(1, 100).Draw(t, "ran"))*time.Millisecond))
				}
			case 3:
				if done := any(running); done != 0 {
					delete(running, done)
					settle(q.Cancel(done))
				}
			}
			require.Equal(t, len(running), q.Load().Running)
			require.Equal(t, len(waiting), q.Load().Waiting)
			if len(waiting) > 0 {
				require.Equal(t, limit, len(running), "a slot is free while calls wait")
			}
		}
	})
}
