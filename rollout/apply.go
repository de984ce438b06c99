package rollout

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"lovagelane/inventory"
	"lovagelane/kernel"
	"lovagelane/tablestore"
)

const (
	maxTransactAttempts = 5
	maxPutAttempts      = 3
	baseBackoff         = 100 * time.Millisecond
)

// StaleError reports that the base version is not the accepted version, usually because another configuration was accepted
// in the meantime.
type StaleError struct {
	Base uint64
	// Current is the accepted configuration; its version is 0 when the store has none.
	Current Accepted
	// Since lists the latest configurations that were accepted after the base, oldest first. It omits those that
	// could not be read and has at most maxListedConflicts entries.
	Since []Accepted
}

// Error returns who changed the configuration and the remedy.
func (e *StaleError) Error() string {
	if e.Current.Version == 0 {
		return fmt.Sprintf("not accepted: the store holds no configuration, but the base is version %d: plan again", e.Base)
	}
	return fmt.Sprintf("not accepted: %s applied version %d (apply id %s), but the base is version %d: plan against version %d",
		e.Current.By, e.Current.Version, e.Current.ApplyID, e.Base, e.Current.Version)
}

// NotAcceptedError reports that the store did not accept the configuration and that nothing changed.
type NotAcceptedError struct{ Cause error }

// Error returns the message with the cause.
func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("not accepted, nothing changed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotAcceptedError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports that it is unknown whether the store accepted the configuration.
type OutcomeUnknownError struct {
	ApplyID string
	// Version is the version of the configuration if it was accepted.
	Version uint64
	Cause   error
}

// Error returns the apply id to look for in the store and the row to look in.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("unknown whether version %d was accepted (%v): when the store answers again, look for apply id %s in %s/%d",
		e.Version, e.Cause, e.ApplyID, tablestore.ConfigTable, e.Version)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Current returns the accepted configuration, and false if there is none.
func Current(ctx context.Context, store tablestore.Store) (Accepted, bool, error) {
	return readAccepted(ctx, store, tablestore.CurrentKey)
}

// AcceptedVersion returns a configuration from the history, and false if that version was never accepted.
func AcceptedVersion(ctx context.Context, store tablestore.Store, version uint64) (Accepted, bool, error) {
	return readAccepted(ctx, store, versionKey(version))
}

func versionKey(version uint64) string { return strconv.FormatUint(version, 10) }

func readAccepted(ctx context.Context, store tablestore.Store, key string) (Accepted, bool, error) {
	row, ok, err := store.Row(ctx, tablestore.ConfigTable, key)
	if err != nil || !ok {
		return Accepted{}, false, err
	}
	a, err := ParseRow(row)
	return a, err == nil, err
}

// Apply stores the files and makes them the accepted configuration if base is still the accepted version. It returns a
// *StaleError, *NotAcceptedError or *OutcomeUnknownError on failure.
func Apply(ctx context.Context, store tablestore.Store, files []inventory.File, operator string, base uint64) (Accepted, error) {
	text, err := Encode(files)
	if err != nil {
		return Accepted{}, &NotAcceptedError{Cause: err}
	}
	want := Accepted{Base: base, Hash: Hash(text), ApplyID: rand.Text(), By: operator}
	era, err := putText(ctx, store, want.Hash, text)
	if err != nil {
		return Accepted{}, &NotAcceptedError{Cause: err}
	}
	if isBeforeEra(base, era) {
		// The store may have lost the base, and given its row version to another configuration.
		current, _, err := Current(ctx, store)
		if err != nil {
			return Accepted{}, &NotAcceptedError{Cause: err}
		}
		if current.Version != base {
			return Accepted{}, staleError(ctx, store, base, current)
		}
	}
	want.Version = nextVersion(base, era)
	writes, err := acceptanceWrites(want, era)
	if err != nil {
		return Accepted{}, &NotAcceptedError{Cause: err}
	}
	return (&applier{store: store, want: want, writes: writes}).transact(ctx)
}

