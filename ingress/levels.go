package ingress

import (
	"time"

	"lovagelane/call"
	"lovagelane/kernel"
)

const (
	// maxOperations bounds the table of operations.
	maxOperations = 1024
	// confirmInterval is the time for which a level stays in force after the last answer that confirmed it.
	confirmInterval = time.Second
	// releaseInterval is the time between two steps in which a level without confirmation is released.
	releaseInterval = 100 * time.Millisecond
	// initialReleaseStep is the first step of the release, in priority keys; each further step is twice as large.
	initialReleaseStep = 32
	// probeInterval is the minimum time between two probes, requests of an operation that are admitted beyond its level. It
	// is long because every node probes: with 590 nodes, an interval of 500 ms is about 2% of the calls at the target size.
	probeInterval = 500 * time.Millisecond
	// openMargin is the distance to the least important key below which a level counts as fully open.
	openMargin = 16
)

var openKey = float64(call.LeastImportant.Key())

// Levels holds the admission level of each operation as learned from answers. The zero value is ready to use. The caller
// serializes access to it.
type Levels struct {
	operations *kernel.LRU[string, operationLevel]
}

type operationLevel struct {
	// key is the level as a priority key. It is fractional, because an answer changes it by a fraction of the distance.
	key           float64
	lastConfirmed time.Time
	lastProbe     time.Time
}

// Admit reports whether the level of an operation admits the priority. At most one request beyond the level is admitted as a
// probe in each probeInterval.
func (l *Levels) Admit(now time.Time, operation string, p call.Priority) bool {
	o := l.find(operation)
	if o == nil || float64(p.Key()) <= o.inForce(now) {
		return true
	}
	if now.Sub(o.lastProbe) < probeInterval {
		return false
	}
	o.lastProbe = now
	return true
}

// Learn updates the level of an operation with the strictest level in an answer. The first strict level applies in full. A
// later one changes the level by half of the distance if it is stricter and by a quarter if it is less strict, because answers
// come from several backend servers and the strictest level would shed requests that the others can serve.
func (l *Levels) Learn(now time.Time, operation string, level call.Priority) {
	key := float64(level.Key())
	o := l.find(operation)
	if o == nil {
		if level == call.LeastImportant {
			return
		}
		if l.operations == nil {
			l.operations = kernel.NewLRU[string, operationLevel](maxOperations)
		}
		o = l.operations.GetOrAdd(operation)
		o.key = openKey
	}
	current := o.inForce(now)
	switch {
	case level == call.LeastImportant || key > current:
		// A less strict answer does not confirm the level, so its age does not restart.
		if o.key = min(openKey, current+(key-current)/4); openKey-o.key < openMargin {
			o.key = openKey
		}
		if now.Sub(o.lastConfirmed) > confirmInterval {
			o.lastConfirmed = now.Add(-confirmInterval)
		}
	case current == openKey:
		o.key, o.lastConfirmed, o.lastProbe = key, now, now
	default:
		o.key, o.lastConfirmed = current+(key-current)/2, now
	}
}

// Level returns the level in force for an operation and the time since the last answer that confirmed it.
func (l *Levels) Level(now time.Time, operation string) (call.Priority, time.Duration) {
	o := l.find(operation)
	if o == nil || o.inForce(now) >= openKey {
		return call.LeastImportant, 0
	}
	return call.PriorityFromKey(uint16(o.inForce(now))), now.Sub(o.lastConfirmed)
}

func (l *Levels) find(operation string) *operationLevel {
	if l.operations == nil {
		return nil
	}
	return l.operations.Get(operation)
}

// inForce returns the level, as a priority key, after the release steps that have elapsed.
func (o *operationLevel) inForce(now time.Time) float64 {
	steps := int64((now.Sub(o.lastConfirmed) - confirmInterval) / releaseInterval)
	if steps <= 0 {
		return o.key
	}
	if steps > 16 {
		return openKey
	}
	return min(openKey, o.key+initialReleaseStep*float64(int64(1)<<steps-1))
}
