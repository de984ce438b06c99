package standin

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/kernel"
)

// defaultCallTimeout bounds a planned call whose parent call has no deadline.
const defaultCallTimeout = 30 * time.Second

// PlannedCall is a call that a backend server makes to another service while it handles calls of a path.
type PlannedCall struct {
	// ParentPath is the path whose calls make this call.
	ParentPath string
	// Service, Method and Path identify the operation that is called.
	Service, Method, Path string
}

// ParsePlannedCall parses a planned call such as /orders=payments:POST:/pay.
func ParsePlannedCall(s string) (PlannedCall, error) {
	parentPath, target, ok := strings.Cut(s, "=")
	parts := strings.SplitN(target, ":", 3)
	if !ok || len(parts) != 3 || !strings.HasPrefix(parentPath, "/") || !strings.HasPrefix(parts[2], "/") {
		return PlannedCall{}, Error.New("call %q is malformed: write it as /path=service:METHOD:/path", s)
	}
	return PlannedCall{ParentPath: parentPath, Service: parts[0], Method: parts[1], Path: parts[2]}, nil
}

// FailedCall is the response body of a call whose planned call failed. It describes the deepest failed call.
type FailedCall struct {
	Service string `json:"service"`
	Status  int    `json:"status"`
	// Outcome and Reason are the values of the node's headers in the answer to the failed call.
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Problem string `json:"problem,omitempty"`
}

// makePlannedCalls makes the calls planned for path. It returns the first failed one in the order of the plan, or nil.
func (b *BackendServer) makePlannedCalls(ctx *fasthttp.RequestCtx, path string, call *activeCall) *FailedCall {
	var calls []PlannedCall
	for _, c := range b.opt.Calls {
		if c.ParentPath == path {
			calls = append(calls, c)
		}
	}
	if len(calls) == 0 {
		return nil
	}
	parent := parentCall{call: call, body: ctx.PostBody(), identity: identityOf(ctx)}
	if !b.opt.Parallel || len(calls) == 1 {
		for _, c := range calls {
			if f := b.sendWithRetries(c, parent); f != nil {
				return f
			}
		}
		return nil
	}
	failed := make([]*FailedCall, len(calls))
	g := kernel.NewGroup(context.Background())
	for i, c := range calls {
		g.Go("planned-call", func(context.Context) error {
			failed[i] = b.sendWithRetries(c, parent)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return &FailedCall{Problem: err.Error()}
	}
	for _, f := range failed {
		if f != nil {
			return f
		}
	}
	return nil
}

// parentCall is the call that planned calls are made for.
type parentCall struct {
	call     *activeCall
	body     []byte
	identity Identity
}

func (b *BackendServer) sendWithRetries(c PlannedCall, parent parentCall) *FailedCall {
	var f *FailedCall
	for range b.opt.Retries + 1 {
		if f = b.send(c, parent); f == nil {
			return nil
		}
		select {
		case <-parent.call.cancelled:
			return f
		default:
		}
	}
	return f
}

func (b *BackendServer) send(c PlannedCall, parent parentCall) *FailedCall {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	target := "http://" + b.opt.Node + "/" + c.Service + c.Path
	if parent.identity.Request != "" {
		target += "?request=" + parent.identity.Request
	}
	req.SetRequestURI(target)
	req.Header.SetMethod(c.Method)
	req.Header.Set(headerContext, parent.call.context)
	if len(parent.body) > 0 && c.Method != fasthttp.MethodGet {
		req.Header.SetContentType("application/json")
		req.SetBody(parent.body)
	}
	deadline := parent.call.deadline
	if deadline.IsZero() {
		deadline = b.clock.Now().Add(defaultCallTimeout)
	}
	if err := b.client.DoDeadline(req, resp, deadline); err != nil {
		return &FailedCall{Service: c.Service, Problem: err.Error()}
	}
	if resp.StatusCode() < 400 {
		return nil
	}
	// Pass on the deepest failed call, which is the cause of the failure.
	var inner FailedCall
	if json.Unmarshal(resp.Body(), &inner) == nil && inner.Service != "" {
		return &inner
	}
	return &FailedCall{
		Service: c.Service,
		Status:  resp.StatusCode(),
		Outcome: string(resp.Header.Peek("Lovagelane-Outcome")),
		Reason:  string(resp.Header.Peek("Lovagelane-Reason")),
	}
}
