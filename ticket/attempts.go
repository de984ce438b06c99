package ticket

import (
	"container/list"
	"sync/atomic"
	"time"

	"lovagelane/call"
)

const (
	// Retention is the time for which the record of an ended attempt is kept.
	Retention = 60 * time.Second
	// MaxAttempts bounds the records of attempts on a serving node, over all senders.
	MaxAttempts = 65536
	// MaxSenders bounds the sender incarnations in the table of a serving node. A deployment of the target size has 590
	// senders and 88 new incarnations a day.
	MaxSenders = 8192
	// maxMemberIDBytes bounds the member id of a sender.
	maxMemberIDBytes = 64
)

const (
	// ReasonAttemptRepeated means that the attempt arrived before, or may have arrived. The refusal does not tell whether
	// it ran.
	ReasonAttemptRepeated call.Reason = "attempt-repeated"
	// ReasonOtherIncarnation means that the attempt is addressed to another incarnation of the receiver, which may have run
	// an earlier copy. A sender whose transport sends each attempt only once may treat it as "not run".
	ReasonOtherIncarnation call.Reason = "other-incarnation"
)

// Sequence numbers the attempts of one sender incarnation; it is safe for concurrent use.
type Sequence struct{ last atomic.Uint64 }

// NewSequence returns a sequence for a sender that started at the given wall-clock time. A receiver that evicts a sender
// refuses unknown senders with numbers up to the last one of the evicted sender, so numbers must start above those of
// earlier senders.
func NewSequence(start time.Time) *Sequence {
	s := &Sequence{}
	s.last.Store(uint64(max(0, start.UnixMicro())))
	return s
}

// Next returns the next number, which is higher than all earlier ones.
func (s *Sequence) Next() uint64 { return s.last.Add(1) }

// State is the state of an attempt on a serving node.
type State struct {
	// Outcome is OutcomeNotRun for an attempt that did not run and never will, and OutcomeRan for one that ran to its end.
	Outcome call.Outcome
	// Running means that the attempt is running or queued; Outcome is then OutcomeUnknown.
	Running bool
	Answer  Answer
}

type attempt struct {
	sender *sender
	seq    uint64
	stored storedAnswer
	// endedElement is the element in Attempts.ended, nil while the attempt runs.
	endedElement *list.Element
	endedAt      time.Time
}

type sender struct {
	// recordCount is the number of attempts of this sender in the table.
	recordCount int
	// watermark is the highest number whose record was dropped. An attempt without a record and with a number up to the
	// watermark may have run.
	watermark uint64
}

type attemptKey struct {
	sender *sender
	seq    uint64
}

// Attempts is a serving node's table of attempts by sender. The caller serializes access to it.
type Attempts struct {
	receiver string
	// maxAttempts and maxSenders are MaxAttempts and MaxSenders; tests of a full table set lower bounds.
	maxAttempts, maxSenders int
	senders                 map[string]*sender
	// attempts is one map for all senders: a Go map doesn't shrink, so a map per sender would keep the memory of its peak.
	attempts map[attemptKey]*attempt
	// evictedWatermark is the highest watermark of an evicted sender; it applies to all senders that are not in the table.
	evictedWatermark uint64
	// ended lists the ended attempts, the earliest first.
	ended  list.List
	bodies bodyBudget
}

// NewAttempts returns an empty table for the incarnation with the member id receiver.
func NewAttempts(receiver string) *Attempts {
	return &Attempts{
		receiver: receiver, maxAttempts: MaxAttempts, maxSenders: MaxSenders,
		senders: map[string]*sender{}, attempts: map[attemptKey]*attempt{},
	}
}

// Receive records an attempt and decides on it: Run at its first arrival, Join or Replay at a later arrival while its record
// exists, and Refuse otherwise.
func (t *Attempts) Receive(now time.Time, a call.Attempt) Decision {
	s, r, decision := t.lookUp(now, a)
	switch {
	case decision != nil:
		return decision
	case r == nil:
		t.addRecord(s, a.Seq)
		return Run{}
	case r.endedElement == nil:
		return Join{}
	default:
		return Replay{Answer: r.stored.answer}
	}
}

// Admit records an attempt and returns the reason for refusing it, or ReasonNone when it may run. The outcome of an attempt
// refused with ReasonAttemptRepeated or ReasonOtherIncarnation is unknown; any other refused attempt did not run and never
// will.
func (t *Attempts) Admit(now time.Time, a call.Attempt) call.Reason {
	switch v := t.Receive(now, a).(type) {
	case Run:
		return call.ReasonNone
	case Refuse:
		return v.Reason
	case Replay:
		if v.Answer.Reason == call.ReasonFenced {
			return call.ReasonFenced
		}
	}
	return ReasonAttemptRepeated
}

// Finish records the end and the answer of an attempt that Receive or Admit accepted.
func (t *Attempts) Finish(now time.Time, a call.Attempt, answer Answer) {
	if s, ok := t.senders[a.Sender]; ok && a.Receiver == t.receiver {
		if r, ok := t.attempts[attemptKey{s, a.Seq}]; ok && r.endedElement == nil {
			t.markEnded(now, r, answer)
		}
	}
}

