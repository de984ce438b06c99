package ticket

import (
	"container/list"
	"sync/atomic"
	"time"

	"lovagelane/call"
)

const (
	// Retention is how long the record of an ended attempt is kept.
	Retention = 60 * time.Second
	// MaxAttempts is the number of attempts that a serving node remembers, over all senders.
	MaxAttempts = 65536
	// MaxSenders is the number of sender incarnations that a serving node remembers. The target size has 590 senders and
	// 88 new incarnations a day.
	MaxSenders = 8192
	// maxMemberID bounds a member id, in bytes.
	maxMemberID = 64
)

const (
	// ReasonAttemptRepeated means that the attempt arrived before, or may have: whether it ran is not said by the refusal.
	ReasonAttemptRepeated call.Reason = "attempt-repeated"
	// ReasonOtherIncarnation means that the attempt is addressed to another incarnation of the receiver, where an earlier
	// copy of it may have run. A sender whose transport sends each attempt only once may take it as "not run".
	ReasonOtherIncarnation call.Reason = "other-incarnation"
)

// Sequence numbers the attempts of one sender incarnation; it is safe for concurrent use.
type Sequence struct{ last atomic.Uint64 }

// NewSequence returns the numbers for a sender that started at the given wall-clock time. Receivers that forget a sender
// refuse unknown senders with numbers up to its last one, so that numbers must start above those of earlier senders.
func NewSequence(start time.Time) *Sequence {
	s := &Sequence{}
	s.last.Store(uint64(max(0, start.UnixMicro())))
	return s
}

// Next returns a number higher than all before it.
func (s *Sequence) Next() uint64 { return s.last.Add(1) }

// State is what a serving node knows of an attempt.
type State struct {
	// Outcome is OutcomeNotRun for an attempt that never ran and never will, OutcomeRan for one that ended.
	Outcome call.Outcome
	// Running means that the attempt runs or is queued; Outcome is then unknown.
	Running bool
	Answer  Answer
}

type attempt struct {
	sender *sender
	seq    uint64
	kept   kept
	// ended is the place among the ended attempts, nil while the attempt runs.
	ended   *list.Element
	endedAt time.Time
}

type sender struct {
	// remembered is the number of its attempts that have a record.
	remembered int
	// watermark is the highest number whose record was dropped. Numbers up to it that have no record may have run.
	watermark uint64
}

type attemptKey struct {
	sender *sender
	seq    uint64
}

// Attempts is the serving node's table of attempts by sender; the caller serializes access to it.
type Attempts struct {
	receiver string
	// maxAttempts and maxSenders are MaxAttempts and MaxSenders except in tests of a full table.
	maxAttempts, maxSenders int
	senders                 map[string]*sender
	// attempts is one map for all senders, because a map for each would keep the room of that sender's peak.
	attempts map[attemptKey]*attempt
	// floor is the watermark of all senders that are not in the table: the highest number of a sender that was evicted.
	floor  uint64
	ended  list.List
	bodies bodies
}

// NewAttempts returns an empty table for the incarnation with this member id.
func NewAttempts(receiver string) *Attempts {
	return &Attempts{
		receiver: receiver, maxAttempts: MaxAttempts, maxSenders: MaxSenders,
		senders: map[string]*sender{}, attempts: map[attemptKey]*attempt{},
	}
}

// Receive records an attempt and decides on it: Run at its first arrival, Join or Kept at a later one that is still
// remembered, Refuse otherwise.
func (t *Attempts) Receive(now time.Time, a call.Attempt) Verdict {
	s, r, verdict := t.find(now, a)
	switch {
	case verdict != nil:
		return verdict
	case r == nil:
		t.record(s, a.Seq)
		return Run{}
	case r.ended == nil:
		return Join{}
	default:
		return Kept{Answer: r.kept.answer}
	}
}

// Arrive records an attempt and reports the reason for refusing it, or ReasonNone when it may run. An attempt refused with
// ReasonAttemptRepeated or ReasonOtherIncarnation is "unknown" here; any other refused one did not run and never will.
func (t *Attempts) Arrive(now time.Time, a call.Attempt) call.Reason {
	switch v := t.Receive(now, a).(type) {
	case Run:
		return call.ReasonNone
	case Refuse:
		return v.Reason
	case Kept:
		if v.Answer.Reason == call.ReasonFenced {
			return call.ReasonFenced
		}
	}
	return ReasonAttemptRepeated
}

// Finish records the end of an attempt that was let through.
func (t *Attempts) Finish(now time.Time, a call.Attempt, answer Answer) {
	if s, ok := t.senders[a.Sender]; ok && a.Receiver == t.receiver {
		if r, ok := t.attempts[attemptKey{s, a.Seq}]; ok && r.ended == nil {
			t.end(now, r, answer)
		}
	}
}

