package tablestore

import (
	"context"
	"fmt"
	"time"

	"lovagelane/kernel"
)

const (
	// MembersTable is the table with one row for each running node, keyed by member id.
	MembersTable = "members"
	// ConfigTable is the table with the row CurrentKey and one row for each accepted configuration version.
	ConfigTable = "config"
	// CurrentKey is the key of the row that names the accepted configuration.
	CurrentKey = "current"
)

// Row holds the value of a key in a table, with its version and age.
type Row struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	// Version starts at 1 and increases by 1 with each write to the row.
	Version uint64 `json:"version"`
	// Revision is the revision of the table at which the row was written.
	Revision  uint64 `json:"revision"`
	AgeMillis int64  `json:"age-ms"`
	Deleted   bool   `json:"deleted,omitempty"`
	// Err is set by Rows when the row can't be read; the other fields are then set as far as they can be read.
	Err error `json:"-"`
}

// Age returns the time since the row was written, as measured by the store's clock.
func (r Row) Age() time.Duration { return time.Duration(r.AgeMillis) * time.Millisecond }

// Mark is a place in the history of a table; its zero value is the beginning.
type Mark struct {
	// Era grows when the store comes back from an older copy, after which it gives revisions and versions out again.
	Era      uint64
	Revision uint64
}

// Write is one write of a transaction.
type Write struct {
	Key    string
	Value  string
	Delete bool
	// IfVersion, if set, is the version that the row must have. Version 0 means that the row must not exist.
	IfVersion kernel.Option[uint64]
	// IfEra, if set, is the era that the store must be in; a store that states no era does not check it.
	IfEra kernel.Option[uint64]
}

// Commit is the result of a committed transaction: the new revision of the table and the new version of each written row.
type Commit struct {
	Revision uint64            `json:"revision"`
	Versions map[string]uint64 `json:"versions"`
}

// Store is the interface of the platform's table service and object store.
type Store interface {
	// Row returns a row and whether it exists.
	Row(ctx context.Context, table, key string) (Row, bool, error)
	// Rows returns the mark of the table and the rows that changed after since, deleted ones included. It returns all rows if
	// since is not in the table's present history.
	Rows(ctx context.Context, table string, since Mark) (Mark, []Row, error)
	// Transact applies all writes or none.
	Transact(ctx context.Context, table string, writes []Write) (Commit, error)
	// PutObject stores an object and returns the era of the store. Storing the same content again has no effect.
	PutObject(ctx context.Context, name string, data []byte) (uint64, error)
	// Object returns an object and whether it exists.
	Object(ctx context.Context, name string) ([]byte, bool, error)
}

// ConflictError reports that a condition of a write did not hold and nothing was written.
type ConflictError struct {
	Table string
	Key   string
	// Version is the current version of the row, or 0 if it does not exist.
	Version uint64
}

// Error returns a message with the row and its current version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s/%s is now at version %d: read it again and repeat the change", e.Table, e.Key, e.Version)
}

// UnavailableError reports that a read failed, or that a write was not applied, because the store is unavailable.
type UnavailableError struct{ Cause error }

// Error returns a message with the cause and the remedy.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the store is unavailable (%v) and nothing was changed: retry when it responds again", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownError reports that the outcome of a write is unknown: it may or may not have been applied.
type UnknownError struct{ Cause error }

// Error returns a message with the cause and the remedy.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("no valid response from the store (%v), the write may have been applied: read the row to check", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// ProtocolError reports a response that does not follow the store's protocol.
type ProtocolError struct {
	Request string
	Detail  string
}

// Error returns a message with the request, the violation and the remedy.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("invalid response to %s: %s: check that the store setting is the platform's base URL", e.Request, e.Detail)
}
