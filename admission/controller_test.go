package admission_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/admission"
	"lovagelane/call"
)

func newController(t require.TestingT, limiter string, slots int) *admission.Controller {
	c, err := admission.New(admission.Config{Limiter: limiter, Slots: slots})
	require.NoError(t, err)
	return c
}

// occupy starts n calls with IDs from 1000000.
func occupy(t require.TestingT, c *admission.Controller, now time.Time, n int) {
	for i := range n {
		require.Equal(t, admission.Start{}, c.Arrive(now, admission.Item{ID: uint64(1000000 + i), Operation: "busy"}))
	}
}

// Guards against a wrong service order. The order is by class, then requests within the fair share before excess, then callers
// in round-robin order, and the calls of one caller by arrival.
// Mutation: without the change of the head to the next caller in fairQueue.remove, caller a's calls come first.
func TestQueueOrder(t *testing.T) {
	c := newController(t, "fixed", 1)
	occupy(t, c, epoch, 1)
	for i, item := range []admission.Item{
		{Caller: "a", Priority: call.Priority{Rank: 2, Value: 10}},
		{Caller: "a", Priority: call.Priority{Rank: 2, Value: 20}},
		{Caller: "b", Priority: call.Priority{Rank: 2, Value: 100}},
		{Caller: "b", Priority: call.Priority{Rank: 2, Value: 200}},
		{Caller: "c", Priority: call.Priority{Rank: 1, Value: 127}},
		{Caller: "a", Priority: call.Priority{Rank: 3, Value: 0}},
	} {
		item.ID = uint64(i)
		require.Equal(t, admission.Wait{}, c.Arrive(epoch, item))
	}
	var order []uint64
	last := uint64(1000000)
	for range 6 {
		events := c.Finish(epoch, last, admission.Sample{Latency: time.Millisecond})
		require.Len(t, events, 1)
		last = events[0].(admission.Started).ID
		order = append(order, last)
	}
	require.Equal(t, []uint64{4, 0, 2, 1, 3, 5}, order)
}

// Guards against serving the oldest calls first during overload, when they have used up most of their time.
// Mutation: fairQueue.peek always returning the oldest call.
func TestNewestFirstAtOverload(t *testing.T) {
	c := newController(t, "fixed", 1)
	occupy(t, c, epoch, 1)
	for id := range uint64(20) {
		c.Arrive(epoch, admission.Item{ID: id + 1, Caller: "a", Priority: call.Priority{Rank: 2}})
	}
	c.Tick(epoch)
	c.Tick(epoch.Add(50 * time.Millisecond))
	events := c.Finish(epoch.Add(50*time.Millisecond), 1000000, admission.Sample{Latency: time.Millisecond})
	require.Equal(t, []admission.Event{admission.Started{ID: 16}}, events)
}

// Guards against a full queue that keeps a less important call, or that drops a call for an arrival of the same importance.
// Mutation: importanceHeap.Less reversed, or < in place of <= in Arrive.
func TestFullQueueDropsTheLeastImportant(t *testing.T) {
	c := newController(t, "fixed", 1)
	occupy(t, c, epoch, 1)
	id := uint64(0)
	arrive := func(rank, value uint8) admission.Decision {
		id++
		return c.Arrive(epoch, admission.Item{ID: id, Caller: "a", Priority: call.Priority{Rank: rank, Value: value}})
	}
	for i := range 16 {
		require.Equal(t, admission.Wait{}, arrive(3, uint8(i)))
	}
	require.Equal(t, admission.Refuse{Reason: call.ReasonQueueFull}, arrive(3, 15))
	require.Equal(t, admission.Refuse{Reason: call.ReasonQueueFull}, arrive(4, 0))
	require.Equal(t, admission.Wait{}, arrive(2, 0))
	require.Equal(t, []admission.Event{admission.Dropped{ID: 16, Reason: call.ReasonQueueFull}}, c.Tick(epoch))
	require.Equal(t, uint16(16), c.Load().Queued)
}

