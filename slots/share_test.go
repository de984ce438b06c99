package slots_test

import (
	"container/heap"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/kernel"
	"lovagelane/slots"
)

const ms = time.Millisecond

// source is an account that sends calls to the queue of one backend server.
type source struct {
	account string
	rank    int
	// slots is the demand in slots at a time since the start; the calls take run each.
	slots func(at time.Duration) float64
	run   time.Duration
	route string
	// wait is how long a call may be queued. A call that isn't run is sent again after retryAfter, up to retries times.
	wait       time.Duration
	retries    int
	retryAfter time.Duration

	asked, served, overShare int
	// servedWork is in slot-seconds, of the calls that started while calls arrived.
	servedWork float64
	// longestWait is the longest time that a call waited before it started.
	longestWait time.Duration
}

func steady(slots float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return slots }
}

type simEvent struct {
	at time.Duration
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation plays calls of sources at the queue of one backend server, without real time.
type simulation struct {
	q       *slots.Queue
	length  time.Duration
	rand    *kernel.Rand
	now     time.Duration
	events  simEvents
	lastID  uint64
	pending map[uint64]func(ran bool)
}

// simulate plays sources for a time and then until their calls have ended.
func simulate(limit int, length time.Duration, sources ...*source) {
	s := &simulation{q: queue(limit), length: length, rand: kernel.NewRand(1), pending: map[uint64]func(bool){}}
	for _, src := range sources {
		s.scheduleArrival(src, length)
	}
	for at := time.Duration(0); at < length+10*time.Second; at += 10 * ms {
		s.at(at, func() { s.settle(s.q.Expire(start.Add(s.now))) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

func (s *simulation) at(t time.Duration, do func()) { heap.Push(&s.events, simEvent{t, do}) }

// scheduleArrival schedules the next call of a source, with random gaps.
func (s *simulation) scheduleArrival(src *source, length time.Duration) {
	mean := src.run.Seconds() / src.slots(s.now)
	next := s.now + time.Duration(mean*2*float64(s.rand.IntN(1<<20))/(1<<20)*float64(time.Second))
	if next >= length {
		return
	}
	s.at(next, func() {
		src.asked++
		s.arrive(src, src.retries)
		s.scheduleArrival(src, length)
	})
}

func (s *simulation) arrive(src *source, retries int) {
	s.lastID++
	id, arrived := s.lastID, s.now
	s.pending[id] = func(ran bool) {
		switch {
		case ran:
			src.served++
			src.longestWait = max(src.longestWait, s.now-arrived)
			if s.now < s.length {
				src.servedWork += src.run.Seconds()
			}
			s.at(s.now+src.run, func() { s.settle(s.q.Finish(id, src.run)) })
		case retries > 0:
			s.at(s.now+src.retryAfter, func() { s.arrive(src, retries-1) })
		}
	}
	d := s.q.Arrive(start.Add(s.now), slots.Call{ID: id, Rank: src.rank, Account: src.account, Route: src.route,
		LatestStart: start.Add(s.now + src.wait)})
	switch d := d.(type) {
	case slots.Start:
		s.end(id, true)
	case slots.Displace:
		s.end(d.ID, false)
	case slots.Refuse:
		if d.OverShare {
			src.overShare++
		}
		s.end(id, false)
	}
}

func (s *simulation) settle(events []slots.Event) {
	for _, e := range events {
		switch e := e.(type) {
		case slots.Started:
			s.end(e.ID, true)
		case slots.Expired:
			s.end(e.ID, false)
		}
	}
}

func (s *simulation) end(id uint64, ran bool) {
	f := s.pending[id]
	delete(s.pending, id)
	f(ran)
}

// smallSources returns accounts that together ask for a number of slots.
func smallSources(n int, total float64) []*source {
	list := make([]*source, n)
	for i := range list {
		list[i] = &source{account: fmt.Sprint("small-", i), slots: steady(total / float64(n)), run: 100 * ms, route: "read", wait: 500 * ms}
	}
	return list
}

func requireAllServed(t *testing.T, sources []*source) {
	t.Helper()
	for _, src := range sources {
		require.Equal(t, src.asked, src.served, "%s: all that it asked for is below its fair share", src.account)
	}
}

// Pattern: one account at six times its usual beside 84 small ones. A caller within its fair share must not notice that another
// one surges, so no call of a small account is lost. The surging one gets what they leave, less 5% for slots that turn over.
// Mutation: flow.finish never charged; Account left out of flowKey.
func TestOneAccountAtSixTimesItsUsual(t *testing.T) {
	small := smallSources(84, 50)
	large := &source{account: "large", slots: steady(240), run: 100 * ms, route: "read", wait: 500 * ms}
	simulate(100, 20*time.Second, append(small, large)...)
	requireAllServed(t, small)
	require.InDelta(t, 50*20, large.servedWork, 0.05*50*20)
	require.Greater(t, large.overShare, large.asked/2, "refusals are put down to the share")
}

// Pattern: a retry storm. The calls of one account come back 10 ms after each refusal. Sending more often must gain nothing, so
// that no call of the others is lost and the storm gets the rest as it does without repeats, 10% aside.
// Mutation: flow.finish never charged; callsBefore without waitingUpTo.
func TestRetryStormOfOneAccount(t *testing.T) {
	small := smallSources(40, 60)
	storm := &source{account: "storm", slots: steady(120), run: 100 * ms, route: "read", wait: 500 * ms, retries: 20, retryAfter: 10 * ms}
	simulate(100, 10*time.Second, append(small, storm)...)
	requireAllServed(t, small)
	require.InDelta(t, 40*10, storm.servedWork, 0.1*40*10)
}

// Pattern: two large accounts that alternate every 2 s between 150 and 20 slots. What an account used while the room was its to
// use must not count against it later: each is served all that it asks for while it is the quiet one, and both get the same.
// Mutation: flow.finish never charged; Account left out of flowKey.
func TestTwoLargeAccountsAlternate(t *testing.T) {
	surges := func(at time.Duration, first bool) bool { return at/(2*time.Second)%2 == 0 == first }
	large := func(account string, first bool) *source {
		return &source{account: account, run: 100 * ms, route: "read", wait: 500 * ms, slots: func(at time.Duration) float64 {
			if surges(at, first) {
				return 150
			}
			return 20
		}}
	}
	a, b, small := large("a", true), large("b", false), smallSources(20, 20)
	simulate(100, 24*time.Second, append(small, a, b)...)
	requireAllServed(t, small)
	// 20 slots in one half of the time, and in the other half what the others leave: 60.
	for _, src := range []*source{a, b} {
		require.InDelta(t, 12*20+12*60, src.servedWork, 0.05*(12*20+12*60), src.account)
	}
}

// Pattern: requests of very different work. The runs of one account take ten times as long; both ask for all slots. Slots are
// what is short, so each gets half of them, 10% aside, on routes of their own as on a shared one.
// Mutation: no correct in Finish, or one by the expected work in place of the true one.
func TestLongRunsGetNoMoreSlots(t *testing.T) {
	for _, shared := range []bool{false, true} {
		long := &source{account: "long", slots: steady(100), run: time.Second, route: "export", wait: 2 * time.Second}
		short := &source{account: "short", slots: steady(100), run: 100 * ms, route: "read", wait: 2 * time.Second}
		if shared {
			long.route = short.route
		}
		simulate(100, 40*time.Second, long, short)
		require.InDelta(t, 50*40, long.servedWork, 0.1*50*40, "shared=%v", shared)
		require.InDelta(t, 50*40, short.servedWork, 0.1*50*40, "shared=%v", shared)
	}
}

// Pattern: one account asks for most of the room with important calls. Ranks go before shares, so it loses none of these and
// each waits for the next free slot only, at most for one run. The accounts of the other rank share the rest equally, 10% aside.
// Mutation: startsBefore with the ranks reversed.
func TestRanksGoBeforeShares(t *testing.T) {
	important := &source{account: "a", rank: 0, slots: steady(80), run: 100 * ms, route: "pay", wait: time.Second}
	var others []*source
	for _, name := range []string{"a", "b", "c", "d"} {
		others = append(others, &source{account: name, rank: 1, slots: steady(15), run: 100 * ms, route: "read", wait: 500 * ms})
	}
	simulate(100, 40*time.Second, append(others, important)...)
	requireAllServed(t, []*source{important})
	require.LessOrEqual(t, important.longestWait, important.run)
	for _, src := range others {
		require.InDelta(t, 5*40, src.servedWork, 0.1*5*40, src.account)
	}
}

// Guards against a queue that one account has filled and that refuses everyone else, and against a dropped call of an account
// within its share, of a call without an account or of a more important one.
// Mutation: lastToStart returning the first call; no comparison of tags in admit.
func TestFullQueueDropsTheLastCallOfTheAccountAboveItsShare(t *testing.T) {
	q := queue(1)
	arrive := func(id uint64, rank int, account string) slots.Decision {
		return q.Arrive(start, slots.Call{ID: id, Rank: rank, Account: account, LatestStart: start.Add(time.Hour)})
	}
	require.Equal(t, slots.Start{}, arrive(1, 1, "large"))
	require.Equal(t, slots.Wait{}, arrive(2, 1, ""))
	require.Equal(t, slots.Wait{}, arrive(3, 1, "other"))
	for id := uint64(4); id <= 17; id++ {
		require.Equal(t, slots.Wait{}, arrive(id, 1, "large"))
	}
	require.IsType(t, slots.Refuse{}, arrive(18, 1, "large"), "its own calls make no room")
	require.True(t, arrive(19, 1, "large").(slots.Refuse).OverShare)
	require.Equal(t, slots.Displace{ID: 17}, arrive(20, 1, "small"))
	require.Equal(t, slots.Displace{ID: 16}, arrive(21, 1, ""))
	require.Equal(t, slots.Displace{ID: 15}, arrive(22, 0, "large"), "the important rank goes first")
	require.IsType(t, slots.Refuse{}, arrive(23, 2, "small"), "a less important rank makes no room")
	require.Equal(t, 16, q.Load().Waiting)
}

// Guards against a call of a backend server that waits behind the calls of an account above its share, and against such calls
// that overtake each other.
// Mutation: work without the check of the account.
func TestCallsWithoutAccountStartBeforeAccountsAboveTheirShare(t *testing.T) {
	q := queue(1)
	for id := uint64(1); id <= 4; id++ {
		q.Arrive(start, slots.Call{ID: id, Account: "large", LatestStart: start.Add(time.Hour)})
	}
	q.Arrive(start, call(5, 0, time.Hour))
	q.Arrive(start, call(6, 0, time.Hour))
	for i, want := range []uint64{5, 6, 2, 3, 4} {
		require.Equal(t, []slots.Event{slots.Started{ID: want}}, q.Finish([]uint64{1, 5, 6, 2, 3}[i], 100*ms))
	}
}

// Guards against an account that pays for slots that it used while others were free.
// Mutation: no startPeriod in Arrive.
func TestUseOfFreeSlotsIsNotHeldAgainstAnAccount(t *testing.T) {
	q := queue(1)
	q.Arrive(start, slots.Call{ID: 1, Account: "a", LatestStart: start})
	q.Finish(1, time.Minute)
	q.Arrive(start, slots.Call{ID: 2, Account: "b", LatestStart: start})
	q.Arrive(start, slots.Call{ID: 3, Account: "b", LatestStart: start.Add(time.Hour)})
	q.Arrive(start, slots.Call{ID: 4, Account: "a", LatestStart: start.Add(time.Hour)})
	require.Equal(t, []slots.Event{slots.Started{ID: 4}}, q.Finish(2, 100*ms))
}

// Guards against an account whose run has just taken far longer than expected and that starts the next call all the same.
// Mutation: no heap.Fix in Finish.
func TestLongRunCountsFromItsEnd(t *testing.T) {
	q := queue(2)
	q.Arrive(start, slots.Call{ID: 1, Account: "a", LatestStart: start})
	q.Arrive(start, slots.Call{ID: 2, Account: "b", LatestStart: start})
	q.Arrive(start, slots.Call{ID: 3, Account: "a", LatestStart: start.Add(time.Hour)})
	q.Arrive(start, slots.Call{ID: 4, Account: "b", LatestStart: start.Add(time.Hour)})
	require.Equal(t, []slots.Event{slots.Started{ID: 4}}, q.Finish(1, time.Second))
}

// Guards against an account whose calls expired in the queue and that is charged for them.
// Mutation: finish charged in flow.push.
func TestExpiredCallsAreNotCharged(t *testing.T) {
	q := queue(1)
	q.Arrive(start, slots.Call{ID: 1, Account: "a", LatestStart: start})
	for id := uint64(2); id < 10; id++ {
		q.Arrive(start, slots.Call{ID: id, Account: "b", LatestStart: start.Add(5 * time.Second)})
	}
	require.Len(t, q.Expire(start.Add(5*time.Second)), 8)
	q.Arrive(start, slots.Call{ID: 10, Account: "a", LatestStart: start.Add(time.Hour)})
	q.Arrive(start, slots.Call{ID: 11, Account: "b", LatestStart: start.Add(time.Hour)})
	require.Equal(t, []slots.Event{slots.Started{ID: 11}}, q.Finish(1, 100*ms))
}

// Guards against another order, other waits and other refusals than rank and arrival alone when no call has an account.
// Mutation: startsBefore without the ranks; lastToStart without the check of the account.
func TestOrderWithoutAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue(1)
		q.Arrive(start, slots.Call{ID: 1, LatestStart: start})
		running := uint64(1)
		var waiting []slots.Call
		for id := uint64(2); id < 80; id++ {
			c := slots.Call{ID: id, Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Route: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"),
				LatestStart: start.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * ms)}
			before := 0
			for _, w := range waiting {
				if w.Rank <= c.Rank {
					before++
				}
			}
			mean := q.MeanRunTime()
			if mean == 0 {
				mean = 100 * ms
			}
			wait := time.Duration(before+1) * mean
			switch d := q.Arrive(start, c).(type) {
			case slots.Wait:
				require.Less(t, len(waiting), 16)
				require.LessOrEqual(t, wait, c.LatestStart.Sub(start)+ms)
				waiting = append(waiting[:before], append([]slots.Call{c}, waiting[before:]...)...)
			case slots.Refuse:
				require.False(t, d.OverShare)
				require.InDelta(t, wait, d.Wait, float64(ms))
				require.True(t, len(waiting) == 16 || wait >= c.LatestStart.Sub(start)-ms)
			default:
				require.Fail(t, "neither queued nor refused", "%#v", d)
			}
			if rapid.IntRange(0, 2).Draw(t, "finish") == 0 {
				events := q.Finish(running, time.Duration(rapid.IntRange(1, 300).Draw(t, "ran"))*ms)
				if len(waiting) == 0 {
					require.Empty(t, events)
					q.Arrive(start, slots.Call{ID: 1000 + id, LatestStart: start})
					running = 1000 + id
					continue
				}
				require.Equal(t, []slots.Event{slots.Started{ID: waiting[0].ID}}, events)
				running, waiting = waiting[0].ID, waiting[1:]
			}
		}
	})
}

// BenchmarkArriveAtAFullQueue measures a refused and a queued call beside waiting calls of 85 accounts, and of none.
func BenchmarkArriveAtAFullQueue(b *testing.B) {
	for _, accounts := range []int{0, 85, 1700} {
		b.Run(fmt.Sprint("accounts=", accounts), func(b *testing.B) {
			q := queue(108)
			id := uint64(0)
			arrive := func(wait time.Duration) {
				id++
				c := call(id, 0, wait)
				if accounts > 0 {
					c.Account = fmt.Sprint("account-", id%uint64(accounts))
				}
				q.Arrive(start, c)
			}
			for range 17*108 - 1 {
				arrive(time.Hour)
			}
			for b.Loop() {
				arrive(time.Hour)
				q.Cancel(id)
			}
		})
	}
}

// Guards against unbounded memory for the names of accounts and routes.
// Mutation: maxFlows or maxRoutes of 1<<30.
func TestTablesOfAccountsAndRoutesAreBounded(t *testing.T) {
	q := queue(1)
	heapAfter := func(from, to uint64) uint64 {
		for id := from; id < to; id++ {
			name := fmt.Sprint("name-", id)
			q.Arrive(start, slots.Call{ID: id, Account: name, Route: name, LatestStart: start})
			q.Finish(id, ms)
		}
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	empty := heapAfter(0, 1)
	before := heapAfter(1, 10000)
	t.Logf("%d bytes for full tables", before-empty)
	require.Less(t, heapAfter(10000, 100000), before+1<<20)
	runtime.KeepAlive(q)
}
