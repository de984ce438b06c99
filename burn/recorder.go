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
	minuteBuckets    = 6 * 60
	hourBuckets      = 3 * 24
	secondsRetention = 5 * time.Minute
	// maxSeries bounds the memory of one node: a series takes about 21 KB. Calls of further keys count under overflowName.
	maxSeries = 512
	// maxEvents bounds the events of one node; the oldest is dropped for a new one.
	maxEvents = 256
	// maxEventGap is the longest interval after which a repeat extends an event instead of adding one.
	maxEventGap = 10 * time.Minute
)

// overflowName is the service, class and operation that replace those of a new key once a node has maxSeries series.
const overflowName = "other"

// Recorder counts the calls and events of one node; a nil Recorder counts nothing.
type Recorder struct {
	self    Node
	clock   kernel.Clock
	seconds *event.Window
	// series is copied on write, so that the data path reads it without a lock.
	series atomic.Pointer[map[Key]*counter]

	mu         sync.Mutex // protects the fields below and additions to series
	objectives Objectives
	events     []Event
	eventsLost int64
}

type counter struct {
	mu             sync.Mutex
	minutes, hours ring
}

// NewRecorder returns a recorder for a node that counts from now on.
func NewRecorder(self Node, clock kernel.Clock) *Recorder {
	self.Since = clock.Now().UTC()
	r := &Recorder{self: self, clock: clock, seconds: event.NewWindow(secondsRetention, int(numKinds))}
	r.series.Store(&map[Key]*counter{})
	return r
}

// Record counts a call of the given key and kind.
func (r *Recorder) Record(key Key, kind Kind) {
	if r == nil || kind >= numKinds {
		return
	}
	if key.AvailabilityZone == "" {
		key.AvailabilityZone = r.self.AvailabilityZone
	}
	now := r.clock.Now()
	r.seconds.Add(now, int(kind), 1)
	c, ok := (*r.series.Load())[key]
	if !ok {
		c = r.getOrCreate(key)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.minutes.add(minuteOf(now), kind)
	c.hours.add(hourOf(now), kind)
}

func (r *Recorder) getOrCreate(key Key) *counter {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := *r.series.Load()
	if len(old) >= maxSeries {
		key = Key{Service: overflowName, Class: overflowName, Operation: overflowName, AvailabilityZone: r.self.AvailabilityZone}
	}
	if c, ok := old[key]; ok {
		return c
	}
	next := make(map[Key]*counter, len(old)+1)
	for k, c := range old {
		next[k] = c
	}
	c := &counter{minutes: newRing(minuteBuckets), hours: newRing(hourBuckets)}
	next[key] = c
	r.series.Store(&next)
	return c
}

// RecordEvent records that the node entered a protective state. A repeat within 10 minutes of the last one extends that event.
func (r *Recorder) RecordEvent(kind EventKind, subject string) {
	if r == nil {
		return
	}
	now := r.clock.Now().UTC()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.events) - 1; i >= 0; i-- {
		e := &r.events[i]
		if e.Kind == kind && e.Subject == subject && now.Sub(e.To) <= maxEventGap {
			e.To = now
			e.Count++
			return
		}
	}
	if len(r.events) == maxEvents {
		r.events = slices.Delete(r.events, 0, 1)
		r.eventsLost++
	}
	r.events = append(r.events, Event{Kind: kind, Subject: subject, Node: r.self.ID, From: now, To: now, Count: 1})
}

// SetObjectives replaces the objectives when a new configuration takes effect.
func (r *Recorder) SetObjectives(o Objectives) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objectives = o
}

// Snapshot returns a copy of the counts, the events and the objectives.
func (r *Recorder) Snapshot() Snapshot {
	if r == nil {
		return Snapshot{}
	}
	now := r.clock.Now().UTC()
	self := r.self
	self.SnapshotTime = now
	s := Snapshot{Nodes: []Node{self}}
	r.mu.Lock()
	s.Objectives, s.Events, s.EventsLost = r.objectives, slices.Clone(r.events), r.eventsLost
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
		s.Seconds = append(s.Seconds, Bucket{Index: second, Counts: Counts(counts)})
	})
	return Merge(s)
}

// JSON returns the snapshot in the format of GET /burn.
func (r *Recorder) JSON() ([]byte, error) { return json.Marshal(r.Snapshot()) }

func minuteOf(t time.Time) int64 { return t.Unix() / 60 }
func hourOf(t time.Time) int64   { return t.Unix() / 3600 }