// Guards against starting calls that cannot finish before their deadline, and against an estimate that never decays and so
// refuses all later calls.
// Mutation: estimate returning 0, or without its half-life.
func TestDeadlines(t *testing.T) {
	c := newController(t, "fixed", 1)
	now := epoch
	id := uint64(0)
	item := func(timeout time.Duration) admission.Item {
		id++
		return admission.Item{ID: id, Operation: "order", Deadline: now.Add(timeout)}
	}
	for range 10 {
		i := item(time.Second)
		require.Equal(t, admission.Start{}, c.Arrive(now, i))
		now = now.Add(100 * time.Millisecond)
		c.Finish(now, i.ID, admission.Sample{Latency: 100 * time.Millisecond})
	}
	require.Equal(t, admission.Refuse{Reason: call.ReasonDeadline}, c.Arrive(now, item(90*time.Millisecond)))
	first, second, third := item(time.Second), item(150*time.Millisecond), item(time.Second)
	require.Equal(t, admission.Start{}, c.Arrive(now, first))
	require.Equal(t, admission.Wait{}, c.Arrive(now, second))
	require.Equal(t, admission.Wait{}, c.Arrive(now, third))
	now = now.Add(60 * time.Millisecond)
	require.Equal(t, []admission.Event{admission.Dropped{ID: second.ID, Reason: call.ReasonDeadline}}, c.Tick(now))
	now = now.Add(40 * time.Millisecond)
	require.Equal(t, []admission.Event{admission.Started{ID: third.ID}}, c.Finish(now, first.ID, admission.Sample{Latency: 100 * time.Millisecond}))
	c.Finish(now, third.ID, admission.Sample{Failed: true})

	now = now.Add(10 * time.Second)
	require.Equal(t, admission.Start{}, c.Arrive(now, item(90*time.Millisecond)))
}

// Guards against refusing calls because of their deadline after a stall made every call in flight slow.
// Mutation: doublingInterval = 0.
func TestStallDoesNotInflateTheServiceTime(t *testing.T) {
	c := newController(t, "fixed", 20)
	now := epoch
	for _, took := range []time.Duration{10 * time.Millisecond, time.Second} {
		occupy(t, c, now, 20)
		now = now.Add(took)
		for i := range 20 {
			c.Finish(now, uint64(1000000+i), admission.Sample{Latency: took})
		}
	}
	decision := c.Arrive(now, admission.Item{ID: 1, Operation: "busy", Deadline: now.Add(100 * time.Millisecond)})
	require.Equal(t, admission.Start{}, decision)
}

// Guards against a queued call that gets no event or more than one, a start beyond the limit, shedding a call while a less
// important one of the same window is admitted, and an unbounded queue. The steps are random.
// Mutation: Cancel without queue.remove, Cancel without the removal from pending, startQueued without the limit.
func TestSettlesEveryCallOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 40).Draw(t, "slots")
		c := newController(t, rapid.SampledFrom([]string{"learned", "fixed"}).Draw(t, "limiter"), slots)
		m := &model{t: t, c: c, now: epoch, queued: map[uint64]admission.Item{}, running: map[uint64]time.Time{}}
		m.newWindow()
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "us")) * time.Microsecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				m.settle(c.Tick(m.now))
				m.newWindow()
			case 1:
				if id, ok := m.any(rapid.Uint64().Draw(t, "cancel")); ok {
					delete(m.queued, id)
					m.settle(c.Cancel(m.now, id))
				}
			case 2:
				slots = rapid.IntRange(1, 40).Draw(t, "slots")
				c.SetSlots(slots)
			case 3, 4, 5:
				m.finish(rapid.Bool().Draw(t, "failed"))
			default:
				m.arrive(rapid.IntRange(1, 20).Draw(t, "burst"))
			}
			load := c.Load()
			require.Equal(t, len(m.running), int(load.InFlight))
			require.GreaterOrEqual(t, int(load.Limit), 1)
			require.LessOrEqual(t, int(load.Limit), slots)
		}
		for range 1000 {
			m.now = m.now.Add(admission.TickInterval)
			m.settle(c.Tick(m.now))
			m.newWindow()
			m.finish(false)
		}
		require.Empty(t, m.queued, "calls that were never settled")
		require.Empty(t, m.running)
		require.Equal(t, call.LeastImportant, c.Level())
	})
}

// model tracks the queued and running calls of one controller and checks its decisions and events.
type model struct {
	t                          *rapid.T
	c                          *admission.Controller
	now                        time.Time
	id                         uint64
	queued                     map[uint64]admission.Item
	running                    map[uint64]time.Time
	order                      []uint64
	maxAdmittedKey, minShedKey int
}

func (m *model) newWindow() { m.maxAdmittedKey, m.minShedKey = -1, 1<<16 }

func (m *model) any(seed uint64) (uint64, bool) {
	id := uint64(0)
	for other := range m.queued {
		if id == 0 || other^seed < id^seed {
			id = other
		}
	}
	return id, id != 0
}

