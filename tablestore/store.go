package tablestore

import (
	"context"
	"fmt"
	"time"

	"lovagelane/kernel"
)

const (
	// MembersTable holds one row for each running node, with the member id as its key.
	MembersTable = "members"
	// ConfigTable holds the row CurrentKey and one row for each accepted version.
	ConfigTable = "config"
	// CurrentKey is the key of the row that names the accepted configuration.
	CurrentKey = "current"
)

// Row is a row of a table.
type Row struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	// Version starts at 1 and grows by 1 with each write to the row.
	Version uint64 `json:"version"`
	// Revision is that of the table when the row was written.
	Revision  uint64 `json:"revision"`
	AgeMillis int64  `json:"age-ms"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// Age returns the time since the row was written, on the store's own clock.
func (r Row) Age() time.Duration { return time.Duration(r.AgeMillis) * time.Millisecond }

// Write is one write of a transaction.
type Write struct {
	Key    string
	Value  string
	Delete bool
	// IfVersion is the version that the row must have, where 0 means that it must not exist.
	IfVersion kernel.Option[uint64]
}

// Commit is the answer to a transaction that took effect.
type Commit struct {
	Revision uint64            `json:"revision"`
	Versions map[string]uint64 `json:"versions"`
}

// Store is the platform's table service and object store.
type Store interface {
	// Row returns a row and whether it exists.
	Row(ctx context.Context, table, key string) (Row, bool, error)
	// Rows returns the revision of the table and the rows that changed after since, deleted ones included.
	Rows(ctx context.Context, table string, since uint64) (uint64, []Row, error)
	// Transact carries out all writes or none.
	Transact(ctx context.Context, table string, writes []Write) (Commit, error)
	// PutObject stores an object; storing the same content again has no effect.
	PutObject(ctx context.Context, name string, data []byte) error
	// Object returns an object and whether it exists.
	Object(ctx context.Context, name string) ([]byte, bool, error)
}

// ConflictError says that a condition of a transaction failed and nothing was written.
type ConflictError struct {
	Table string
	Key   string
	// Version is the row's current version, or 0 when it does not exist.
	Version uint64
}

// Error names the row and its current version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %s/%s is at version %d now: read it again and repeat the change", e.Table, e.Key, e.Version)
}

// UnavailableError says that the store did not answer a read, or did not carry out a write.
type UnavailableError struct{ Cause error }

// Error names the cause and the remedy.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the store is unavailable (%v), nothing was changed: repeat when it answers again", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownError says that the answer to a write was lost, so that the write may or may not have taken effect.
type UnknownError struct{ Cause error }

// Error names the cause and the remedy.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("the store's answer was lost (%v), the write may have taken effect: read the row to find out", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// ProtocolError says that the store's answer does not follow the protocol.
type ProtocolError struct {
	Request string
	What    string
}

// Error names the request and what is wrong with its answer.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("unexpected answer to %s: %s: check that the store setting is the platform's base URL", e.Request, e.What)
}
