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
	errDown = &tablestore.UnavailableError{Cause: errors.New("503")}
	errLost = &tablestore.UnknownError{Cause: errors.New("timeout")}
	files   = []inventory.File{{Name: "inventory.ini", Text: "[region rn]"}}
)

// fault is what happens to one transaction or read of the fake store.
type fault int

const (
	none fault = iota
	down
	// lost takes effect without an answer, dropped has no effect and no answer.
	lost
	dropped
	// delayed takes effect when the next transaction arrives.
	delayed
)

// fakeStore holds the config table in memory and meets its calls with planned faults.
type fakeStore struct {
	rows       map[string]tablestore.Row
	objects    map[string][]byte
	transacts  []fault
	reads      []fault
	puts       []fault
	waiting    []tablestore.Write
	beforeRead func()
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: map[string]tablestore.Row{}, objects: map[string][]byte{}}
}

func next(plan *[]fault) fault {
	if len(*plan) == 0 {
		return none
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
	if next(&s.reads) == down {
		return tablestore.Row{}, false, errDown
	}
	row, ok := s.rows[key]
	return row, ok, nil
}

func (s *fakeStore) Rows(context.Context, string, uint64) (uint64, []tablestore.Row, error) {
	return 0, nil, errors.ErrUnsupported
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
	if s.waiting != nil {
		_ = s.commit(s.waiting)
		s.waiting = nil
	}
	switch next(&s.transacts) {
	case down:
		return tablestore.Commit{}, errDown
	case lost:
		_ = s.commit(writes)
		return tablestore.Commit{}, errLost
	case dropped:
		return tablestore.Commit{}, errLost
	case delayed:
		s.waiting = writes
		return tablestore.Commit{}, errLost
	}
	return tablestore.Commit{}, s.commit(writes)
}

func (s *fakeStore) PutObject(_ context.Context, name string, data []byte) error {
	if next(&s.puts) == down {
		return errDown
	}
	s.objects[name] = data
	return nil
}

func (s *fakeStore) Object(_ context.Context, name string) ([]byte, bool, error) {
	data, ok := s.objects[name]
	return data, ok, nil
}

func applied(t *testing.T, s *fakeStore, who string, base uint64) {
	t.Helper()
	_, err := rollout.Apply(t.Context(), s, files, who, base)
	require.NoError(t, err)
}

// Guards against an operator who is told that a configuration was accepted when it was not, or the reverse.
func TestApply(t *testing.T) {
	allDown := []fault{down, down, down, down, down, down, down, down, down, down, down}
	cases := []struct {
		name    string
		prepare func(t *testing.T, s *fakeStore)
		base    uint64
		want    string
		// current is the version that the store holds afterwards.
		current uint64
	}{
		{"first", func(*testing.T, *fakeStore) {}, 0, "accepted", 1},
		{"second", func(t *testing.T, s *fakeStore) { applied(t, s, "ana", 0) }, 1, "accepted", 2},
		{"another operator was first", func(t *testing.T, s *fakeStore) { applied(t, s, "ana", 0) }, 0, "stale", 1},
		{"the base is ahead of the store", func(*testing.T, *fakeStore) {}, 3, "stale", 0},
		{"objects down", func(_ *testing.T, s *fakeStore) { s.puts = allDown }, 0, "not accepted", 0},
		{"tables down", func(_ *testing.T, s *fakeStore) { s.transacts = allDown }, 0, "not accepted", 0},
		{"answer lost", func(_ *testing.T, s *fakeStore) { s.transacts = []fault{lost} }, 0, "accepted", 1},
		{"write dropped", func(_ *testing.T, s *fakeStore) { s.transacts = []fault{dropped} }, 0, "accepted", 1},
		{"write delayed past the re-read", func(_ *testing.T, s *fakeStore) { s.transacts = []fault{delayed} }, 0, "accepted", 1},
		{"answer lost, then a second operator", func(t *testing.T, s *fakeStore) {
			s.transacts = []fault{lost}
			s.beforeRead = func() { applied(t, s, "ana", 1) }
		}, 0, "accepted", 2},
		{"write dropped, then a second operator", func(t *testing.T, s *fakeStore) {
			s.transacts = []fault{dropped}
			s.beforeRead = func() { applied(t, s, "ana", 0) }
		}, 0, "stale", 1},
		{"answer lost, then an outage", func(_ *testing.T, s *fakeStore) {
			s.transacts, s.reads = append([]fault{lost}, allDown...), allDown
		}, 0, "unknown", 1},
		{"conflict, then an outage", func(t *testing.T, s *fakeStore) {
			applied(t, s, "ana", 0)
			s.reads = allDown
		}, 0, "not accepted", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newFakeStore()
			c.prepare(t, s)
			accepted, err := rollout.Apply(t.Context(), s, files, "davi", c.base)
			require.Equal(t, c.want, verdict(err), "%v", err)
			require.Equal(t, c.current, s.rows[tablestore.CurrentKey].Version)
			if c.want != "accepted" {
				return
			}
			require.Equal(t, c.base+1, accepted.Version)
			history, ok, err := rollout.Version(t.Context(), s, accepted.Version)
			require.NoError(t, err)
			require.True(t, ok)
			require.Equal(t, accepted, history)
			got, err := rollout.Decode(s.objects[history.Hash])
			require.NoError(t, err)
			require.Equal(t, files, got)
		})
	}
}

func verdict(err error) string {
	var stale *rollout.StaleError
	var not *rollout.NotAcceptedError
	var unsettled *rollout.UnsettledError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &stale):
		return "stale"
	case errors.As(err, &not):
		return "not accepted"
	case errors.As(err, &unsettled):
		return "unknown"
	}
	return err.Error()
}

// Guards against a second operator who is not told whose change they would overwrite.
func TestApplyNamesTheOtherOperator(t *testing.T) {
	s := newFakeStore()
	applied(t, s, "ana", 0)
	applied(t, s, "rui", 1)
	_, err := rollout.Apply(t.Context(), s, files, "davi", 0)
	require.ErrorContains(t, err, "rui applied version 2")
	var stale *rollout.StaleError
	require.ErrorAs(t, err, &stale)
	require.Len(t, stale.Since, 2)
	require.Equal(t, "ana", stale.Since[0].By)
}

// Guards against a text that no frame can carry.
func TestTextIsBounded(t *testing.T) {
	big := []inventory.File{{Name: "inventory.ini", Text: string(make([]byte, rollout.MaxTextBytes))}}
	_, err := rollout.Apply(t.Context(), newFakeStore(), big, "davi", 0)
	require.ErrorIs(t, err, rollout.ErrTextTooLarge)
	_, err = rollout.Decode(make([]byte, rollout.MaxTextBytes+1))
	require.ErrorIs(t, err, rollout.ErrTextTooLarge)
}

// Guards against a current row that was not written by apply and would give a version that the store never counted.
func TestReadRowChecksTheVersion(t *testing.T) {
	s := newFakeStore()
	applied(t, s, "ana", 0)
	row := s.rows[tablestore.CurrentKey]
	_, err := rollout.ReadRow(row)
	require.NoError(t, err)
	row.Version = 7
	_, err = rollout.ReadRow(row)
	require.ErrorContains(t, err, "names version 1 but is at version 7")
}