func (m *model) arrive(n int) {
	for range n {
		m.id++
		item := admission.Item{
			ID: m.id, Operation: fmt.Sprint("op", m.id%3), Caller: fmt.Sprint("caller", m.id%5),
			Priority: call.Priority{Rank: uint8(m.id * 7 % 4), Value: uint8(m.id * 31)},
		}
		if m.id%4 > 0 {
			item.Deadline = m.now.Add(time.Duration(m.id%100) * time.Millisecond)
		}
		key := int(item.Priority.Key())
		switch decision := m.c.Arrive(m.now, item).(type) {
		case admission.Start:
			m.start(item.ID)
			m.maxAdmittedKey = max(m.maxAdmittedKey, key)
		case admission.Wait:
			m.queued[item.ID] = item
			m.maxAdmittedKey = max(m.maxAdmittedKey, key)
		case admission.Refuse:
			if decision.Reason == call.ReasonShed {
				m.minShedKey = min(m.minShedKey, key)
			}
		}
		require.Less(m.t, m.maxAdmittedKey, m.minShedKey, "a more important call was shed")
		load := m.c.Load()
		require.LessOrEqual(m.t, int(load.Queued), 4*(40+3))
	}
}

func (m *model) start(id uint64) {
	require.NotContains(m.t, m.running, id)
	m.running[id] = m.now
	m.order = append(m.order, id)
	load := m.c.Load()
	require.LessOrEqual(m.t, load.InFlight, load.Limit)
}

func (m *model) finish(failed bool) {
	for len(m.order) > 0 {
		id := m.order[0]
		m.order = m.order[1:]
		if started, ok := m.running[id]; ok {
			delete(m.running, id)
			m.settle(m.c.Finish(m.now, id, admission.Sample{Latency: m.now.Sub(started), Failed: failed}))
			return
		}
	}
}

func (m *model) settle(events []admission.Event) {
	for _, event := range events {
		switch e := event.(type) {
		case admission.Started:
			require.Contains(m.t, m.queued, e.ID)
			delete(m.queued, e.ID)
			m.start(e.ID)
		case admission.Dropped:
			require.Contains(m.t, m.queued, e.ID)
			delete(m.queued, e.ID)
		}
	}
}

// Guards against a repeated ID that runs twice, and against Finish of an unknown call or Cancel of a running call that changes
// the counts.
// Mutation: Arrive without the check of hasID.
func TestUnknownAndRepeatedIDs(t *testing.T) {
	c := newController(t, "learned", 2)
	occupy(t, c, epoch, 1)
	require.Equal(t, admission.Refuse{Reason: call.ReasonBadRequest}, c.Arrive(epoch, admission.Item{ID: 1000000}))
	require.Empty(t, c.Finish(epoch, 7, admission.Sample{}))
	require.Empty(t, c.Cancel(epoch, 1000000))
	require.Equal(t, uint16(1), c.Load().InFlight)
}

// Guards against unbounded memory for the names of operations and callers, which callers choose.
// Mutation: maxOperations of 1<<30 uses more than 10 MB.
func TestTablesAreBounded(t *testing.T) {
	c := newController(t, "learned", 4)
	occupy(t, c, epoch, 4)
	heapAfter := func(from, to uint64) uint64 {
		for id := from; id < to; id++ {
			name := fmt.Sprint("name-", id)
			c.Arrive(epoch, admission.Item{ID: id, Operation: name, Caller: name})
			c.Cancel(epoch, id)
		}
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heapAfter(0, 1000)
	require.Less(t, heapAfter(1000, 50000), before+1<<20)
	runtime.KeepAlive(c)
}

var operationNames = func() []string {
	names := make([]string, 5000)
	for i := range names {
		names[i] = fmt.Sprint("operation-", i)
	}
	return names
}()

func BenchmarkArriveFinish(b *testing.B) {
	for _, queued := range []int{0, 100} {
		b.Run(fmt.Sprint("queued=", queued), func(b *testing.B) {
			c := newController(b, "fixed", 35)
			now := epoch
			id := uint64(0)
			var running []uint64
			arrive := func() {
				id++
				if _, ok := c.Arrive(now, admission.Item{
					ID: id, Operation: operationNames[id%20], Caller: operationNames[id%50],
					Priority: call.Priority{Rank: uint8(id % 4), Value: uint8(id * 31 % 128)}, Deadline: now.Add(time.Minute),
				}).(admission.Start); ok {
					running = append(running, id)
				}
			}
			for range 34 + queued {
				arrive()
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(100 * time.Microsecond)
				arrive()
				done := running[i%len(running)]
				last := len(running) - 1
				running[i%len(running)] = running[last]
				running = running[:last]
				for _, event := range c.Finish(now, done, admission.Sample{Latency: 10 * time.Millisecond}) {
					if e, ok := event.(admission.Started); ok {
						running = append(running, e.ID)
					}
				}
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	c := newController(b, "learned", 70)
	now := epoch
	occupy(b, c, now, 8)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(admission.TickInterval)
		c.Tick(now)
	}
}
