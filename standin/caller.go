package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/kernel"
)

const (
	// dialTimeout bounds the connection attempt to one address; the caller then tries the next address.
	dialTimeout = time.Second
	// maxClientConns exceeds the concurrency of every load that the stand-ins generate, so that the client never queues.
	maxClientConns = 1 << 14
	// maxAddressTries bounds the addresses tried for one send.
	maxAddressTries = 4
	// defaultTimeout applies to kinds without a timeout.
	defaultTimeout = 2 * time.Second
)

// Kind describes one kind of request in a load.
type Kind struct {
	Name   string
	Method string
	// Path starts with the service name, as in /nursery/orders.
	Path string
	// Weight is the relative frequency of the kind.
	Weight float64
	// NonIdempotent marks requests that carry an order id and that nodes accept only with a ticket.
	NonIdempotent bool
	Timeout       time.Duration
	// Retries is the maximum number of resends of an unsuccessful request, sent without backoff.
	Retries int
	// TryTimeout bounds one send; 0 means the whole timeout.
	TryTimeout time.Duration
	// BodyBytes is the number of padding bytes in the body.
	BodyBytes int
}

// Caller generates an open-loop load: the arrival of a request does not depend on the answers to earlier ones.
type Caller struct {
	// Addresses are the addresses of the nodes' listeners for external callers; each request tries a random one first.
	Addresses []string
	Kinds     []Kind
	Profile   Profile
	Duration  time.Duration
	Seed      uint64
	// Name is the prefix of the request ids, so that several callers use different ids.
	Name string
	// StateResends sets Lovagelane-Resend on resends, as the protocol requires.
	StateResends bool
	// Observe is called with each result, concurrently from several goroutines.
	Observe func(Result)

	mu      sync.Mutex
	clients map[string]*fasthttp.HostClient
}

// Run generates the load and returns the results after the last request has finished.
func (c *Caller) Run(ctx context.Context) (*Results, error) {
	var names []string
	total := 0.0
	for _, k := range c.Kinds {
		names = append(names, k.Name)
		total += k.Weight
	}
	if len(c.Addresses) == 0 || total <= 0 {
		return nil, Error.New("the load needs an address and a kind with a weight: give at least one of each")
	}
	results := NewResults(names)
	rand := kernel.NewRand(c.Seed)
	g := kernel.NewGroup(ctx)
	start := time.Now()
	for at := time.Duration(0); ; {
		rate := c.Profile.Rate(at)
		if rate <= 0 {
			at += BucketWidth
		} else {
			at += time.Duration(-math.Log(1-rand.Float64()) / rate * float64(time.Second))
		}
		if at >= c.Duration || !sleepUntil(ctx, start.Add(at)) {
			break
		}
		if rate <= 0 {
			continue
		}
		r := &request{caller: c, kind: c.pickKind(rand, total), id: fmt.Sprintf("%s-%x", c.Name, rand.Uint64()),
			firstAddress: rand.IntN(len(c.Addresses)), arrival: start.Add(at)}
		g.Go("request", func(context.Context) error {
			res := r.sendUntilAnswered()
			res.Arrived, res.Done = r.arrival.Sub(start), time.Since(start)
			results.Add(res)
			if c.Observe != nil {
				c.Observe(res)
			}
			return nil
		})
	}
	err := g.Wait()
	c.closeIdleConnections()
	return results, err
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (c *Caller) pickKind(rand *kernel.Rand, total float64) Kind {
	x := rand.Float64() * total
	for _, k := range c.Kinds {
		if x -= k.Weight; x < 0 {
			return k
		}
	}
	return c.Kinds[len(c.Kinds)-1]
}

func (c *Caller) clientFor(address string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients == nil {
		c.clients = map[string]*fasthttp.HostClient{}
	}
	cl := c.clients[address]
	if cl == nil {
		cl = newClient(address)
		c.clients[address] = cl
	}
	return cl
}

func (c *Caller) closeIdleConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cl := range c.clients {
		cl.CloseIdleConnections()
	}
	c.clients = nil
}

// newClient returns a client that sends each request once. The library's own retries are disabled, since results and
// start counts include every send.
func newClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		MaxConns:                  maxClientConns,
		MaxIdemponentCallAttempts: 1,
		MaxIdleConnDuration:       5 * time.Second,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", addr, dialTimeout)
			if err != nil {
				return nil, dialError{err}
			}
			return conn, nil
		},
	}
}

// dialError is returned if a connection could not be established, so that no request was sent.
type dialError struct{ error }

// request is a request with the state shared by its sends.
type request struct {
	caller       *Caller
	kind         Kind
	id           string
	firstAddress int
	arrival      time.Time
	ticket       string
}

// sendResult is the result of one send.
type sendResult struct {
	outcome Outcome
	reason  string
	notRun  bool
	ticket  string
	// straggler is set if the call was randomly selected to take longer.
	straggler bool
}

// sendUntilAnswered sends the request until it is answered, its deadline has passed or its resends are used up. The
// latency is measured from the arrival time that the profile sets, so that delays in the caller itself are included.
func (r *request) sendUntilAnswered() Result {
	timeout := r.kind.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	deadline := r.arrival.Add(timeout)
	res := Result{Kind: r.kind.Name, Request: r.id, NotRun: true}
	for resend := 0; resend <= r.kind.Retries; resend++ {
		last := r.sendWithTicket(resend, deadline)
		res.Sends++
		res.Outcome, res.Reason, res.Straggler = last.outcome, last.reason, last.straggler
		res.NotRun = res.NotRun && last.notRun
		if last.outcome == Answered || !time.Now().Before(deadline) {
			break
		}
	}
	res.Latency = time.Since(r.arrival)
	return res
}

