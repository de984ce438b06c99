package mesh

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/directory"
	"lovagelane/kernel"
	"lovagelane/routing"
	"lovagelane/settings"
)

// Deployments is the registry of Deployment constructors by name.
var Deployments kernel.Registry[func(settings.Mesh) (Deployment, error)]

// Deployment translates between the protocols of a deployment and the mesh. It contains no policy.
type Deployment interface {
	// Store returns the client of the operators' store.
	Store() Store
	// ConfigRow returns the table and the key of the row that holds the operators' configuration.
	ConfigRow() (table, key string)
	// ReadConfig parses and validates the operators' configuration. The error wraps routing.Problems.
	ReadConfig(value []byte) (*routing.Config, error)
	// ConfigPath returns the path of a place in the format of the operators' configuration.
	ConfigPath(at routing.Place) string
	// ReadyPath returns the path of the readiness endpoint.
	ReadyPath() string
	// ReadRequest extracts the request id, the remaining time and the API key from the headers of a request.
	ReadRequest(h *fasthttp.RequestHeader) RequestMeta
	// RemoveIdentity removes the API key and the name of a client account, if the caller sent one.
	RemoveIdentity(h *fasthttp.RequestHeader)
	// Prepare sets the headers that a backend server expects on a request.
	Prepare(h *fasthttp.RequestHeader, meta ForwardMeta)
	// ReadAnswer extracts metadata from the headers of a backend server's answer.
	ReadAnswer(h *fasthttp.ResponseHeader) AnswerMeta
	// ReadAnnouncement parses a heartbeat or a deregistration of a backend server.
	ReadAnnouncement(ctx *fasthttp.RequestCtx) (Announcement, error)
}

// RequestMeta is the metadata that a request carries in its headers.
type RequestMeta struct {
	ID string
	// Remaining is the time until the caller's deadline, or zero if the request states none.
	Remaining time.Duration
	// Key is the API key of the caller, or empty if there is none.
	Key string
}

// ForwardMeta is the metadata that a node adds to a request before it sends it to its backend server.
type ForwardMeta struct {
	Remaining time.Duration
	// Backend is the id of the only backend server that may run the request.
	Backend string
	// Caller is the service of the node where the request entered.
	Caller string
	// Account is the name of the client account, or empty if there is none.
	Account string
}

// AnswerMeta is the metadata that a backend server's answer carries in its headers.
type AnswerMeta struct {
	// ID is the id of the request that the answer belongs to, or empty if it names none.
	ID string
	// Signed is set when the answer carries the signature of the backend server.
	Signed bool
	// NotRun is set when the backend server states that it did not run the request.
	NotRun bool
	// OtherBackend is set when a backend server with another id answers at the address.
	OtherBackend bool
	// IdleTimeout is how long the backend server keeps an idle connection open, or zero if the answer states nothing.
	IdleTimeout time.Duration
}

// Announcement is a heartbeat or a deregistration of a backend server.
type Announcement struct {
	Backend directory.Incarnation
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64
	// Deregistered is set on a deregistration.
	Deregistered bool
	// Leaving is set while the backend server is draining: it takes no new calls.
	Leaving bool
	Service string
	Address string
	Slots   int
	// ColdRemaining is how much longer the backend server is slow after its start.
	ColdRemaining time.Duration
}

// Row is a row of the operators' store.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Removed bool
	// Err is set when the row can't be read; Key and Version are then set as far as they can be read.
	Err error
}

// Write is a write of one row, conditional on the version of the row if Expect is set.
type Write struct {
	Key   string
	Value []byte
	// Remove deletes the row; Value is ignored.
	Remove bool
	// Expect is the version that the row must have; 0 means that it must not exist. If unset, the write is unconditional.
	Expect kernel.Option[uint64]
}

// Errors of a store. After any other error, a write may have taken effect.
var (
	// ErrConflict means that the row does not have the expected version and that nothing was written.
	ErrConflict = errors.New("the row does not have the expected version: read it again")
	// ErrHistoryGone means that the store no longer holds the requested changes; the table must be listed again.
	ErrHistoryGone = errors.New("the store no longer holds the requested changes: list the table again")
	// ErrUnavailable means that the store is not available and did not execute the operation.
	ErrUnavailable = errors.New("the store is not available: the operation is retried")
)

// Store is a client of the operators' store: tables of versioned rows with a change feed.
type Store interface {
	// Write writes one row of a table and returns the new position of the store.
	Write(ctx context.Context, table string, w Write) (directory.Position, error)
	// List returns all rows of a table and the position of the store at which they were read.
	List(ctx context.Context, table string) ([]Row, directory.Position, error)
	// Feed waits for changes after a version and returns them with the current position of the store. The era is also set with
	// ErrHistoryGone. In another era than that of the version, the changes are not those that the caller lacks.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, directory.Position, error)
	// Close aborts the calls in flight.
	Close()
}
