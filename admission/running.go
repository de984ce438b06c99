package admission

import "time"

const (
	// overdueFactor is how many times longer than usual a call runs before it counts as a straggler.
	overdueFactor = 8
	// guardShare is the part of the limit that an operation's stragglers must hold before its calls are restricted.
	guardShare = 4
	// reserveShare is the part of the limit that is then kept for other operations.
	reserveShare = 8
	// guardInterval is how long the restriction outlasts its cause.
	guardInterval = time.Second
)

// running is a call in flight.
type running struct {
	id      uint64
	op      *operation
	started time.Time
	index   int
}

// runningSet holds the calls in flight.
type runningSet struct {
	byID map[uint64]*running
	list []*running
	free []*running
	// overdue is the number of stragglers among them.
	overdue int
}

func (s *runningSet) len() int { return len(s.list) }

func (s *runningSet) start(now time.Time, id uint64, op *operation) {
	var r *running
	if n := len(s.free); n > 0 {
		r, s.free = s.free[n-1], s.free[:n-1]
	} else {
		r = new(running)
	}
	*r = running{id: id, op: op, started: now, index: len(s.list)}
	op.inFlight++
	s.byID[id] = r
	s.list = append(s.list, r)
}

func (s *runningSet) finish(id uint64) (*operation, time.Time, bool) {
	r, ok := s.byID[id]
	if !ok {
		return nil, time.Time{}, false
	}
	delete(s.byID, id)
	last := len(s.list) - 1
	s.list[r.index] = s.list[last]
	s.list[r.index].index = r.index
	s.list = s.list[:last]
	r.op.inFlight--
	s.free = append(s.free, r)
	return r.op, r.started, true
}

// markOverdue counts the stragglers of each operation.
func (s *runningSet) markOverdue(now time.Time, ops *operations) {
	s.overdue = 0
	for _, r := range s.list {
		r.op.overdue = 0
	}
	for _, r := range s.list {
		usual := r.op.usual()
		if r.op.n < fewCalls {
			usual = ops.all.usual()
		}
		if ops.all.n >= fewCalls && now.Sub(r.started) > overdueFactor*usual {
			r.op.overdue++
			s.overdue++
		}
	}
}

// guard keeps slots for other operations while the stragglers of one operation hold a large part of the limit.
type guard struct {
	op    *operation
	until time.Time
}

// update chooses the restricted operation and reports whether it changed.
func (g *guard) update(now time.Time, limit int, running *runningSet, ops *operations) bool {
	var most *operation
	for _, r := range running.list {
		if r.op.overdue > 0 && (most == nil || r.op.overdue > most.overdue) {
			most = r.op
		}
	}
	before := g.op
	switch {
	case most != nil && most.overdue >= max(1, limit/guardShare) && ops.othersSince(most, now.Add(-guardInterval)):
		g.op, g.until = most, now.Add(guardInterval)
	case now.After(g.until):
		g.op = nil
	}
	return g.op != before
}

// holds reports whether the operation is restricted.
func (g *guard) holds(op *operation) bool { return g.op != nil && g.op == op }

// permits reports whether one more call of the operation may start under the limit.
func (g *guard) permits(op *operation, limit int) bool {
	if !g.holds(op) {
		return true
	}
	return op.inFlight < max(1, limit-max(1, limit/reserveShare))
}
