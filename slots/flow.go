package slots

import "lovagelane/kernel"

const (
	// maxFlows and maxRanks bound the tables of accounts by rank and of ranks. Beyond them, the least recently used entry
	// is forgotten.
	maxFlows = 4096
	maxRanks = 64
	// minWork is the least work, in slot-seconds, that a call is charged, so that no account has calls for free.
	minWork = 1e-4
)

// entry is a waiting call. It is in its flow and in the heap of expiries.
type entry struct {
	call Call
	flow *flow
	seq  uint64
	// work is the expected slot-seconds of the call, and arrivedAt the virtual time of its rank at its arrival.
	work, arrivedAt float64
	// overShare is set if the call had to wait for the share of its account.
	overShare bool
	// index is the position in the heap of expiries, and previous and next are the neighbours in the flow.
	index          int
	previous, next *entry
}

// flow holds the waiting calls of one account and rank in order of arrival. Calls without an account are a flow too, whose calls
// are charged nothing.
type flow struct {
	rank    int
	account string
	// finish is the virtual time, in slot-seconds, up to which the account has used its share.
	finish float64
	// tag is the start tag of the first waiting call.
	tag         float64
	first, last *entry
	waiting     int
	// waitingWork is the expected slot-seconds of the waiting calls.
	waitingWork float64
	// index is the position in the heap of flows.
	index int
}

// flowKey identifies a flow.
type flowKey struct {
	rank    int
	account string
}

// shares is the state of the fair shares of accounts: start-time fair queueing, with calls charged when they start. Its zero
// value is ready to use.
type shares struct {
	flows  *kernel.LRU[flowKey, *flow]
	clocks *kernel.LRU[int, rankClock]
	// routeWork holds the moving average of the run time of each route, in seconds.
	routeWork *kernel.LRU[string, float64]
}

// rankClock is the virtual time of a rank, and the latest finish of its accounts.
type rankClock struct{ now, latestFinish float64 }

func (s *shares) flow(c Call) *flow {
	if s.flows == nil {
		s.flows = kernel.NewLRU[flowKey, *flow](maxFlows)
	}
	f := s.flows.GetOrAdd(flowKey{c.Rank, c.Account})
	if *f == nil {
		*f = &flow{rank: c.Rank, account: c.Account}
	}
	return *f
}

func (s *shares) clock(rank int) *rankClock {
	if s.clocks == nil {
		s.clocks = kernel.NewLRU[int, rankClock](maxRanks)
	}
	return s.clocks.GetOrAdd(rank)
}

// work returns the slot-seconds that a call is expected to be charged: none if it has no account.
func (s *shares) work(c Call) float64 {
	if c.Account == "" {
		return 0
	}
	if s.routeWork != nil {
		if learned := s.routeWork.Get(c.Route); learned != nil {
			return max(*learned, minWork)
		}
	}
	return initialRunTime.Seconds()
}

func (s *shares) recordRun(route string, seconds float64) {
	if s.routeWork == nil {
		s.routeWork = kernel.NewLRU[string, float64](maxRoutes)
	}
	average := s.routeWork.GetOrAdd(route)
	if *average == 0 {
		*average = seconds
	} else {
		*average += (seconds - *average) * runTimeGain
	}
}

// charge adds the work of a call that starts to its account.
func (s *shares) charge(f *flow, tag, work float64) {
	clock := s.clock(f.rank)
	clock.now = max(clock.now, tag)
	f.finish = tag + work
	clock.latestFinish = max(clock.latestFinish, f.finish)
}

// correct adds the difference between the true and the expected work of a call that has ended.
func (s *shares) correct(f *flow, difference float64) {
	if f.account == "" {
		return
	}
	f.finish += difference
	f.updateTag()
	clock := s.clock(f.rank)
	clock.latestFinish = max(clock.latestFinish, f.finish)
}

// startPeriod makes all accounts of a rank equal, since a slot is free and nobody's use kept another one from it.
func (s *shares) startPeriod(rank int) {
	clock := s.clock(rank)
	clock.now = max(clock.now, clock.latestFinish)
}

// tagOf returns the start tag of a call that arrives at the virtual time now, with no call of its flow before it.
func (f *flow) tagOf(now float64) float64 { return max(now, f.finish) }

// updateTag sets the start tag of the first waiting call.
func (f *flow) updateTag() {
	if f.first != nil {
		f.tag = f.tagOf(f.first.arrivedAt)
	}
}

// nextTag returns the start tag of a call that arrives at the virtual time now, behind the waiting calls of its flow.
func (f *flow) nextTag(now float64) float64 {
	if f.waiting == 0 {
		return f.tagOf(now)
	}
	return max(now, f.tag+f.waitingWork)
}

// lastTag returns the start tag of the last waiting call.
func (f *flow) lastTag() float64 { return f.tag + f.waitingWork - f.last.work }

// startsBefore reports whether the first waiting call of f starts before that of other.
func (f *flow) startsBefore(other *flow) bool {
	if f.rank != other.rank {
		return f.rank < other.rank
	}
	if a, b := f.tag, other.tag; a != b {
		return a < b
	}
	return f.first.seq < other.first.seq
}

// waitingUpTo returns about how many waiting calls have a start tag of at most tag.
func (f *flow) waitingUpTo(tag float64) int {
	switch first := f.tag; {
	case first > tag:
		return 0
	case f.lastTag() <= tag:
		return f.waiting
	default:
		return min(f.waiting, 1+int((tag-first)*float64(f.waiting)/f.waitingWork))
	}
}

func (f *flow) push(e *entry) {
	e.previous = f.last
	if f.last != nil {
		f.last.next = e
	} else {
		f.first = e
	}
	f.last = e
	f.waiting++
	f.waitingWork += e.work
	f.updateTag()
}

func (f *flow) remove(e *entry) {
	if e.previous != nil {
		e.previous.next = e.next
	} else {
		f.first = e.next
	}
	if e.next != nil {
		e.next.previous = e.previous
	} else {
		f.last = e.previous
	}
	e.previous, e.next = nil, nil
	f.waiting--
	if f.waitingWork -= e.work; f.waiting == 0 {
		f.waitingWork = 0
	}
	f.updateTag()
}