func (r *request) sendWithTicket(resend int, deadline time.Time) sendResult {
	result := r.send(resend, deadline)
	if result.ticket == "" || r.ticket != "" {
		return result
	}
	r.ticket = result.ticket
	return r.send(resend, deadline)
}

// send tries the addresses in order until one accepts the connection, at most maxAddressTries.
func (r *request) send(resend int, deadline time.Time) sendResult {
	addresses := r.caller.Addresses
	tryDeadline := deadline
	if r.kind.TryTimeout > 0 {
		if t := time.Now().Add(r.kind.TryTimeout); t.Before(deadline) {
			tryDeadline = t
		}
	}
	for i := range min(maxAddressTries, len(addresses)) {
		result, err := r.sendTo(addresses[(r.firstAddress+i)%len(addresses)], resend, tryDeadline)
		var dial dialError
		switch {
		case err == nil:
			return result
		case errors.As(err, &dial):
			continue
		case errors.Is(err, fasthttp.ErrTimeout):
			return sendResult{outcome: TimedOut, reason: "caller-timeout"}
		default:
			return sendResult{outcome: Unknown, reason: "connection-broke"}
		}
	}
	return sendResult{outcome: Refused, reason: "no-address", notRun: true}
}

func (r *request) sendTo(address string, resend int, deadline time.Time) (sendResult, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + r.kind.Path + "?request=" + r.id)
	req.Header.SetMethod(r.kind.Method)
	req.Header.Set(headerRequestID, r.id)
	req.Header.Set("Lovagelane-Caller", r.caller.Name)
	req.Header.Set(headerDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	if r.ticket != "" {
		req.Header.Set("Lovagelane-Ticket", r.ticket)
	}
	if resend > 0 && r.caller.StateResends {
		req.Header.Set("Lovagelane-Resend", strconv.Itoa(resend))
	}
	if r.kind.Method != fasthttp.MethodGet {
		req.Header.SetContentType("application/json")
		req.SetBody(r.body())
	}
	if err := r.caller.clientFor(address).DoDeadline(req, resp, deadline); err != nil {
		return sendResult{}, err
	}
	return classifyAnswer(resp, r.id), nil
}

func (r *request) body() []byte {
	body := struct {
		Identity
		Padding string `json:"padding,omitempty"`
	}{Identity: Identity{Request: r.id}, Padding: strings.Repeat("x", r.kind.BodyBytes)}
	if r.kind.NonIdempotent {
		body.Order = "order-" + r.id
	}
	// Marshalling strings cannot fail.
	b, _ := json.Marshal(body)
	return b
}

// classifyAnswer classifies an answer by its status and by the headers in which the node states outcome and reason.
func classifyAnswer(resp *fasthttp.Response, id string) sendResult {
	reason := string(resp.Header.Peek("Lovagelane-Reason"))
	outcome := string(resp.Header.Peek("Lovagelane-Outcome"))
	result := sendResult{reason: reason, notRun: outcome == "not-run", ticket: string(resp.Header.Peek("Lovagelane-Ticket"))}
	switch {
	case resp.StatusCode() < 300:
		return classifyBody(resp.Body(), id)
	case result.notRun && (reason == reasonShed || reason == reasonQueueFull):
		result.outcome = Shed
	case result.notRun:
		result.outcome = Refused
	case outcome == "unknown":
		result.outcome = Unknown
	default:
		result.outcome = Failed
		var inner FailedCall
		if json.Unmarshal(resp.Body(), &inner) == nil && inner.Service != "" {
			result.reason = strings.TrimSuffix("inner-"+inner.Service+"-"+inner.Reason, "-")
		}
	}
	return result
}

// classifyBody checks that the body is complete and answers this request, not another one.
func classifyBody(body []byte, id string) sendResult {
	var got Answer
	if json.Unmarshal(body, &got) != nil {
		return sendResult{outcome: Failed, reason: "answer-not-whole"}
	}
	if got.Request != id {
		return sendResult{outcome: Failed, reason: "answer-of-another-request"}
	}
	return sendResult{outcome: Answered, straggler: got.Straggler}
}

// ParseKind parses a kind such as orders:POST:/nursery/orders:weight=5:non-idempotent.
func ParseKind(text string) (Kind, error) {
	parts := strings.Split(text, ":")
	if len(parts) < 3 || !strings.HasPrefix(parts[2], "/") {
		return Kind{}, Error.New("kind %q is malformed: write it as name:METHOD:/service/path[:weight=N][:non-idempotent]",
			text)
	}
	k := Kind{Name: parts[0], Method: parts[1], Path: parts[2], Weight: 1}
	for _, p := range parts[3:] {
		weight, isWeight := strings.CutPrefix(p, "weight=")
		w, err := strconv.ParseFloat(weight, 64)
		switch {
		case p == "non-idempotent":
			k.NonIdempotent = true
		case isWeight && err == nil && w >= 0:
			k.Weight = w
		default:
			return Kind{}, Error.New("kind %q has the unknown part %q: use weight=N or non-idempotent", text, p)
		}
	}
	return k, nil
}
