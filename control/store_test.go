package control

import (
	"context"
	"errors"
	"sync"

	"lovagelane/tablestore"
)

var errDown = &tablestore.UnavailableError{Cause: errors.New("switched off")}

// hangingStore is a memoryStore whose table requests block until their context ends.
type hangingStore struct{ *memoryStore }

func (hangingStore) Row(ctx context.Context, _, _ string) (tablestore.Row, bool, error) {
	<-ctx.Done()
	return tablestore.Row{}, false, errDown
}

func (hangingStore) Rows(ctx context.Context, _ string, _ tablestore.Mark) (tablestore.Mark, []tablestore.Row, error) {
	<-ctx.Done()
	return tablestore.Mark{}, nil, errDown
}

func (hangingStore) Transact(ctx context.Context, _ string, _ []tablestore.Write) (tablestore.Commit, error) {
	<-ctx.Done()
	return tablestore.Commit{}, errDown
}

// memoryStore is an in-memory store that can simulate an outage.
type memoryStore struct {
	mu       sync.Mutex
	down     bool
	revision map[string]uint64
	rows     map[string]map[string]tablestore.Row
	objects  map[string][]byte
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		revision: map[string]uint64{}, rows: map[string]map[string]tablestore.Row{}, objects: map[string][]byte{},
	}
}

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *memoryStore) lock() (func(), error) {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return nil, errDown
	}
	return s.mu.Unlock, nil
}

func (s *memoryStore) Row(_ context.Context, table, key string) (tablestore.Row, bool, error) {
	unlock, err := s.lock()
	if err != nil {
		return tablestore.Row{}, false, err
	}
	defer unlock()
	row, ok := s.rows[table][key]
	return row, ok && !row.Deleted, nil
}

func (s *memoryStore) Rows(_ context.Context, table string, since tablestore.Mark) (tablestore.Mark, []tablestore.Row, error) {
	unlock, err := s.lock()
	if err != nil {
		return tablestore.Mark{}, nil, err
	}
	defer unlock()
	var rows []tablestore.Row
	for _, row := range s.rows[table] {
		if row.Revision > since.Revision {
			rows = append(rows, row)
		}
	}
	return tablestore.Mark{Revision: s.revision[table]}, rows, nil
}

func (s *memoryStore) Transact(_ context.Context, table string, writes []tablestore.Write) (tablestore.Commit, error) {
	unlock, err := s.lock()
	if err != nil {
		return tablestore.Commit{}, err
	}
	defer unlock()
	for _, w := range writes {
		if version, ok := w.IfVersion.Get(); ok && s.rows[table][w.Key].Version != version {
			return tablestore.Commit{}, &tablestore.ConflictError{Table: table, Key: w.Key, Version: s.rows[table][w.Key].Version}
		}
	}
	if s.rows[table] == nil {
		s.rows[table] = map[string]tablestore.Row{}
	}
	commit := tablestore.Commit{Versions: map[string]uint64{}}
	for _, w := range writes {
		s.revision[table]++
		row := tablestore.Row{Key: w.Key, Value: w.Value, Version: s.rows[table][w.Key].Version + 1, Deleted: w.Delete}
		row.Revision = s.revision[table]
		s.rows[table][w.Key] = row
		commit.Versions[w.Key] = row.Version
	}
	commit.Revision = s.revision[table]
	return commit, nil
}

func (s *memoryStore) PutObject(_ context.Context, name string, data []byte) (uint64, error) {
	unlock, err := s.lock()
	if err != nil {
		return 0, err
	}
	defer unlock()
	s.objects[name] = data
	return 0, nil
}

func (s *memoryStore) Object(_ context.Context, name string) ([]byte, bool, error) {
	unlock, err := s.lock()
	if err != nil {
		return nil, false, err
	}
	defer unlock()
	data, ok := s.objects[name]
	return data, ok, nil
}
