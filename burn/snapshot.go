package burn

import (
	"cmp"
	"slices"
	"time"

	"lovagelane/inventory"
)

// Key names what calls are counted by.
type Key struct {
	Service   string `json:"service"`
	Class     string `json:"class"`
	Operation string `json:"operation"`
	// AvailabilityZone is where the call was served; a Recorder replaces an empty one by its own.
	AvailabilityZone string `json:"availability-zone"`
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Service, other.Service), cmp.Compare(k.Class, other.Class),
		cmp.Compare(k.Operation, other.Operation), cmp.Compare(k.AvailabilityZone, other.AvailabilityZone))
}

// Series are the calls of one key.
type Series struct {
	Key
	Minutes Buckets `json:"minutes"`
	Hours   Buckets `json:"hours"`
}

// Node is a source of counts.
type Node struct {
	ID               string `json:"id"`
	Address          string `json:"address"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability-zone"`
	// Since is when the node started to count.
	Since time.Time `json:"since"`
	// Taken is the node's own time of the snapshot.
	Taken time.Time `json:"taken"`
}

// Missing is a node that gave no snapshot.
type Missing struct {
	Address string `json:"address"`
	Problem string `json:"problem"`
}

// EventKind names a protective state that a node entered.
type EventKind string

const (
	// EventEjected means that a backend server was avoided.
	EventEjected EventKind = "ejected"
	// EventQuarantined means that a request that crashes backend servers is refused.
	EventQuarantined EventKind = "quarantined"
	// EventLimitLowered means that a learned concurrency limit fell.
	EventLimitLowered EventKind = "limit-lowered"
)

// Event is a protective state with the times when it was first and last entered.
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

// Objective is the share of a service's calls that must be answered and the duration within which.
type Objective struct {
	Service  string        `json:"service"`
	Answered float64       `json:"answered"`
	Within   time.Duration `json:"within-ns"`
	// Line is the file and line that states it.
	Line string `json:"line"`
}

// Objectives are those of one version of the configuration.
type Objectives struct {
	Version uint64      `json:"version"`
	List    []Objective `json:"list"`
}

// ObjectivesOf returns the objectives of a configuration, none for nil.
func ObjectivesOf(cfg *inventory.Config) Objectives {
	if cfg == nil {
		return Objectives{}
	}
	o := Objectives{Version: cfg.Version()}
	for _, stated := range cfg.Objectives() {
		o.List = append(o.List, Objective{Service: stated.Service, Answered: stated.Answered, Within: stated.Within,
			Line: stated.Line.String()})
	}
	return o
}

// Of returns the objective of a service.
func (o Objectives) Of(service string) (Objective, bool) {
	for _, objective := range o.List {
		if objective.Service == service {
			return objective, true
		}
	}
	return Objective{}, false
}

// Snapshot is what one node or several counted.
type Snapshot struct {
	Nodes      []Node     `json:"nodes"`
	Missing    []Missing  `json:"missing,omitempty"`
	Objectives Objectives `json:"objectives"`
	Series     []Series   `json:"series"`
	// Seconds are all calls of the last 5 minutes.
	Seconds Buckets `json:"seconds"`
	Events  []Event `json:"events"`
	// EventsLost is the number of events that did not fit into the nodes' memory.
	EventsLost int64 `json:"events-lost,omitempty"`
}

// Merge joins the snapshots of several nodes; the order does not matter. The objectives of the newest configuration
// count.
func Merge(snapshots ...Snapshot) Snapshot {
	var all Snapshot
	series := map[Key]Series{}
	for _, s := range snapshots {
		all.Nodes = append(all.Nodes, s.Nodes...)
		all.Missing = append(all.Missing, s.Missing...)
		all.Events = append(all.Events, s.Events...)
		all.EventsLost += s.EventsLost
		all.Seconds = all.Seconds.With(s.Seconds)
		if o := s.Objectives; o.Version > all.Objectives.Version ||
			o.Version == all.Objectives.Version && all.Objectives.List == nil {
			all.Objectives = o
		}
		for _, add := range s.Series {
			sum := series[add.Key]
			series[add.Key] = Series{add.Key, sum.Minutes.With(add.Minutes), sum.Hours.With(add.Hours)}
		}
	}
	for _, s := range series {
		all.Series = append(all.Series, s)
	}
	slices.SortFunc(all.Series, func(a, b Series) int { return a.Key.compare(b.Key) })
	slices.SortFunc(all.Events, Event.compare)
	slices.SortFunc(all.Nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.AvailabilityZone, b.AvailabilityZone), a.Since.Compare(b.Since),
			cmp.Compare(a.ID, b.ID), cmp.Compare(a.Address, b.Address))
	})
	slices.SortFunc(all.Missing, func(a, b Missing) int {
		return cmp.Or(cmp.Compare(a.Address, b.Address), cmp.Compare(a.Problem, b.Problem))
	})
	return all
}