// putText retries a failed write with backoff. The write is idempotent because the name is the hash of the content.
func putText(ctx context.Context, store tablestore.Store, hash string, text []byte) (uint64, error) {
	era, err := store.PutObject(ctx, hash, text)
	for attempt := 1; err != nil && attempt < maxPutAttempts && sleep(ctx, baseBackoff<<attempt); attempt++ {
		era, err = store.PutObject(ctx, hash, text)
	}
	return era, err
}

// acceptanceWrites returns writes that succeed once, and only in the era that the version is of.
func acceptanceWrites(want Accepted, era uint64) ([]tablestore.Write, error) {
	value, err := json.Marshal(want)
	if err != nil {
		return nil, err
	}
	return []tablestore.Write{
		{Key: tablestore.CurrentKey, Value: string(value), IfVersion: kernel.Some(rowVersion(want.Base)), IfEra: kernel.Some(era)},
		{Key: versionKey(want.Version), Value: string(value), IfVersion: kernel.Some(uint64(0))},
	}, nil
}

type applier struct {
	store  tablestore.Store
	want   Accepted
	writes []tablestore.Write
	// outcomeUnknown means that a transaction got no answer and may have taken effect.
	outcomeUnknown bool
}

// transact retries the transaction until its outcome is known. Retries are safe because the two version conditions allow
// only one success. They are necessary because a delayed write can take effect after a re-read that did not find it.
func (a *applier) transact(ctx context.Context) (Accepted, error) {
	var err error
	for attempt := range maxTransactAttempts {
		if attempt > 0 && !sleep(ctx, baseBackoff<<attempt) {
			break
		}
		_, err = a.store.Transact(ctx, tablestore.ConfigTable, a.writes)
		var conflict *tablestore.ConflictError
		var unknown *tablestore.UnknownError
		switch {
		case err == nil:
			return a.want, nil
		case errors.As(err, &unknown):
			a.outcomeUnknown = true
		case !errors.As(err, &conflict) && !a.outcomeUnknown:
			return Accepted{}, &NotAcceptedError{Cause: err}
		}
		accepted, resolved, resolveErr := a.resolveOutcome(ctx, conflict)
		if resolved {
			return accepted, resolveErr
		}
		err = errors.Join(err, resolveErr)
	}
	if !a.outcomeUnknown {
		return Accepted{}, &NotAcceptedError{Cause: err}
	}
	return Accepted{}, &OutcomeUnknownError{ApplyID: a.want.ApplyID, Version: a.want.Version, Cause: err}
}

// resolveOutcome looks for the apply id in the current row and in the history row, and reports whether the outcome is known.
func (a *applier) resolveOutcome(ctx context.Context, conflict *tablestore.ConflictError) (Accepted, bool, error) {
	current, _, err := Current(ctx, a.store)
	if err != nil {
		return Accepted{}, false, err
	}
	if current.ApplyID == a.want.ApplyID {
		return a.want, true, nil
	}
	written, found, err := AcceptedVersion(ctx, a.store, a.want.Version)
	if err != nil {
		return Accepted{}, false, err
	}
	if found && written.ApplyID == a.want.ApplyID {
		return a.want, true, nil
	}
	if conflict == nil && !found && current.Version == a.want.Base {
		return Accepted{}, false, errors.New("the apply id is not in the store yet")
	}
	if conflict != nil && conflict.Key == tablestore.CurrentKey && conflict.Version == rowVersion(a.want.Base) {
		return Accepted{}, true, &NotAcceptedError{Cause: errRestored}
	}
	return Accepted{}, true, staleError(ctx, a.store, a.want.Base, current)
}

// errRestored reports a conflict at the version that the write required, so that the era is another.
var errRestored = errors.New("the store came back from an older copy meanwhile: plan again")

func staleError(ctx context.Context, store tablestore.Store, base uint64, current Accepted) *StaleError {
	stale := &StaleError{Base: base, Current: current}
	version := current.Version
	for range maxListedConflicts {
		if version <= base {
			break
		}
		accepted, ok, err := AcceptedVersion(ctx, store, version)
		version--
		if err == nil && ok {
			stale.Since = append(stale.Since, accepted)
			version = accepted.Previous()
		}
	}
	slices.Reverse(stale.Since)
	return stale
}

// maxListedConflicts bounds StaleError.Since.
const maxListedConflicts = 10

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
