package balance

import (
	"time"

	"lovagelane/call"
	"lovagelane/kernel"
)

// Place is where an instance stands.
type Place struct {
	Region           string
	AvailabilityZone string
}

// Candidate is a backend server that may take a call.
type Candidate struct {
	// ID is the member id of the node beside the backend server.
	ID    string
	Place Place
	Slots int
	// Suspected candidates are chosen only when no other one is left.
	Suspected bool
}

// Query asks for a backend server.
type Query struct {
	Priority call.Priority
	// Exclude holds the ids that this call already tried.
	Exclude kernel.Set[string]
}

// Choice is the answer to a Query: Chosen or None.
type Choice interface{ choice() }

// Chosen names the backend server that takes the call.
type Chosen struct {
	ID string
	// Probe marks a call that tests a backend server which was avoided.
	Probe bool
	// CrossRegion marks a call that leaves the region.
	CrossRegion bool
}

// None means that no backend server takes the call now.
type None struct{ Reason call.Reason }

func (Chosen) choice() {}
func (None) choice()   {}

// Result is what was observed of a call that ended.
type Result struct {
	Latency time.Duration
	Outcome call.Outcome
	Reason  call.Reason
	// Answered is false when no answer came; Load and Level count only when it is true.
	Answered bool
	// DialFailed means that no connection could be made.
	DialFailed bool
	Load       call.Load
	Level      call.Priority
}

// Config states where the calling node stands and how it chooses.
type Config struct {
	// Policy is the name of a registered plug-in; empty means "least-loaded".
	Policy string
	Home   Place
}

// Chooser chooses among the backend servers of one service; the caller serializes access to it.
type Chooser struct {
	cfg        Config
	candidates []Candidate
	next       int
}

// New returns a chooser without candidates, or an error for an unknown policy.
func New(cfg Config, r *kernel.Rand) (*Chooser, error) { return &Chooser{cfg: cfg}, nil }

// Update replaces the candidates and keeps what is known of those that remain.
func (c *Chooser) Update(now time.Time, candidates []Candidate) { c.candidates = candidates }

// Choose picks a backend server; report the call with Started and Finished.
func (c *Chooser) Choose(now time.Time, q Query) Choice {
	for range c.candidates {
		c.next++
		candidate := c.candidates[c.next%len(c.candidates)]
		if !q.Exclude.Has(candidate.ID) {
			return Chosen{ID: candidate.ID}
		}
	}
	return None{Reason: call.ReasonNoBackendServer}
}

// Started counts a call that is sent to a candidate; token identifies it until Finished.
func (c *Chooser) Started(now time.Time, id string, token uint64) {}

// Finished records the end of a call.
func (c *Chooser) Finished(now time.Time, id string, token uint64, res Result) {}

// HedgeDelay returns how long to wait for an answer before a hedge is worth sending; zero means unknown.
func (c *Chooser) HedgeDelay() time.Duration { return 0 }
