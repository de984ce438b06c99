package standin

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/kernel"
)

// unlimitedCallTimeout bounds a planned call whose parent came without a deadline.
const unlimitedCallTimeout = 30 * time.Second

// PlannedCall is a call to another service that a backend server makes while it works on a path.
type PlannedCall struct {
	// On is the path that makes the call.
	On string
	// Service, Method and Path are what is called.
	Service, Method, Path string
}

// ParsePlannedCall reads a planned call such as /orders=payments:POST:/pay.
func ParsePlannedCall(s string) (PlannedCall, error) {
	on, target, ok := strings.Cut(s, "=")
	parts := strings.SplitN(target, ":", 3)
	if !ok || len(parts) != 3 || !strings.HasPrefix(on, "/") || !strings.HasPrefix(parts[2], "/") {
		return PlannedCall{}, Error.New("call %q is malformed: write it as /path=service:METHOD:/path", s)
	}
	return PlannedCall{On: on, Service: parts[0], Method: parts[1], Path: parts[2]}, nil
}

// FailedCall is the body of the answer to a call whose planned call failed; it names the deepest call that failed.
type FailedCall struct {
	Service string `json:"service"`
	Status  int    `json:"status"`
	// Outcome and Reason are what the node said about the failed call.
	Outcome string `json:"outcome,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Problem string `json:"problem,omitempty"`
}

// sendPlanned makes the calls that the plan gives for path and returns the first one that failed.
func (b *BackendServer) sendPlanned(ctx *fasthttp.RequestCtx, path string, w *work) *FailedCall {
	var calls []PlannedCall
	for _, c := range b.opt.Calls {
		if c.On == path {
			calls = append(calls, c)
		}
	}
	if len(calls) == 0 {
		return nil
	}
	in := parent{work: w, body: ctx.PostBody(), identity: identify(ctx)}
	if !b.opt.Parallel || len(calls) == 1 {
		for _, c := range calls {
			if f := b.sendWithRetries(c, in); f != nil {
				return f
			}
		}
		return nil
	}
	failed := make([]*FailedCall, len(calls))
	g := kernel.NewGroup(context.Background())
	for i, c := range calls {
		g.Go("planned-call", func(context.Context) error {
			failed[i] = b.sendWithRetries(c, in)
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

// parent is the call that planned calls are made for.
type parent struct {
	work     *work
	body     []byte
	identity Identity
}

func (b *BackendServer) sendWithRetries(c PlannedCall, in parent) *FailedCall {
	var f *FailedCall
	for range b.opt.Retries + 1 {
		if f = b.send(c, in); f == nil {
			return nil
		}
		select {
		case <-in.work.cancelled:
			return f
		default:
		}
	}
	return f
}

func (b *BackendServer) send(c PlannedCall, in parent) *FailedCall {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	target := "http://" + b.opt.Node + "/" + c.Service + c.Path
	if in.identity.Request != "" {
		target += "?request=" + in.identity.Request
	}
	req.SetRequestURI(target)
	req.Header.SetMethod(c.Method)
	req.Header.Set(headerContext, in.work.context)
	if len(in.body) > 0 && c.Method != fasthttp.MethodGet {
		req.Header.SetContentType("application/json")
		req.SetBody(in.body)
	}
	deadline := in.work.deadline
	if deadline.IsZero() {
		deadline = b.clock.Now().Add(unlimitedCallTimeout)
	}
	if err := b.client.DoDeadline(req, resp, deadline); err != nil {
		return &FailedCall{Service: c.Service, Problem: err.Error()}
	}
	if resp.StatusCode() < 400 {
		return nil
	}
	// The deepest call that failed explains the failure.
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
