package standin

import (
	"encoding/json"
	"maps"
	"os"
	"sync"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
)

// Identity names a request and, when the request carries one, its order. Both are in the JSON body, or the request is
// in the query or header, since a backend server cannot rely on the product to pass identities on.
type Identity struct {
	Request string `json:"request"`
	Order   string `json:"order,omitempty"`
}

// Ran counts how often work was started, which is what must happen at most once for an order.
type Ran struct {
	// Requests counts starts by path and request id, as in "/orders r17".
	Requests map[string]int `json:"requests"`
	// Orders counts starts by path and order id.
	Orders map[string]int `json:"orders"`
	// Paths counts starts by method and path.
	Paths map[string]int `json:"paths"`
}

// Start is a line of the journal.
type Start struct {
	Identity
	Method string `json:"method"`
	Path   string `json:"path"`
	// Send is the header with which a test tells the sends of one request apart.
	Send string `json:"send,omitempty"`
}

type ranLog struct {
	mu  sync.Mutex
	ran Ran
	// journal is a file to which each start is appended before the work begins, so that a killed backend server loses no
	// start; empty means none.
	journal string
}

func (l *ranLog) add(id Identity, method, path, send string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.append(Start{id, method, path, send}); err != nil {
		return err
	}
	if l.ran.Paths == nil {
		l.ran = Ran{Requests: map[string]int{}, Orders: map[string]int{}, Paths: map[string]int{}}
	}
	l.ran.Paths[method+" "+path]++
	if id.Request != "" {
		l.ran.Requests[path+" "+id.Request]++
	}
	if id.Order != "" {
		l.ran.Orders[path+" "+id.Order]++
	}
	return nil
}

func (l *ranLog) append(s Start) error {
	if l.journal == "" {
		return nil
	}
	b, err := json.Marshal(s)
	if err != nil {
		return Error.Wrap(err)
	}
	// Several backend servers append whole lines to one file.
	f, err := os.OpenFile(l.journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = f.Write(append(b, '\n'))
	return Error.Wrap(errs.Combine(err, f.Close()))
}

func (l *ranLog) read() Ran {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Ran{Requests: maps.Clone(l.ran.Requests), Orders: maps.Clone(l.ran.Orders), Paths: maps.Clone(l.ran.Paths)}
}

func identify(ctx *fasthttp.RequestCtx) Identity {
	var id Identity
	// A body that is not JSON names nothing.
	_ = json.Unmarshal(ctx.PostBody(), &id)
	if id.Request == "" {
		id.Request = string(ctx.QueryArgs().Peek("request"))
	}
	if id.Request == "" {
		id.Request = string(ctx.Request.Header.Peek(headerRequestID))
	}
	return id
}
