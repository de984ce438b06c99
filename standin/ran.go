package standin

import (
	"encoding/json"
	"maps"
	"sync"

	"github.com/valyala/fasthttp"
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

type ranLog struct {
	mu  sync.Mutex
	ran Ran
}

func (l *ranLog) add(id Identity, method, path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
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
