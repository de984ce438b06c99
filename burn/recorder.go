package burn

import (
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lovagelane/event"
	"lovagelane/kernel"
)

const (
	minutesKept = 6 * 60
	hoursKept   = 3 * 24
	secondsKept = 5 * time.Minute
	// maxSeries bounds the keys of one node at about 21 KB each; calls of further keys are counted as other.
	maxSeries = 512
	// maxEvents bounds the events of one node; the oldest are dropped.
	maxEvents = 256
	// eventGap is the longest time between repeats of an event that are kept as one.
	eventGap = 10 * time.Minute
)

// other is the key of calls that are beyond maxSeries.
const other = "other"

// Recorder counts the calls of one node; a nil Recorder counts nothing.
type Recorder struct {
	self    Node
	clock   kernel.Clock
	seconds *event.Window
	// series is copied when it grows, so that the data path reads it without a lock.
	series atomic.Pointer[map[Key]*counter]

	mu         sync.Mutex // for all below and for growing series
	objectives Objectives
	events     []Event
	lost       int64
}

type counter struct {
	mu             sync.Mutex
	minutes, hours ring
}

// NewRecorder returns a recorder for a node, which has data since now.
func NewRecorder(self Node, clock kernel.Clock) *Recorder {
	self.Since = clock.Now().UTC()
	r := &Recorder{self: self, clock: clock, seconds: event.NewWindow(secondsKept, int(kinds))}
	r.series.Store(&map[Key]*counter{})
	return r
}

// Record counts a call.
func (r *Recorder) Record(key Key, kind Kind) {
	if r == nil || kind >= kinds {
		return
	}
	if key.AvailabilityZone == "" {
		key.AvailabilityZone = r.self.AvailabilityZone
	}
	now := r.clock.Now()
	r.seconds.Add(now, int(kind), 1)
	c, ok := (*r.series.Load())[key]
	if !ok {
		c = r.create(key)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.minutes.add(minuteOf(now), kind)
	c.hours.add(hourOf(now), kind)
}

func (r *Recorder) create(key Key) *counter {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := *r.series.Load()
	if len(old) >= maxSeries {
		key = Key{Service: other, Class: other, Operation: other, AvailabilityZone: r.self.AvailabilityZone}
	}
	if c, ok := old[key]; ok {
		return c
	}
	next := make(map[Key]*counter, len(old)+1)
	for k, c := range old {
		next[k] = c
	}
	c := &counter{minutes: newRing(minutesKept), hours: newRing(hoursKept)}
	next[key] = c
	r.series.Store(&next)
	return c
}

// Event notes a protective state; repeats within 10 minutes are kept as one event.
func (r *Recorder) Event(kind EventKind, subject string) {
	if r == nil {
		return
	}
	now := r.clock.Now().UTC()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.events) - 1; i >= 0; i-- {
		e := &r.events[i]
		if e.Kind == kind && e.Subject == subject && now.Sub(e.To) <= eventGap {
			e.To = now
			e.Count++
			return
		}
	}
	if len(r.events) == maxEvents {
		r.events = slices.Delete(r.events, 0, 1)
		r.lost++
	}
	r.events = append(r.events, Event{Kind: kind, Subject: subject, Node: r.self.ID, From: now, To: now, Count: 1})
}

// SetObjectives replaces the objectives when a configuration takes force.
func (r *Recorder) SetObjectives(o Objectives) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objectives = o
}

// Snapshot returns what is counted so far.
func (r *Recorder) Snapshot() Snapshot {
	if r == nil {
		return Snapshot{}
	}
	now := r.clock.Now().UTC()
	self := r.self
	self.Taken = now
	s := Snapshot{Nodes: []Node{self}}
	r.mu.Lock()
	s.Objectives, s.Events, s.EventsLost = r.objectives, slices.Clone(r.events), r.lost
	r.mu.Unlock()
	for key, c := range *r.series.Load() {
		c.mu.Lock()
		minutes, hours := c.minutes.buckets(minuteOf(now)), c.hours.buckets(hourOf(now))
		c.mu.Unlock()
		if len(minutes)+len(hours) > 0 {
			s.Series = append(s.Series, Series{key, minutes, hours})
		}
	}
	r.seconds.Each(now, func(second int64, counts []int64) {
		s.Seconds = append(s.Seconds, Bucket{N: second, Counts: Counts(counts)})
	})
	return Merge(s)
}

// JSON returns the answer to GET /burn.
func (r *Recorder) JSON() ([]byte, error) { return json.Marshal(r.Snapshot()) }

func minuteOf(t time.Time) int64 { return t.Unix() / 60 }
func hourOf(t time.Time) int64   { return t.Unix() / 3600 }
