package admission

import "time"

const (
	// stragglerFactor is the multiple of the service time above which a call in flight counts as a straggler.
	stragglerFactor = 8
	// restrictDivisor sets when an operation is restricted: its stragglers occupy at least limit/restrictDivisor.
	restrictDivisor = 4
	// reserveDivisor sets the number of slots that are then reserved for other operations: limit/reserveDivisor.
	reserveDivisor = 8
	// restrictInterval is the time for which the restriction stays after its cause has ended. A restriction starts only if a
	// call of another operation arrived within that time.
	restrictInterval = time.Second
)

// runningCall is a call in flight.
type runningCall struct {
	id      uint64
	op      *operation
	started time.Time
	index   int
}

// runningSet holds the calls in flight.
type runningSet struct {
	byID  map[uint64]*runningCall
	calls []*runningCall
	pool  []*runningCall
	// stragglers is the number of stragglers among the calls.
	stragglers int
}

func (s *runningSet) len() int { return len(s.calls) }

func (s *runningSet) start(now time.Time, id uint64, op *operation) {
	var r *runningCall
	if n := len(s.pool); n > 0 {
		r, s.pool = s.pool[n-1], s.pool[:n-1]
	} else {
		r = new(runningCall)
	}
	*r = runningCall{id: id, op: op, started: now, index: len(s.calls)}
	op.inFlight++
	s.byID[id] = r
	s.calls = append(s.calls, r)
}

func (s *runningSet) finish(id uint64) (*operation, time.Time, bool) {
	r, ok := s.byID[id]
	if !ok {
		return nil, time.Time{}, false
	}
	delete(s.byID, id)
	last := len(s.calls) - 1
	s.calls[r.index] = s.calls[last]
	s.calls[r.index].index = r.index
	s.calls = s.calls[:last]
	r.op.inFlight--
	s.pool = append(s.pool, r)
	return r.op, r.started, true
}

// countStragglers counts the stragglers of each operation and in total.
func (s *runningSet) countStragglers(now time.Time, ops *operations) {
	s.stragglers = 0
	for _, r := range s.calls {
		r.op.stragglers = 0
	}
	for _, r := range s.calls {
		baseline := r.op.stragglerBaseline()
		if r.op.count < minTrustedCalls {
			baseline = ops.all.stragglerBaseline()
		}
		if ops.all.count >= minTrustedCalls && now.Sub(r.started) > stragglerFactor*baseline {
			r.op.stragglers++
			s.stragglers++
		}
	}
}

// bulkhead reserves slots for other operations while the stragglers of one operation occupy a large part of the limit.
type bulkhead struct {
	restricted *operation
	until      time.Time
}

// update selects the restricted operation and reports whether it changed.
func (b *bulkhead) update(now time.Time, limit int, running *runningSet, ops *operations) bool {
	var top *operation
	for _, r := range running.calls {
		if r.op.stragglers > 0 && (top == nil || r.op.stragglers > top.stragglers) {
			top = r.op
		}
	}
	before := b.restricted
	switch {
	case top != nil && top.stragglers >= max(1, limit/restrictDivisor) && ops.othersArrivedSince(top, now.Add(-restrictInterval)):
		b.restricted, b.until = top, now.Add(restrictInterval)
	case now.After(b.until):
		b.restricted = nil
	}
	return b.restricted != before
}

// restricts reports whether the operation is restricted.
func (b *bulkhead) restricts(op *operation) bool { return b.restricted != nil && b.restricted == op }

// permits reports whether one more call of the operation may start under the limit.
func (b *bulkhead) permits(op *operation, limit int) bool {
	if !b.restricts(op) {
		return true
	}
	return op.inFlight < max(1, limit-max(1, limit/reserveDivisor))
}
