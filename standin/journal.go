package standin

import (
	"encoding/json"
	"maps"
	"os"
	"sync"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
)

// Identity identifies a request and, if the request has one, its order. Both ids are fields of the JSON body. The request
// id may instead be a query parameter or a header, since a backend server cannot rely on the product to pass ids on.
type Identity struct {
	Request string `json:"request"`
	Order   string `json:"order,omitempty"`
}

// StartCounts counts the starts of calls. A call for an order must start at most once.
type StartCounts struct {
	// Requests counts starts by path and request id; a key is "/orders r17".
	Requests map[string]int `json:"requests"`
	// Orders counts starts by path and order id.
	Orders map[string]int `json:"orders"`
	// Paths counts starts by method and path.
	Paths map[string]int `json:"paths"`
}

// JournalEntry is a line of the journal: the start of one call.
type JournalEntry struct {
	Identity
	Method string `json:"method"`
	Path   string `json:"path"`
	// Send is the value of a header by which tests distinguish the attempts of one request.
	Send string `json:"send,omitempty"`
}

type startLog struct {
	mu     sync.Mutex
	counts StartCounts
	// journal is a file to which each start is appended before the call runs, so that the journal is complete even if the
	// backend server is killed; empty means none.
	journal string
}

func (l *startLog) record(id Identity, method, path, send string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.appendToJournal(JournalEntry{id, method, path, send}); err != nil {
		return err
	}
	if l.counts.Paths == nil {
		l.counts = StartCounts{Requests: map[string]int{}, Orders: map[string]int{}, Paths: map[string]int{}}
	}
	l.counts.Paths[method+" "+path]++
	if id.Request != "" {
		l.counts.Requests[path+" "+id.Request]++
	}
	if id.Order != "" {
		l.counts.Orders[path+" "+id.Order]++
	}
	return nil
}

func (l *startLog) appendToJournal(entry JournalEntry) error {
	if l.journal == "" {
		return nil
	}
	b, err := json.Marshal(entry)
	if err != nil {
		return Error.Wrap(err)
	}
	// Several backend servers may append to the same file, so each line is one write in append mode.
	f, err := os.OpenFile(l.journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = f.Write(append(b, '\n'))
	return Error.Wrap(errs.Combine(err, f.Close()))
}

func (l *startLog) snapshot() StartCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return StartCounts{Requests: maps.Clone(l.counts.Requests), Orders: maps.Clone(l.counts.Orders), Paths: maps.Clone(l.counts.Paths)}
}

func identityOf(ctx *fasthttp.RequestCtx) Identity {
	var id Identity
	// A body that is not JSON contains no ids.
	_ = json.Unmarshal(ctx.PostBody(), &id)
	if id.Request == "" {
		id.Request = string(ctx.QueryArgs().Peek("request"))
	}
	if id.Request == "" {
		id.Request = string(ctx.Request.Header.Peek(headerRequestID))
	}
	return id
}
