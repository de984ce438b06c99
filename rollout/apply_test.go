package rollout_test

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagelane/inventory"
	"lovagelane/rollout"
	"lovagelane/tablestore"
)

var (
	errUnavailable = &tablestore.UnavailableError{Cause: errors.New("503")}
	errUnknown     = &tablestore.UnknownError{Cause: errors.New("timeout")}
	files          = []inventory.File{{Name: "inventory.ini", Text: "[region rn]"}}
)

// fault is the fault that the fake store injects into one operation.
type fault int

const (
	noFault fault = iota
	down
	// answerLost means that the write takes effect without an answer, requestDropped that it has no effect and no answer.
	answerLost
	requestDropped
	// writeDelayed means that the write takes effect when the next transaction arrives.
	writeDelayed
)

// fakeStore keeps the config table in memory and injects the planned faults.
type fakeStore struct {
	rows          map[string]tablestore.Row
	objects       map[string][]byte
	txFaults      []fault
	readFaults    []fault
	putFaults     []fault
	delayedWrites []tablestore.Write
	beforeRead    func()
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]tablestore.Row{}, objects: map[string][]byte{}}
}

func popFault(plan *[]fault) fault {
	if len(*plan) == 0 {
		return noFault
	}
	f := (*plan)[0]
	*plan = (*plan)[1:]
	return f
}

func (s *fakeStore) Row(_ context.Context, _, key string) (tablestore.Row, bool, error) {
	if s.beforeRead != nil {
		do := s.beforeRead
		s.beforeRead = nil
		do()
	}
	if popFault(&s.readFaults) == down {
		return tablestore.Row{}, false, errUnavailable
	}
	row, ok := s.rows[key]
	return row, ok, nil
}

func (s *fakeStore) Rows(context.Context, string, tablestore.Mark) (tablestore.Mark, []tablestore.Row, error) {
	return tablestore.Mark{}, nil, errors.ErrUnsupported
}

func (s *fakeStore) commit(writes []tablestore.Write) error {
	for _, w := range writes {
		if want, ok := w.IfVersion.Get(); ok && s.rows[w.Key].Version != want {
			return &tablestore.ConflictError{Table: tablestore.ConfigTable, Key: w.Key, Version: s.rows[w.Key].Version}
		}
	}
	for _, w := range writes {
		s.rows[w.Key] = tablestore.Row{Key: w.Key, Value: w.Value, Version: s.rows[w.Key].Version + 1}
	}
	return nil
}

func (s *fakeStore) Transact(_ context.Context, _ string, writes []tablestore.Write) (tablestore.Commit, error) {
	if s.delayedWrites != nil {
		_ = s.commit(s.delayedWrites)
		s.delayedWrites = nil
	}
	switch popFault(&s.txFaults) {
	case down:
		return tablestore.Commit{}, errUnavailable
	case answerLost:
		_ = s.commit(writes)
		return tablestore.Commit{}, errUnknown
	case requestDropped:
		return tablestore.Commit{}, errUnknown
	case writeDelayed:
		s.delayedWrites = writes
		return tablestore.Commit{}, errUnknown
	}
	return tablestore.Commit{}, s.commit(writes)
}

func (s *fakeStore) PutObject(_ context.Context, name string, data []byte) (uint64, error) {
	if popFault(&s.putFaults) == down {
		return 0, errUnavailable
	}
	s.objects[name] = data
	return 0, nil
}

func (s *fakeStore) Object(_ context.Context, name string) ([]byte, bool, error) {
	data, ok := s.objects[name]
	return data, ok, nil
}

func mustApply(t *testing.T, s *fakeStore, operator string, base uint64) {
	t.Helper()
	_, err := rollout.Apply(t.Context(), s, files, operator, base)
	require.NoError(t, err)
}