// Fence returns the state of an attempt. An attempt that has not arrived is fenced, so that it never runs.
func (t *Attempts) Fence(now time.Time, a call.Attempt) State {
	s, r, decision := t.lookUp(now, a)
	if refused, ok := decision.(Refuse); ok {
		return State{Outcome: refused.Outcome, Answer: Answer{Outcome: refused.Outcome, Reason: refused.Reason}}
	}
	if r == nil {
		r = t.addRecord(s, a.Seq)
		t.markEnded(now, r, Answer{Outcome: call.OutcomeNotRun, Reason: call.ReasonFenced})
	}
	if r.endedElement == nil {
		return State{Outcome: call.OutcomeUnknown, Running: true}
	}
	return State{Outcome: r.stored.answer.Outcome, Answer: r.stored.answer}
}

// Len returns the number of attempts and of senders in the table.
func (t *Attempts) Len() (attempts, senders int) { return len(t.attempts), len(t.senders) }

// lookUp returns the record of an attempt, or only the sender when the attempt has not arrived before and the table has
// capacity for it. A "busy" refusal raises the watermark that applies to the attempt to its number: the refusal states "not
// run", and a copy of the attempt may arrive when the table has capacity again.
func (t *Attempts) lookUp(now time.Time, a call.Attempt) (*sender, *attempt, Decision) {
	t.dropExpired(now)
	if a.Receiver != t.receiver {
		return nil, nil, Refuse{Reason: ReasonOtherIncarnation, Outcome: call.OutcomeUnknown}
	}
	if a.Sender == "" || len(a.Sender) > maxMemberIDBytes {
		return nil, nil, Refuse{Reason: call.ReasonBadRequest, Outcome: call.OutcomeNotRun}
	}
	busy := Refuse{Reason: call.ReasonBusy, Outcome: call.OutcomeNotRun}
	s, ok := t.senders[a.Sender]
	if !ok {
		if a.Seq <= t.evictedWatermark {
			return nil, nil, Refuse{Reason: ReasonAttemptRepeated, Outcome: call.OutcomeUnknown}
		}
		if s = t.addSender(a.Sender); s == nil {
			t.evictedWatermark = max(t.evictedWatermark, a.Seq)
			return nil, nil, busy
		}
	}
	if r, ok := t.attempts[attemptKey{s, a.Seq}]; ok {
		return s, r, nil
	}
	if a.Seq <= s.watermark {
		return nil, nil, Refuse{Reason: ReasonAttemptRepeated, Outcome: call.OutcomeUnknown}
	}
	if !t.ensureCapacity() {
		s.watermark = max(s.watermark, a.Seq)
		return nil, nil, busy
	}
	return s, nil, nil
}

// addSender adds a sender, or returns nil when the table is full and every sender in it has records.
func (t *Attempts) addSender(id string) *sender {
	s := &sender{watermark: t.evictedWatermark}
	if len(t.senders) >= t.maxSenders && !t.evictSender() {
		return nil
	}
	t.senders[id] = s
	return s
}

// evictSender removes the sender without records that has the lowest watermark, which raises evictedWatermark least. It
// reports whether there was such a sender.
func (t *Attempts) evictSender() bool {
	lowest := ""
	for id, s := range t.senders {
		if s.recordCount == 0 && (lowest == "" || s.watermark < t.senders[lowest].watermark) {
			lowest = id
		}
	}
	if lowest == "" {
		return false
	}
	t.evictedWatermark = max(t.evictedWatermark, t.senders[lowest].watermark)
	delete(t.senders, lowest)
	return true
}

// ensureCapacity drops the record of the attempt that ended first if the table is full, and reports whether another record
// fits.
func (t *Attempts) ensureCapacity() bool {
	if len(t.attempts) >= t.maxAttempts && t.ended.Len() > 0 {
		t.dropRecord(t.ended.Front().Value.(*attempt))
	}
	return len(t.attempts) < t.maxAttempts
}

func (t *Attempts) addRecord(s *sender, seq uint64) *attempt {
	r := &attempt{sender: s, seq: seq}
	t.attempts[attemptKey{s, seq}] = r
	s.recordCount++
	return r
}

func (t *Attempts) markEnded(now time.Time, r *attempt, answer Answer) {
	r.endedAt = now
	r.endedElement = t.ended.PushBack(r)
	t.bodies.store(&r.stored, answer)
}

// dropExpired drops the records of attempts that ended at least Retention ago.
func (t *Attempts) dropExpired(now time.Time) {
	for e := t.ended.Front(); e != nil; e = t.ended.Front() {
		r := e.Value.(*attempt)
		if now.Sub(r.endedAt) < Retention {
			return
		}
		t.dropRecord(r)
	}
}

func (t *Attempts) dropRecord(r *attempt) {
	r.sender.watermark = max(r.sender.watermark, r.seq)
	delete(t.attempts, attemptKey{r.sender, r.seq})
	r.sender.recordCount--
	t.ended.Remove(r.endedElement)
	t.bodies.release(&r.stored)
}
