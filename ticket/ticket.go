package ticket

import (
	"time"

	"lovagelane/call"
)

// Lifetime is how long a ticket may be used after it was issued.
const Lifetime = 10 * time.Minute

// Ticket binds a request to the incarnation of the node that issued it.
type Ticket struct {
	// Owner is the member id of the issuing node, which is new at each start of the process.
	Owner   string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Seq     uint64 `cbor:"3,keyasint"`
	// IssuedMS is the issue time in ms since the owner started, on its monotonic clock.
	IssuedMS uint64 `cbor:"4,keyasint"`
	Service  string `cbor:"5,keyasint"`
}

// Issuer issues and verifies tickets.
type Issuer struct{}

// NewIssuer returns an issuer for the node with this member id and calls address, under the deployment's ticket key.
func NewIssuer(key []byte, owner, address string, start time.Time) *Issuer { return &Issuer{} }

// Issue returns a new ticket for a request to the service, in the form that callers send back.
func (i *Issuer) Issue(now time.Time, service string) string { return "" }

// Parse verifies a ticket's MAC and form; any node of the deployment can do so.
func (i *Issuer) Parse(token string) (Ticket, error) { return Ticket{}, nil }

// Answer is a kept answer of a request.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
	// Truncated means that the body was too large to keep.
	Truncated bool         `cbor:"4,keyasint"`
	Outcome   call.Outcome `cbor:"5,keyasint"`
	Reason    call.Reason  `cbor:"6,keyasint"`
}

// Verdict is the answer to a ticketed request at its owner: Run, Join, Kept or Refuse.
type Verdict interface{ verdict() }

// Run means that the request is to be started now, with this many retries.
type Run struct{ Allowance int }

// Join means that the request runs already; wait for its end and ask again.
type Join struct{}

// Kept means that the request ended and this is its answer.
type Kept struct{ Answer Answer }

// Refuse means that the request is not started.
type Refuse struct {
	Reason  call.Reason
	Outcome call.Outcome
}

func (Run) verdict()    {}
func (Join) verdict()   {}
func (Kept) verdict()   {}
func (Refuse) verdict() {}

// Owner is the table of ticketed requests of the node that issued their tickets; the caller serializes access to it.
type Owner struct{}

// NewOwner returns an empty table for the incarnation that started at start.
func NewOwner(owner string, start time.Time) *Owner { return &Owner{} }

// Begin decides on a request that came with a ticket of this owner.
func (o *Owner) Begin(now time.Time, t Ticket, service string, digest uint64) Verdict {
	return Run{Allowance: 3}
}

// Finish records the end of a request that Run started. A "not run" end lets a resend with the ticket run it again,
// with unused retries of what it had; any other end is final.
func (o *Owner) Finish(now time.Time, seq uint64, a Answer, unused int) {}
