package directory

// Transition is the state change that an announcement of a backend server causes at its node.
type Transition uint8

const (
	// NoTransition means that the announcement is outdated or changes nothing.
	NoTransition Transition = iota
	// BecameServing means that the backend server accepts calls from now on.
	BecameServing
	// BecameLeaving means that the backend server accepts no new calls from now on.
	BecameLeaving
)

// maxLeaving bounds the leaving incarnations that a Tracker stores.
const maxLeaving = 64

// Tracker tracks the state of a node's own backend server across restarts. Announcements may arrive late and out of order,
// and an incarnation that is leaving never serves again. The caller must serialize access to it. The zero value is ready to
// use and has state Absent.
type Tracker struct {
	current  Incarnation
	sequence uint64
	state    State
	// leaving holds the incarnations that are leaving, the most recently recorded last.
	leaving []Incarnation
}

// Current returns the current incarnation and its state.
func (t *Tracker) Current() (Incarnation, State) { return t.current, t.state }

// Observe processes an announcement and returns the state change that it causes.
func (t *Tracker) Observe(b Incarnation, sequence uint64, leaving bool) Transition {
	switch {
	case b.StartMillis < t.current.StartMillis:
		return NoTransition
	case b == t.current:
		if sequence <= t.sequence && !leaving {
			return NoTransition
		}
	case b.StartMillis == t.current.StartMillis && t.state != Absent:
		return NoTransition
	}
	isNew := b != t.current
	t.current, t.sequence = b, max(sequence, t.sequence)
	if isNew {
		t.sequence, t.state = sequence, Absent
	}
	if leaving {
		t.addLeaving(b)
	}
	switch {
	case t.isLeaving(b) && t.state != Leaving:
		t.state = Leaving
		return BecameLeaving
	case !t.isLeaving(b) && t.state != Serving:
		t.state = Serving
		return BecameServing
	}
	return NoTransition
}

// MarkLeaving records that an incarnation, and so each earlier one with its id, is leaving. It reports whether the state of the
// current one changed.
func (t *Tracker) MarkLeaving(b Incarnation) bool {
	t.addLeaving(b)
	if !t.isLeaving(t.current) || t.state == Leaving || t.state == Absent {
		return false
	}
	t.state = Leaving
	return true
}

func (t *Tracker) addLeaving(b Incarnation) {
	if !t.isLeaving(b) {
		t.leaving = append(t.leaving, b)
		t.leaving = t.leaving[max(0, len(t.leaving)-maxLeaving):]
	}
}

// MarkUnreachable records that the current incarnation is unreachable, so that only a later announcement makes it serve
// again, and reports whether it was serving.
func (t *Tracker) MarkUnreachable() bool {
	if t.state != Serving {
		return false
	}
	t.state = Absent
	return true
}

func (t *Tracker) isLeaving(b Incarnation) bool {
	for _, known := range t.leaving {
		if known.ID == b.ID && known.StartMillis >= b.StartMillis {
			return true
		}
	}
	return false
}