// Fence returns the state of an attempt and marks an attempt that was never seen, so that it never runs.
func (t *Attempts) Fence(now time.Time, a call.Attempt) State {
	s, r, verdict := t.find(now, a)
	if refused, ok := verdict.(Refuse); ok {
		return State{Outcome: refused.Outcome, Answer: Answer{Outcome: refused.Outcome, Reason: refused.Reason}}
	}
	if r == nil {
		r = t.record(s, a.Seq)
		t.end(now, r, Answer{Outcome: call.OutcomeNotRun, Reason: call.ReasonFenced})
	}
	if r.ended == nil {
		return State{Outcome: call.OutcomeUnknown, Running: true}
	}
	return State{Outcome: r.kept.answer.Outcome, Answer: r.kept.answer}
}

// Len returns the numbers of attempts and of senders that the table holds.
func (t *Attempts) Len() (attempts, senders int) { return len(t.attempts), len(t.senders) }

// find returns the record of an attempt, or the sender for an attempt that was never seen and that there is room for. A
// "not run" refusal marks the number, because a copy of the attempt may arrive when there is room again.
func (t *Attempts) find(now time.Time, a call.Attempt) (*sender, *attempt, Verdict) {
	t.sweep(now)
	if a.Receiver != t.receiver {
		return nil, nil, Refuse{Reason: ReasonOtherIncarnation, Outcome: call.OutcomeUnknown}
	}
	if a.Sender == "" || len(a.Sender) > maxMemberID {
		return nil, nil, Refuse{Reason: call.ReasonBadRequest, Outcome: call.OutcomeNotRun}
	}
	busy := Refuse{Reason: call.ReasonBusy, Outcome: call.OutcomeNotRun}
	s, ok := t.senders[a.Sender]
	if !ok {
		if a.Seq <= t.floor {
			return nil, nil, Refuse{Reason: ReasonAttemptRepeated, Outcome: call.OutcomeUnknown}
		}
		if s = t.admit(a.Sender); s == nil {
			t.floor = max(t.floor, a.Seq)
			return nil, nil, busy
		}
	}
	if r, ok := t.attempts[attemptKey{s, a.Seq}]; ok {
		return s, r, nil
	}
	if a.Seq <= s.watermark {
		return nil, nil, Refuse{Reason: ReasonAttemptRepeated, Outcome: call.OutcomeUnknown}
	}
	if !t.room() {
		s.watermark = max(s.watermark, a.Seq)
		return nil, nil, busy
	}
	return s, nil, nil
}

// admit adds a sender, or returns nil when every sender in a full table has attempts that are remembered.
func (t *Attempts) admit(id string) *sender {
	s := &sender{watermark: t.floor}
	if len(t.senders) >= t.maxSenders && !t.evict() {
		return nil
	}
	t.senders[id] = s
	return s
}

// evict forgets the idle sender with the lowest watermark, which raises the floor least.
func (t *Attempts) evict() bool {
	victim := ""
	for id, s := range t.senders {
		if s.remembered == 0 && (victim == "" || s.watermark < t.senders[victim].watermark) {
			victim = id
		}
	}
	if victim == "" {
		return false
	}
	t.floor = max(t.floor, t.senders[victim].watermark)
	delete(t.senders, victim)
	return true
}

// room drops the record of the attempt that ended first if the table is full, and reports whether another one fits.
func (t *Attempts) room() bool {
	if len(t.attempts) >= t.maxAttempts && t.ended.Len() > 0 {
		t.drop(t.ended.Front().Value.(*attempt))
	}
	return len(t.attempts) < t.maxAttempts
}

func (t *Attempts) record(s *sender, seq uint64) *attempt {
	r := &attempt{sender: s, seq: seq}
	t.attempts[attemptKey{s, seq}] = r
	s.remembered++
	return r
}

func (t *Attempts) end(now time.Time, r *attempt, answer Answer) {
	r.endedAt = now
	r.ended = t.ended.PushBack(r)
	t.bodies.keep(&r.kept, answer)
}

// sweep drops the records of attempts that ended before the retention period.
func (t *Attempts) sweep(now time.Time) {
	for e := t.ended.Front(); e != nil; e = t.ended.Front() {
		r := e.Value.(*attempt)
		if now.Sub(r.endedAt) < Retention {
			return
		}
		t.drop(r)
	}
}

func (t *Attempts) drop(r *attempt) {
	r.sender.watermark = max(r.sender.watermark, r.seq)
	delete(t.attempts, attemptKey{r.sender, r.seq})
	r.sender.remembered--
	t.ended.Remove(r.ended)
	t.bodies.release(&r.kept)
}
