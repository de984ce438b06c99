package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time in which the store answers.
const storeDelay = 4 * time.Millisecond

// row is a row of the platform's store. Value is base64.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

// store is a stand-in for the platform's store: rows-tx, rows-get and rows-feed. It keeps all history.
type store struct {
	began time.Time

	mu      sync.Mutex
	rows    map[rowID]row
	ver     uint64
	changed chan struct{}
}

func startStore(address string) (*store, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{began: time.Now(), rows: map[rowID]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

// put writes a row of the operator.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[rowID{table, "", key}] = row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(value), Ver: s.ver}
	s.wakeLocked()
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, ver uint64, truncated bool) {
	if rows == nil {
		rows = []row{}
	}
	time.Sleep(storeDelay)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "truncated": truncated, "ver": ver,
		"now": fmt.Sprintf("%dms", time.Since(s.began).Milliseconds())})
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expect, Writes, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var current []row
	failed := false
	for _, e := range t.Expect {
		have := s.rows[rowID{e.Table, e.Part, e.Key}]
		current = append(current, have)
		version := have.Ver
		if have.Deleted {
			version = 0
		}
		failed = failed || version != e.Ver
	}
	if failed {
		ver := s.ver
		s.mu.Unlock()
		s.answer(w, http.StatusPreconditionFailed, current, ver, false)
		return
	}
	s.ver++
	for _, e := range t.Writes {
		e.Ver = s.ver
		s.rows[rowID{e.Table, e.Part, e.Key}] = e
	}
	for _, e := range t.Remove {
		s.rows[rowID{e.Table, e.Part, e.Key}] = row{Table: e.Table, Part: e.Part, Key: e.Key, Ver: s.ver, Deleted: true}
	}
	ver := s.ver
	s.wakeLocked()
	s.mu.Unlock()
	s.answer(w, http.StatusOK, nil, ver, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	var rows []row
	for id, e := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && !e.Deleted && id.key >= q.Get("from") &&
			(q.Get("target") == "" || id.key < q.Get("target")) {
			rows = append(rows, e)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(rows) > limit
	s.answer(w, http.StatusOK, rows[:min(limit, len(rows))], ver, truncated)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for id, e := range s.rows {
			if id.table == q.Get("table") && e.Ver > after {
				rows = append(rows, e)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		slices.SortFunc(rows, func(a, b row) int { return int(int64(a.Ver) - int64(b.Ver)) })
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows, ver, false)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			s.answer(w, http.StatusOK, nil, ver, false)
			return
		}
	}
}
