package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store: rows, transactions and the change feed.
type store struct {
	address string

	mu      sync.Mutex
	started time.Time
	ver     uint64
	rows    map[[3]string]row
	history []row
	changed chan struct{}
}

func startStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: ln.Addr().String(), started: time.Now(), rows: map[[3]string]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.applyLocked(row{Table: table, Key: key, Value: value, Ver: s.ver})
	s.wakeLocked()
}

func (s *store) applyLocked(r row) {
	k := [3]string{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, status int, v map[string]any) {
	v["now"] = strconv.FormatInt(time.Since(s.started).Milliseconds(), 10) + "ms"
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expect, Writes, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(3 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expect {
		if s.rows[[3]string{e.Table, e.Part, e.Key}].Ver != e.Ver {
			s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{}, "ver": s.ver})
			return
		}
	}
	for _, e := range append(append([]row{}, t.Writes...), t.Remove...) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.ver++
	for _, e := range t.Writes {
		e.Ver = s.ver
		s.applyLocked(e)
	}
	for _, e := range t.Remove {
		e.Ver, e.Deleted, e.Value = s.ver, true, nil
		s.applyLocked(e)
	}
	s.wakeLocked()
	s.reply(w, http.StatusOK, map[string]any{"ver": s.ver})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for k, v := range s.rows {
		if k[0] == q.Get("table") && k[1] == q.Get("part") && v.Key >= q.Get("from") &&
			(q.Get("target") == "" || v.Key < q.Get("target")) {
			rows = append(rows, v)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	truncated := len(rows) > limit
	rows = rows[:min(limit, len(rows))]
	s.reply(w, http.StatusOK, map[string]any{"rows": rows, "truncated": truncated, "ver": s.ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []row{}
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Ver > after {
				rows = append(rows, h)
			}
		}
		changed, ver := s.changed, s.ver
		s.mu.Unlock()
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			return
		case <-r.Context().Done():
			return
		}
	}
}
