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

// Deployments holds the translations to the protocols of deployments by name.
var Deployments kernel.Registry[func(settings.Mesh) (Deployment, error)]

// Deployment translates between the protocols of a deployment and the mesh. It takes no decisions.
type Deployment interface {
	// Store is the operators' store.
	Store() Store
	// ConfigRow names the row that holds the operators' configuration.
	ConfigRow() (table, key string)
	// ReadConfig reads the operators' configuration.
	ReadConfig(value []byte) (*routing.Config, error)
	// ReadyPath is the path of the question whether the node takes requests.
	ReadyPath() string
	// ReadRequest returns what a request says of itself.
	ReadRequest(h *fasthttp.RequestHeader) Claims
	// Prepare sets the headers that a backend server expects on a request.
	Prepare(h *fasthttp.RequestHeader, p Passed)
	// ReadAnswer returns what an answer of a backend server says of itself.
	ReadAnswer(h *fasthttp.ResponseHeader) Reply
	// ReadAnnouncement reads what a backend server says of itself.
	ReadAnnouncement(ctx *fasthttp.RequestCtx) (Announcement, error)
}

// Claims is what a request says of itself.
type Claims struct {
	ID string
	// Remaining is how long the caller will wait; zero means that it doesn't say.
	Remaining time.Duration
}

// Passed is what a backend server is told with a request.
type Passed struct {
	Remaining time.Duration
	// Backend is the id of the backend server that the request is meant for.
	Backend string
	// Caller is the service beside which the request began.
	Caller string
}

// Reply is what an answer of a backend server says of itself.
type Reply struct {
	// ID is the id of the request that the answer belongs to; empty when it names none.
	ID string
	// Stamped is set when the backend server vouches for the answer.
	Stamped bool
	// NotRun is set when the backend server states that it has not run the request.
	NotRun bool
	// OtherBackend is set when another backend server has the address.
	OtherBackend bool
	// IdleTimeout is how long the backend server keeps the connection open without a request; zero when it doesn't say.
	IdleTimeout time.Duration
}

// Announcement is what a backend server says of itself.
type Announcement struct {
	Backend directory.Incarnation
	// Sequence grows with each announcement of an incarnation.
	Sequence uint64
	// Gone is set when the backend server ends its announcements.
	Gone    bool
	Leaving bool
	Service string
	Address string
	Slots   int
}

// Row is a row of the operators' store.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	Removed bool
}

// Write is a change of a row under a condition.
type Write struct {
	Key   string
	Value []byte
	// Remove removes the row.
	Remove bool
	// Expect is the version that the row must have; 0 means that it must not exist. Without it the write is unconditional.
	Expect kernel.Option[uint64]
}

// Errors of a store. Any other error means that a write may have taken effect.
var (
	// ErrConflict means that a row has another version than expected, and that nothing was written.
	ErrConflict = errors.New("the row has changed: read it again")
	// ErrHistoryGone means that the changes that were asked for are not kept any more: list the table.
	ErrHistoryGone = errors.New("the history is gone: list the table again")
	// ErrUnavailable means that the store did nothing.
	ErrUnavailable = errors.New("the store is not available: it is tried again")
)

// Store is a store of rows with a feed of changes.
type Store interface {
	// Write changes one row of a table and returns the version of the store.
	Write(ctx context.Context, table string, w Write) (uint64, error)
	// List returns all rows of a table as of a version.
	List(ctx context.Context, table string) ([]Row, uint64, error)
	// Feed waits for changes after a version and returns them with the version to go on from.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
	// Close ends the calls that wait for an answer.
	Close()
}
