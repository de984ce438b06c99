package admission_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/admission"
	"lovagelane/call"
)

// stream is a Poisson stream of calls.
type stream struct {
	op     string
	caller string
	rank   uint8
	rate   func(at time.Duration) float64
	mean   time.Duration
	// stragglerShare is the share of calls that take 50 times as long.
	stragglerShare float64
	// timeout is the time from arrival to deadline.
	timeout time.Duration
}

// backend is a simulated backend server. More than width concurrent calls slow each other down, and no call makes progress
// during a stall.
type backend struct {
	width    float64
	slowdown func(at time.Duration) float64
	stalls   [][2]time.Duration
}

type scheduledEvent struct {
	at   time.Duration
	fire func()
}

type eventHeap []scheduledEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(scheduledEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type job struct {
	stream  *stream
	arrived time.Duration
	item    admission.Item
	started bool
}

// result counts the calls of one stream that arrived in one 100 ms slice.
type result struct{ offered, good, shed, dropped int }

// simulation drives one controller in virtual time. It checks that a queued call gets at most one event and that a start never
// exceeds the limit.
type simulation struct {
	t       testing.TB
	c       *admission.Controller
	rand    *rand.Rand
	backend backend
	streams []*stream
	now     time.Duration
	events  eventHeap
	queued  map[uint64]*job
	running map[uint64]*job
	id      uint64
	results map[*stream][]result
	waits   map[*stream][]time.Duration
	limits  []int
	levels  []call.Priority
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func simulate(t testing.TB, seed uint64, cfg admission.Config, b backend, length time.Duration, streams ...*stream) *simulation {
	c, err := admission.New(cfg)
	require.NoError(t, err)
	s := &simulation{
		t: t, c: c, backend: b, streams: streams, rand: rand.New(rand.NewPCG(seed, 1)),
		queued: map[uint64]*job{}, running: map[uint64]*job{},
		results: map[*stream][]result{}, waits: map[*stream][]time.Duration{},
	}
	for _, st := range streams {
		s.results[st] = make([]result, int(length/(100*time.Millisecond))+1)
		s.schedule(0, func() { s.arriveNext(st) })
	}
	s.schedule(0, s.tick)
	for len(s.events) > 0 && s.events[0].at < length {
		e := heap.Pop(&s.events).(scheduledEvent)
		s.now = e.at
		e.fire()
	}
	return s
}

func (s *simulation) schedule(at time.Duration, run func()) {
	heap.Push(&s.events, scheduledEvent{at, run})
}

func (s *simulation) time() time.Time { return epoch.Add(s.now) }

func (s *simulation) tick() {
	s.settle(s.c.Tick(s.time()))
	s.limits = append(s.limits, int(s.c.Load().Limit))
	s.levels = append(s.levels, s.c.Level())
	s.schedule(s.now+admission.TickInterval, s.tick)
}

// arriveNext simulates the arrival of a call of the stream and schedules the next one.
func (s *simulation) arriveNext(st *stream) {
	rate := st.rate(s.now)
	if rate <= 0 {
		s.schedule(s.now+time.Millisecond, func() { s.arriveNext(st) })
		return
	}
	s.arrive(st)
	s.schedule(s.now+time.Duration(s.rand.ExpFloat64()/rate*1e9), func() { s.arriveNext(st) })
}

func (s *simulation) arrive(st *stream) {
	s.id++
	j := &job{stream: st, arrived: s.now, item: admission.Item{
		ID: s.id, Priority: call.Priority{Rank: st.rank, Value: uint8(s.rand.IntN(128))}, Operation: st.op,
		Caller: st.caller, Deadline: s.time().Add(st.timeout),
	}}
	s.resultOf(j).offered++
	switch decision := s.c.Arrive(s.time(), j.item).(type) {
	case admission.Start:
		s.start(j)
	case admission.Wait:
		s.queued[j.item.ID] = j
	case admission.Refuse:
		s.recordRefusal(j, decision.Reason)
	}
}

func (s *simulation) resultOf(j *job) *result {
	return &s.results[j.stream][j.arrived/(100*time.Millisecond)]
}

func (s *simulation) recordRefusal(j *job, reason call.Reason) {
	if reason == call.ReasonShed {
		s.resultOf(j).shed++
	} else {
		s.resultOf(j).dropped++
	}
}

func (s *simulation) start(j *job) {
	require.False(s.t, j.started, "started twice")
	j.started = true
	s.running[j.item.ID] = j
	load := s.c.Load()
	require.LessOrEqual(s.t, load.InFlight, load.Limit, "started beyond the limit")
	s.waits[j.stream] = append(s.waits[j.stream], s.now-j.arrived)
	took := float64(j.stream.mean) * (0.5 + s.rand.ExpFloat64()/2)
	if s.rand.Float64() < j.stream.stragglerShare {
		took = float64(j.stream.mean) * 50
	}
	if s.backend.width > 0 {
		took *= math.Max(1, float64(len(s.running))/s.backend.width)
	}
	if s.backend.slowdown != nil {
		took *= s.backend.slowdown(s.now)
	}
	startedAt := s.now
	end := s.now + time.Duration(took)
	for _, stall := range s.backend.stalls {
		if startedAt < stall[1] && end > stall[0] {
			end += stall[1] - max(stall[0], startedAt)
		}
	}
	s.schedule(end, func() {
		delete(s.running, j.item.ID)
		if !s.time().After(j.item.Deadline) {
			s.resultOf(j).good++
		}
		s.settle(s.c.Finish(s.time(), j.item.ID, admission.Sample{Latency: s.now - startedAt}))
	})
}

func (s *simulation) settle(events []admission.Event) {
	for _, event := range events {
		switch e := event.(type) {
		case admission.Started:
			j := s.dequeue(e.ID)
			s.start(j)
		case admission.Dropped:
			s.recordRefusal(s.dequeue(e.ID), e.Reason)
		}
	}
}

func (s *simulation) dequeue(id uint64) *job {
	j := s.queued[id]
	require.NotNil(s.t, j, "call %d settled twice or never queued", id)
	delete(s.queued, id)
	return j
}

// sum returns the counts of a stream between two times.
func (s *simulation) sum(st *stream, from, to time.Duration) result {
	var sum result
	for _, r := range s.results[st][from/(100*time.Millisecond) : to/(100*time.Millisecond)] {
		sum.offered += r.offered
		sum.good += r.good
		sum.shed += r.shed
		sum.dropped += r.dropped
	}
	return sum
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// between returns a function that is high in [from, to) and low otherwise.
func between(from, to time.Duration, high, low float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return high
		}
		return low
	}
}
