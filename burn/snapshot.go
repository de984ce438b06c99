package burn

import (
	"cmp"
	"slices"
	"time"

	"lovagelane/inventory"
)

// Key identifies a series of counts.
type Key struct {
	Service   string `json:"service"`
	Class     string `json:"class"`
	Operation string `json:"operation"`
	// AvailabilityZone is the zone that served the call; a Recorder replaces an empty one with its own.
	AvailabilityZone string `json:"availability-zone"`
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Service, other.Service), cmp.Compare(k.Class, other.Class),
		cmp.Compare(k.Operation, other.Operation), cmp.Compare(k.AvailabilityZone, other.AvailabilityZone))
}

// Series holds the calls of one key.
type Series struct {
	Key
	Minutes Buckets `json:"minutes"`
	Hours   Buckets `json:"hours"`
}

// Node identifies a node and the period of its counts.
type Node struct {
	ID               string `json:"id"`
	Address          string `json:"address"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability-zone"`
	// Since is the time at which the node started to count.
	Since time.Time `json:"since"`
	// SnapshotTime is the time of the snapshot by the node's clock.
	SnapshotTime time.Time `json:"taken"`
}

// Missing is a node that did not return a valid snapshot.
type Missing struct {
	Address string `json:"address"`
	Problem string `json:"problem"`
}

// EventKind is a protective state: a reaction of a node to overload or to failures of backend servers.
type EventKind string

const (
	// EventEjected means that a node excluded a backend server from selection.
	EventEjected EventKind = "ejected"
	// EventQuarantined means that a node refused a request that crashes backend servers.
	EventQuarantined EventKind = "quarantined"
	// EventLimitLowered means that an adaptive concurrency limit decreased.
	EventLimitLowered EventKind = "limit-lowered"
)

// Event is a protective state with the times at which it was first and last entered.
type Event struct {
	Kind    EventKind `json:"kind"`
	Subject string    `json:"subject"`
	Node    string    `json:"node"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
	Count   int64     `json:"count"`
}

func (e Event) compare(other Event) int {
	return cmp.Or(e.From.Compare(other.From), cmp.Compare(e.Kind, other.Kind), cmp.Compare(e.Subject, other.Subject),
		cmp.Compare(e.Node, other.Node), e.To.Compare(other.To), cmp.Compare(e.Count, other.Count))
}

// Objective is a service-level objective: the fraction of a service's calls that are to be answered within a duration.
type Objective struct {
	Service  string        `json:"service"`
	Answered float64       `json:"answered"`
	Within   time.Duration `json:"within-ns"`
	// Line is the file and line that set the objective.
	Line string `json:"line"`
}

// Objectives holds the objectives of one version of the configuration.
type Objectives struct {
	Version uint64      `json:"version"`
	List    []Objective `json:"list"`
}

// ObjectivesOf returns the objectives of a configuration, or no objectives if cfg is nil.
func ObjectivesOf(cfg *inventory.Config) Objectives {
	if cfg == nil {
		return Objectives{}
	}
	o := Objectives{Version: cfg.Version()}
	for _, objective := range cfg.Objectives() {
		o.List = append(o.List, Objective{Service: objective.Service, Answered: objective.Answered, Within: objective.Within,
			Line: objective.Line.String()})
	}
	return o
}

// ForService returns the objective of a service.
func (o Objectives) ForService(service string) (Objective, bool) {
	for _, objective := range o.List {
		if objective.Service == service {
			return objective, true
		}
	}
	return Objective{}, false
}

// Snapshot holds the counts, events and objectives of one or more nodes.
type Snapshot struct {
	Nodes      []Node     `json:"nodes"`
	Missing    []Missing  `json:"missing,omitempty"`
	Objectives Objectives `json:"objectives"`
	Series     []Series   `json:"series"`
	// Seconds counts all calls of the last 5 minutes.
	Seconds Buckets `json:"seconds"`
	Events  []Event `json:"events"`
	// EventsLost is the number of events that nodes dropped because their buffers were full.
	EventsLost int64 `json:"events-lost,omitempty"`
}

// Merge merges the snapshots of several nodes; the result does not depend on their order. It keeps the objectives of the
// newest configuration.
func Merge(snapshots ...Snapshot) Snapshot {
	var merged Snapshot
	series := map[Key]Series{}
	for _, s := range snapshots {
		merged.Nodes = append(merged.Nodes, s.Nodes...)
		merged.Missing = append(merged.Missing, s.Missing...)
		merged.Events = append(merged.Events, s.Events...)
		merged.EventsLost += s.EventsLost
		merged.Seconds = merged.Seconds.Plus(s.Seconds)
		if o := s.Objectives; o.Version > merged.Objectives.Version ||
			o.Version == merged.Objectives.Version && merged.Objectives.List == nil {
			merged.Objectives = o
		}
		for _, part := range s.Series {
			sum := series[part.Key]
			series[part.Key] = Series{part.Key, sum.Minutes.Plus(part.Minutes), sum.Hours.Plus(part.Hours)}
		}
	}
	for _, s := range series {
		merged.Series = append(merged.Series, s)
	}
	slices.SortFunc(merged.Series, func(a, b Series) int { return a.Key.compare(b.Key) })
	slices.SortFunc(merged.Events, Event.compare)
	slices.SortFunc(merged.Nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.AvailabilityZone, b.AvailabilityZone), a.Since.Compare(b.Since),
			cmp.Compare(a.ID, b.ID), cmp.Compare(a.Address, b.Address))
	})
	slices.SortFunc(merged.Missing, func(a, b Missing) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Problem, b.Problem))
	})
	return merged
}
