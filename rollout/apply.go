package rollout

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"lovagelane/inventory"
	"lovagelane/kernel"
	"lovagelane/tablestore"
)

const (
	applyAttempts = 5
	putAttempts   = 3
	applyPause    = 100 * time.Millisecond
)

// StaleError says that another configuration was accepted since the base version was read.
type StaleError struct {
	Base uint64
	// Current is the configuration that is accepted now; its version is 0 when the store holds none.
	Current Accepted
	// Since lists the configurations that were accepted after the base, oldest first, as far as they could be read.
	Since []Accepted
}

// Error names who changed the configuration and the remedy.
func (e *StaleError) Error() string {
	if e.Current.Version == 0 {
		return fmt.Sprintf("not accepted: the store holds no configuration, but the base is version %d: plan again", e.Base)
	}
	return fmt.Sprintf("not accepted: %s applied version %d (apply id %s), but the base is version %d: plan against version %d",
		e.Current.By, e.Current.Version, e.Current.ApplyID, e.Base, e.Current.Version)
}

// NotAcceptedError says that the store did not take the configuration and nothing changed.
type NotAcceptedError struct{ Cause error }

// Error names the cause.
func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("not accepted, nothing changed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotAcceptedError) Unwrap() error { return e.Cause }

// UnsettledError says that it could not be found out whether the store took the configuration.
type UnsettledError struct {
	ApplyID string
	// Version is the one that the configuration has if it was accepted.
	Version uint64
	Cause   error
}

// Error names the apply id to look for.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("unknown whether version %d was accepted (%v): when the store answers again, look for apply id %s in %s/%d",
		e.Version, e.Cause, e.ApplyID, tablestore.ConfigTable, e.Version)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }

// Current returns the accepted configuration and whether there is one.
func Current(ctx context.Context, store tablestore.Store) (Accepted, bool, error) {
	return readAccepted(ctx, store, tablestore.CurrentKey)
}

// Version returns a configuration of the history and whether that version was accepted.
func Version(ctx context.Context, store tablestore.Store, version uint64) (Accepted, bool, error) {
	return readAccepted(ctx, store, versionKey(version))
}

func versionKey(version uint64) string { return strconv.FormatUint(version, 10) }

func readAccepted(ctx context.Context, store tablestore.Store, key string) (Accepted, bool, error) {
	row, ok, err := store.Row(ctx, tablestore.ConfigTable, key)
	if err != nil || !ok {
		return Accepted{}, false, err
	}
	a, err := ReadRow(row)
	return a, err == nil, err
}

// Apply stores the files and makes them the accepted configuration if base is still the accepted version. It fails with
// *StaleError, *NotAcceptedError or *UnsettledError.
func Apply(ctx context.Context, store tablestore.Store, files []inventory.File, who string, base uint64) (Accepted, error) {
	text, err := Encode(files)
	if err != nil {
		return Accepted{}, &NotAcceptedError{Cause: err}
	}
	want := Accepted{Version: base + 1, Hash: Hash(text), ApplyID: rand.Text(), By: who}
	if err := putText(ctx, store, want.Hash, text); err != nil {
		return Accepted{}, &NotAcceptedError{Cause: err}
	}
	writes, err := acceptance(want)
	if err != nil {
		return Accepted{}, &NotAcceptedError{Cause: err}
	}
	return (&applier{store: store, want: want, writes: writes}).run(ctx)
}

// putText repeats a failed write, which is harmless because the name is the hash of the content.
func putText(ctx context.Context, store tablestore.Store, hash string, text []byte) error {
	err := store.PutObject(ctx, hash, text)
	for attempt := 1; err != nil && attempt < putAttempts && pause(ctx, applyPause<<attempt); attempt++ {
		err = store.PutObject(ctx, hash, text)
	}
	return err
}

func acceptance(want Accepted) ([]tablestore.Write, error) {
	value, err := json.Marshal(want)
	if err != nil {
		return nil, err
	}
	return []tablestore.Write{
		{Key: tablestore.CurrentKey, Value: string(value), IfVersion: kernel.Some(want.Version - 1)},
		{Key: versionKey(want.Version), Value: string(value), IfVersion: kernel.Some(uint64(0))},
	}, nil
}

type applier struct {
	store  tablestore.Store
	want   Accepted
	writes []tablestore.Write
	// lost means that a transaction may have taken effect without an answer.
	lost bool
}

// run repeats the transaction until its result is known. Repeating is safe because both conditions allow one success,
// and it is needed because a delayed write can still take effect after a re-read that did not find it.
func (a *applier) run(ctx context.Context) (Accepted, error) {
	var err error
	for attempt := range applyAttempts {
		if attempt > 0 && !pause(ctx, applyPause<<attempt) {
			break
		}
		_, err = a.store.Transact(ctx, tablestore.ConfigTable, a.writes)
		var conflict *tablestore.ConflictError
		var unknown *tablestore.UnknownError
		switch {
		case err == nil:
			return a.want, nil
		case errors.As(err, &unknown):
			a.lost = true
		case !errors.As(err, &conflict) && !a.lost:
			return Accepted{}, &NotAcceptedError{Cause: err}
		}
		accepted, settled, settleErr := a.settle(ctx, conflict)
		if settled {
			return accepted, settleErr
		}
		err = errors.Join(err, settleErr)
	}
	if !a.lost {
		return Accepted{}, &NotAcceptedError{Cause: err}
	}
	return Accepted{}, &UnsettledError{ApplyID: a.want.ApplyID, Version: a.want.Version, Cause: err}
}

// settle looks for the apply id in the current row and in the history row.
func (a *applier) settle(ctx context.Context, conflict *tablestore.ConflictError) (Accepted, bool, error) {
	current, _, err := Current(ctx, a.store)
	if err != nil {
		return Accepted{}, false, err
	}
	if current.ApplyID == a.want.ApplyID {
		return a.want, true, nil
	}
	own, found, err := Version(ctx, a.store, a.want.Version)
	if err != nil {
		return Accepted{}, false, err
	}
	if found && own.ApplyID == a.want.ApplyID {
		return a.want, true, nil
	}
	if conflict == nil && !found && current.Version == a.want.Version-1 {
		return Accepted{}, false, errors.New("the apply id is not in the store yet")
	}
	stale := &StaleError{Base: a.want.Version - 1, Current: current}
	for v := a.want.Version; v <= current.Version && len(stale.Since) < maxHistory; v++ {
		if between, ok, err := Version(ctx, a.store, v); err == nil && ok {
			stale.Since = append(stale.Since, between)
		}
	}
	return Accepted{}, true, stale
}

const maxHistory = 10

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
