package pressure

import (
	"time"

	"lovagelane/call"
	"lovagelane/kernel"
)

const (
	// maxOperations bounds the operations that levels are kept for.
	maxOperations = 1024
	// confirmInterval is how long a level stays in force after the last answer that confirmed it.
	confirmInterval = time.Second
	// releaseInterval is the time between two steps of the release of a level that is not confirmed.
	releaseInterval = 100 * time.Millisecond
	// firstRelease is the first step of the release, in priority keys; each further step is twice as long.
	firstRelease = 32
	// probeInterval is the time between two requests of an operation that are admitted beyond its level. It is long
	// because every node probes: at 590 nodes, 500 ms is about 2% of the calls at the target size.
	probeInterval = 500 * time.Millisecond
	// openMargin is the distance to the least important key within which a level counts as fully open.
	openMargin = 16
)

var openKey = float64(call.LeastImportant.Key())

// Levels holds the admission level of each operation as learned from answers; its zero value is ready. The caller
// serializes access to it.
type Levels struct {
	operations *kernel.Table[string, learned]
}

type learned struct {
	// key is the level as a priority key; it is fractional because answers move it by part of the distance.
	key       float64
	confirmed time.Time
	probed    time.Time
}

// Admit reports whether the call graph behind an operation admits the priority. A few requests beyond the level are
// admitted as probes.
func (l *Levels) Admit(now time.Time, operation string, p call.Priority) bool {
	o := l.find(operation)
	if o == nil || float64(p.Key()) <= o.inForce(now) {
		return true
	}
	if now.Sub(o.probed) < probeInterval {
		return false
	}
	o.probed = now
	return true
}

// Learn records the strictest level that an answer to the operation brought. The first strict level counts in full. Later
// ones move the level by half of the distance when stricter and by a quarter when less strict, because answers come from
// several backend servers and the strictest one of them would shed requests that the others can serve.
func (l *Levels) Learn(now time.Time, operation string, level call.Priority) {
	key := float64(level.Key())
	o := l.find(operation)
	if o == nil {
		if level == call.LeastImportant {
			return
		}
		if l.operations == nil {
			l.operations = kernel.NewTable[string, learned](maxOperations)
		}
		o = l.operations.Put(operation)
		o.key = openKey
	}
	current := o.inForce(now)
	switch {
	case level == call.LeastImportant || key > current:
		// The age is kept: an answer that is less strict does not confirm the level.
		if o.key = min(openKey, current+(key-current)/4); openKey-o.key < openMargin {
			o.key = openKey
		}
		if now.Sub(o.confirmed) > confirmInterval {
			o.confirmed = now.Add(-confirmInterval)
		}
	case current == openKey:
		o.key, o.confirmed, o.probed = key, now, now
	default:
		o.key, o.confirmed = current+(key-current)/2, now
	}
}

// Level returns the level in force for an operation and the time since an answer confirmed it.
func (l *Levels) Level(now time.Time, operation string) (call.Priority, time.Duration) {
	o := l.find(operation)
	if o == nil || o.inForce(now) >= openKey {
		return call.LeastImportant, 0
	}
	return call.PriorityOf(uint16(o.inForce(now))), now.Sub(o.confirmed)
}

func (l *Levels) find(operation string) *learned {
	if l.operations == nil {
		return nil
	}
	return l.operations.Get(operation)
}

// inForce returns the level after the steps of release that are due.
func (o *learned) inForce(now time.Time) float64 {
	steps := int64((now.Sub(o.confirmed) - confirmInterval) / releaseInterval)
	if steps <= 0 {
		return o.key
	}
	if steps > 16 {
		return openKey
	}
	return min(openKey, o.key+firstRelease*float64(int64(1)<<steps-1))
}
