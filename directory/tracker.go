package directory

// Heard says what an announcement of a backend server means to the node beside it.
type Heard uint8

const (
	// HeardNothing means that the announcement is late or repeats what is known.
	HeardNothing Heard = iota
	// HeardServing means that the backend server takes calls from now on.
	HeardServing
	// HeardLeaving means that the backend server takes no new calls from now on.
	HeardLeaving
)

// maxLeft bounds the leavings that are remembered.
const maxLeft = 64

// Tracker follows the backend server beside a node through its starts. Announcements may arrive late and out of order, and
// an incarnation that is leaving never serves again. The caller serializes access to it; its zero value knows none.
type Tracker struct {
	current  Incarnation
	sequence uint64
	state    State
	// left holds the incarnations that are leaving, the latest last.
	left []Incarnation
}

// Current returns the incarnation that was heard last and its state.
func (t *Tracker) Current() (Incarnation, State) { return t.current, t.state }

// Hear takes an announcement.
func (t *Tracker) Hear(b Incarnation, sequence uint64, leaving bool) Heard {
	switch {
	case b.Born < t.current.Born:
		return HeardNothing
	case b == t.current:
		if sequence <= t.sequence && !leaving {
			return HeardNothing
		}
	case b.Born == t.current.Born && t.state != Absent:
		return HeardNothing
	}
	fresh := b != t.current
	t.current, t.sequence = b, max(sequence, t.sequence)
	if fresh {
		t.sequence, t.state = sequence, Absent
	}
	if leaving {
		t.remember(b)
	}
	switch {
	case t.hasLeft(b) && t.state != Leaving:
		t.state = Leaving
		return HeardLeaving
	case !t.hasLeft(b) && t.state != Serving:
		t.state = Serving
		return HeardServing
	}
	return HeardNothing
}

// Left records that an incarnation is leaving, and reports whether that changes the state of the current one.
func (t *Tracker) Left(b Incarnation) bool {
	t.remember(b)
	if b != t.current || t.state == Leaving || t.state == Absent {
		return false
	}
	t.state = Leaving
	return true
}

func (t *Tracker) remember(b Incarnation) {
	if !t.hasLeft(b) {
		t.left = append(t.left, b)
		t.left = t.left[max(0, len(t.left)-maxLeft):]
	}
}

// Lost records that the current incarnation can't be reached, so that only a later announcement makes it serve again.
func (t *Tracker) Lost() bool {
	if t.state != Serving {
		return false
	}
	t.state = Absent
	return true
}

func (t *Tracker) hasLeft(b Incarnation) bool {
	for _, left := range t.left {
		if left == b {
			return true
		}
	}
	return false
}
