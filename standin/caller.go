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
	// dialTimeout bounds a connect to one address; the next address is tried after it.
	dialTimeout = time.Second
	// maxClientConns is above every load that the stand-ins offer, so that the client itself never queues.
	maxClientConns = 1 << 14
	// maxAddressTries bounds the addresses that one send tries.
	maxAddressTries = 4
	defaultTimeout  = 2 * time.Second
)

// Kind is a kind of request of a mix.
type Kind struct {
	Name   string
	Method string
	// Path begins with the service, as in /nursery/orders.
	Path string
	// Weight is the share of the kind relative to the other kinds.
	Weight float64
	// NonIdempotent requests carry an order id and go through the ticket handshake.
	NonIdempotent bool
	Timeout       time.Duration
	// Retries is how often a request that was not answered is sent again, at once.
	Retries int
	// TryTimeout is when the caller gives up on one send; 0 means the whole timeout.
	TryTimeout time.Duration
	// BodyBytes is added to the body.
	BodyBytes int
}

// Caller offers an open-loop load: arrivals do not wait for answers.
type Caller struct {
	// Addresses are those of callers listeners; each request starts at a random one.
	Addresses []string
	Kinds     []Kind
	Profile   Profile
	Duration  time.Duration
	Seed      uint64
	// Name distinguishes the request ids of several callers.
	Name string
	// StateResends sends Lovagelane-Resend, as a caller does that keeps to the protocol.
	StateResends bool
	// Observe is called with each result, from several goroutines at once.
	Observe func(Result)

	mu      sync.Mutex
	clients map[string]*fasthttp.HostClient
}

// Run offers the load and returns the results after the last request ended.
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
		r := &request{caller: c, kind: c.pick(rand, total), id: fmt.Sprintf("%s-%x", c.Name, rand.Uint64()),
			first: rand.IntN(len(c.Addresses)), arrival: start.Add(at)}
		g.Go("request", func(context.Context) error {
			res := r.run()
			res.Arrived, res.Done = r.arrival.Sub(start), time.Since(start)
			results.Add(res)
			if c.Observe != nil {
				c.Observe(res)
			}
			return nil
		})
	}
	err := g.Wait()
	c.close()
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

func (c *Caller) pick(rand *kernel.Rand, total float64) Kind {
	x := rand.Float64() * total
	for _, k := range c.Kinds {
		if x -= k.Weight; x < 0 {
			return k
		}
	}
	return c.Kinds[len(c.Kinds)-1]
}

func (c *Caller) client(address string) *fasthttp.HostClient {
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

func (c *Caller) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cl := range c.clients {
		cl.CloseIdleConnections()
	}
	c.clients = nil
}

// newClient returns a client that sends each request once: the library must not resend by itself, since results and
// logs count every send.
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

// dialError marks a send that reached nobody.
type dialError struct{ error }

// request is one request with its sends.
type request struct {
	caller  *Caller
	kind    Kind
	id      string
	first   int
	arrival time.Time
	ticket  string
}

// answer is what one send brought.
type answer struct {
	end    End
	reason string
	notRun bool
	ticket string
	// straggler tells that the work itself was long.
	straggler bool
}

// run sends the request until it is answered or the kind's resends are used up. The latency counts from the arrival
// that the profile planned, so that a slow caller does not hide waiting time.
func (r *request) run() Result {
	timeout := r.kind.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	deadline := r.arrival.Add(timeout)
	res := Result{Kind: r.kind.Name, Request: r.id, NotRun: true}
	for resend := 0; resend <= r.kind.Retries; resend++ {
		a := r.sendWithTicket(resend, deadline)
		res.Sends++
		res.End, res.Reason, res.Straggler = a.end, a.reason, a.straggler
		res.NotRun = res.NotRun && a.notRun
		if a.end == Answered || !time.Now().Before(deadline) {
			break
		}
	}
	res.Latency = time.Since(r.arrival)
	return res
}

func (r *request) sendWithTicket(resend int, deadline time.Time) answer {
	a := r.send(resend, deadline)
	if a.ticket == "" || r.ticket != "" {
		return a
	}
	r.ticket = a.ticket
	return r.send(resend, deadline)
}

// send tries one address after the other until one takes the connection.
func (r *request) send(resend int, deadline time.Time) answer {
	addresses := r.caller.Addresses
	tryDeadline := deadline
	if r.kind.TryTimeout > 0 {
		if t := time.Now().Add(r.kind.TryTimeout); t.Before(deadline) {
			tryDeadline = t
		}
	}
	for i := range min(maxAddressTries, len(addresses)) {
		a, err := r.sendTo(addresses[(r.first+i)%len(addresses)], resend, tryDeadline)
		var dial dialError
		switch {
		case err == nil:
			return a
		case errors.As(err, &dial):
			continue
		case errors.Is(err, fasthttp.ErrTimeout):
			return answer{end: Late, reason: "caller-timeout"}
		default:
			return answer{end: Unknown, reason: "connection-broke"}
		}
	}
	return answer{end: Refused, reason: "no-address", notRun: true}
}

func (r *request) sendTo(address string, resend int, deadline time.Time) (answer, error) {
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
	if err := r.caller.client(address).DoDeadline(req, resp, deadline); err != nil {
		return answer{}, err
	}
	return readAnswer(resp, r.id), nil
}

func (r *request) body() []byte {
	body := struct {
		Identity
		Padding string `json:"padding,omitempty"`
	}{Identity: Identity{Request: r.id}, Padding: strings.Repeat("x", r.kind.BodyBytes)}
	if r.kind.NonIdempotent {
		body.Order = "order-" + r.id
	}
	// Marshalling two strings cannot fail.
	b, _ := json.Marshal(body)
	return b
}

// readAnswer sorts an answer by its status and by what the node said about the outcome.
func readAnswer(resp *fasthttp.Response, id string) answer {
	reason := string(resp.Header.Peek("Lovagelane-Reason"))
	outcome := string(resp.Header.Peek("Lovagelane-Outcome"))
	a := answer{reason: reason, notRun: outcome == "not-run", ticket: string(resp.Header.Peek("Lovagelane-Ticket"))}
	switch {
	case resp.StatusCode() < 300:
		return readBody(resp.Body(), id)
	case a.notRun && (reason == reasonShed || reason == reasonQueueFull):
		a.end = Shed
	case a.notRun:
		a.end = Refused
	case outcome == "unknown":
		a.end = Unknown
	default:
		a.end = Failed
		var inner FailedCall
		if json.Unmarshal(resp.Body(), &inner) == nil && inner.Service != "" {
			a.reason = strings.TrimSuffix("inner-"+inner.Service+"-"+inner.Reason, "-")
		}
	}
	return a
}

// readBody checks that the answer is the whole one to this request and not that to another request.
func readBody(body []byte, id string) answer {
	var got Answer
	if json.Unmarshal(body, &got) != nil {
		return answer{end: Failed, reason: "answer-not-whole"}
	}
	if got.Request != id {
		return answer{end: Failed, reason: "answer-of-another-request"}
	}
	return answer{end: Answered, straggler: got.Straggler}
}

// ParseKind reads a kind such as orders:POST:/nursery/orders:weight=5:non-idempotent.
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