// Guards against an apply that reports a configuration as accepted when it was not, or the reverse, when the store fails,
// loses answers or delays writes, or another operator applies at the same time.
func TestApplyReportsTheOutcome(t *testing.T) {
	allDown := []fault{down, down, down, down, down, down, down, down, down, down, down}
	cases := []struct {
		name    string
		prepare func(t *testing.T, s *fakeStore)
		base    uint64
		want    string
		// current is the accepted version in the store afterwards.
		current uint64
	}{
		{"first", func(*testing.T, *fakeStore) {}, 0, "accepted", 1},
		{"second", func(t *testing.T, s *fakeStore) { mustApply(t, s, "ana", 0) }, 1, "accepted", 2},
		{"another operator was first", func(t *testing.T, s *fakeStore) { mustApply(t, s, "ana", 0) }, 0, "stale", 1},
		{"the base is ahead of the store", func(*testing.T, *fakeStore) {}, 3, "stale", 0},
		{"objects down", func(_ *testing.T, s *fakeStore) { s.putFaults = allDown }, 0, "not accepted", 0},
		{"tables down", func(_ *testing.T, s *fakeStore) { s.txFaults = allDown }, 0, "not accepted", 0},
		{"answer lost", func(_ *testing.T, s *fakeStore) { s.txFaults = []fault{answerLost} }, 0, "accepted", 1},
		{"write dropped", func(_ *testing.T, s *fakeStore) { s.txFaults = []fault{requestDropped} }, 0, "accepted", 1},
		{"write delayed past the re-read", func(_ *testing.T, s *fakeStore) { s.txFaults = []fault{writeDelayed} }, 0, "accepted", 1},
		{"answer lost, then a second operator", func(t *testing.T, s *fakeStore) {
			s.txFaults = []fault{answerLost}
			s.beforeRead = func() { mustApply(t, s, "ana", 1) }
		}, 0, "accepted", 2},
		{"write dropped, then a second operator", func(t *testing.T, s *fakeStore) {
			s.txFaults = []fault{requestDropped}
			s.beforeRead = func() { mustApply(t, s, "ana", 0) }
		}, 0, "stale", 1},
		{"answer lost, then an outage", func(_ *testing.T, s *fakeStore) {
			s.txFaults, s.readFaults = append([]fault{answerLost}, allDown...), allDown
		}, 0, "unknown", 1},
		{"conflict, then an outage", func(t *testing.T, s *fakeStore) {
			mustApply(t, s, "ana", 0)
			s.readFaults = allDown
		}, 0, "not accepted", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newFakeStore()
			c.prepare(t, s)
			accepted, err := rollout.Apply(t.Context(), s, files, "davi", c.base)
			require.Equal(t, c.want, applyResult(err), "%v", err)
			require.Equal(t, c.current, s.rows[tablestore.CurrentKey].Version)
			if c.want != "accepted" {
				return
			}
			require.Equal(t, c.base+1, accepted.Version)
			history, ok, err := rollout.AcceptedVersion(t.Context(), s, accepted.Version)
			require.NoError(t, err)
			require.True(t, ok)
			require.Equal(t, accepted, history)
			got, err := rollout.Decode(s.objects[history.Hash])
			require.NoError(t, err)
			require.Equal(t, files, got)
		})
	}
}

func applyResult(err error) string {
	var stale *rollout.StaleError
	var not *rollout.NotAcceptedError
	var unknown *rollout.OutcomeUnknownError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &stale):
		return "stale"
	case errors.As(err, &not):
		return "not accepted"
	case errors.As(err, &unknown):
		return "unknown"
	}
	return err.Error()
}

// Guards against a stale apply whose error does not name the operator and the changes that it would overwrite.
func TestApplyNamesTheOtherOperator(t *testing.T) {
	s := newFakeStore()
	mustApply(t, s, "ana", 0)
	mustApply(t, s, "rui", 1)
	_, err := rollout.Apply(t.Context(), s, files, "davi", 0)
	require.ErrorContains(t, err, "rui applied version 2")
	var stale *rollout.StaleError
	require.ErrorAs(t, err, &stale)
	require.Len(t, stale.Since, 2)
	require.Equal(t, "ana", stale.Since[0].By)
}

// Guards against a text that is too large for a control frame.
func TestTextIsBounded(t *testing.T) {
	big := []inventory.File{{Name: "inventory.ini", Text: string(make([]byte, rollout.MaxTextBytes))}}
	_, err := rollout.Apply(t.Context(), newFakeStore(), big, "davi", 0)
	require.ErrorIs(t, err, rollout.ErrTextTooLarge)
	_, err = rollout.Decode(make([]byte, rollout.MaxTextBytes+1))
	require.ErrorIs(t, err, rollout.ErrTextTooLarge)
}

// Guards against accepting a current row that was not written by apply and whose version differs from the row version.
func TestParseRowChecksTheVersion(t *testing.T) {
	s := newFakeStore()
	mustApply(t, s, "ana", 0)
	row := s.rows[tablestore.CurrentKey]
	_, err := rollout.ParseRow(row)
	require.NoError(t, err)
	row.Version = 7
	_, err = rollout.ParseRow(row)
	require.ErrorContains(t, err, "names version 1 but is at version 7")
}
