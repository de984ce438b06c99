package node_test

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"path"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"lovagelane/call"
	"lovagelane/keys"
	"lovagelane/membership"
	"lovagelane/node"
	"lovagelane/settings"
)

// orderCounter is a backend server that counts the orders and the other requests that it runs.
type orderCounter struct {
	mu     sync.Mutex
	orders int
	others int
}

func (o *orderCounter) handler(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
	o.mu.Lock()
	defer o.mu.Unlock()
	// The path as a backend server reads it, decoded and resolved.
	if p, err := url.PathUnescape(string(ctx.URI().PathOriginal())); err == nil && ctx.IsPost() && path.Clean(p) == "/orders" {
		o.orders++
	} else {
		o.others++
	}
	ctx.SetBodyString("ok")
}

func (o *orderCounter) count() (orders, others int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.orders, o.others
}

// sendRaw writes text unchanged, closes the sending side, and returns the first final response, or nil when there is none.
func sendRaw(conn net.Conn, text []byte) (*http.Response, []byte) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	// A refusal may close the connection before everything is written. Its response can still be read.
	_, _ = conn.Write(text)
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	r := bufio.NewReader(conn)
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return nil, nil
		}
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode >= 200 {
			return resp, body
		}
	}
}

func dialRaw(t testing.TB, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	return conn
}

// Guards against malformed requests from callers that get no clear refusal, run in part, or stop the node.
func TestMalformedRequestsAreRefused(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	ran := &orderCounter{}
	s := d.startInstance("nursery", ran.handler)
	big := strings.Repeat("a", 20000)
	const order = "POST /nursery/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
	const upload = "PUT /nursery/x HTTP/1.1\r\nHost: x\r\n"
	for name, tc := range map[string]struct {
		request string
		status  int
		reason  string
	}{
		"ticket not base64":        {order + "Lovagelane-Ticket: %%%\r\n\r\n1", 400, "ticket-invalid"},
		"ticket not CBOR":          {order + "Lovagelane-Ticket: AQ\r\n\r\n1", 400, "ticket-invalid"},
		"ticket oversized":         {order + "Lovagelane-Ticket: " + big[:2000] + "\r\n\r\n1", 400, "ticket-invalid"},
		"ticket twice":             {order + "Lovagelane-Ticket: a\r\nLovagelane-Ticket: b\r\n\r\n1", 400, "ticket-invalid"},
		"ticket empty":             {order + "Lovagelane-Ticket: \r\n\r\n1", 428, "ticket-required"},
		"header oversized":         {"GET /nursery/x HTTP/1.1\r\nHost: x\r\nX: " + big + "\r\n\r\n", 431, "bad-request"},
		"headers too many":         {"GET /nursery/x HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X: a\r\n", 4000) + "\r\n", 431, "bad-request"},
		"path oversized":           {"GET /nursery/" + big + " HTTP/1.1\r\nHost: x\r\n\r\n", 431, "bad-request"},
		"leaves its service":       {"GET /nursery/../payments/pay HTTP/1.1\r\nHost: x\r\n\r\n", 400, "bad-request"},
		"leaves it encoded":        {"GET /nursery/%2e%2e/payments/pay HTTP/1.1\r\nHost: x\r\n\r\n", 400, "bad-request"},
		"leaves it, slash encoded": {"GET /nursery/..%2fpayments/pay HTTP/1.1\r\nHost: x\r\n\r\n", 400, "bad-request"},
		"service with slash":       {"GET /nursery%2forders HTTP/1.1\r\nHost: x\r\n\r\n", 404, "unknown-service"},
		"empty first segment":      {"GET //nursery/x HTTP/1.1\r\nHost: x\r\n\r\n", 404, "unknown-service"},
		"dot segment first":        {"GET /./nursery/x HTTP/1.1\r\nHost: x\r\n\r\n", 404, "unknown-service"},
		"paths of nodes":           {"POST /lovagelane/owned/nursery/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 404, "unknown-service"},
		"drain from outside":       {"POST /lovagelane/drain HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 404, "unknown-service"},
		"order by encoded path":    {"POST /nursery/%6frders HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 428, "ticket-required"},
		"order by dots":            {"POST /nursery/x/..//./orders HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 428, "ticket-required"},
		"order by encoded dots":    {"POST /nursery/x%2f%2e%2e%2forders HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 428, "ticket-required"},
		"order with query":         {"POST /nursery/orders?a=/../x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 428, "ticket-required"},
		"order with slash":         {"POST /nursery/orders/ HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 428, "ticket-required"},
		"resend beyond all bounds": {"GET /nursery/r1 HTTP/1.1\r\nHost: x\r\nLovagelane-Resend: 99999999999999999999\r\n\r\n", 429, "retries-spent"},
		"chunked beyond the bound": {upload + "Transfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("a", 70000) + "\r\n0\r\n\r\n", 413, "body-too-large"},
		"chunk without a size":     {upload + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc", 400, "bad-request"},
		"chunked and cut":          {upload + "Transfer-Encoding: chunked\r\n\r\nff\r\nabc", 400, "bad-request"},
		"length beyond the bound":  {upload + "Content-Length: 2000000\r\n\r\n" + strings.Repeat("a", 70000), 413, "body-too-large"},
		"length negative":          {upload + "Content-Length: -5\r\n\r\nabc", 400, "bad-request"},
		"length not a number":      {upload + "Content-Length: x\r\n\r\nabc", 400, "bad-request"},
		"length overflows":         {upload + "Content-Length: 99999999999999999999\r\n\r\nabc", 400, "bad-request"},
		"length stated twice":      {upload + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde", 400, "bad-request"},
		"no host":                  {"GET /nursery/x HTTP/1.1\r\n\r\n", 400, "bad-request"},
		"TLS on a plain listener":  {"\x16\x03\x01\x00\xa5\x01\x00\r\n\r\n", 400, "bad-request"},
		"malformed method":         {"B@D /nursery/x HTTP/1.1\r\nHost: x\r\n\r\n", 400, "bad-request"},
	} {
		t.Run(name, func(t *testing.T) {
			resp, body := sendRaw(dialRaw(t, s.Addresses().Callers), []byte(tc.request))
			require.NotNil(t, resp, "no response")
			require.Equal(t, tc.status, resp.StatusCode, "%s", body)
			require.Equal(t, tc.reason, resp.Header.Get("Lovagelane-Reason"), "%s", body)
			require.Equal(t, "not-run", resp.Header.Get("Lovagelane-Outcome"))
			require.Contains(t, string(body), `"remedy":"`)
		})
	}
	ordered, others := ran.count()
	require.Zero(t, ordered+others)
	d.eventually("nothing in flight", func() bool { return s.Status().InFlight == 0 })
	require.Equal(t, 200, d.send(s.Addresses().Callers, "GET", "/nursery/x", "").StatusCode())
}

// Guards against a header value of a caller that is out of range and is refused, or has more effect than no header.
func TestOutOfRangeHeadersAreIgnored(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	s := d.startInstance("nursery", func(ctx *fasthttp.RequestCtx, _ func(string, string, string) *fasthttp.Response) {
		ctx.SetBody(ctx.Request.Header.Peek("Lovagelane-Deadline-Ms"))
	})
	for i, header := range []string{
		"Lovagelane-Deadline-Ms: -1", "Lovagelane-Deadline-Ms: 0", "Lovagelane-Deadline-Ms: 99999999999999999999",
		"Lovagelane-Deadline-Ms: 2147483647", "Lovagelane-Deadline-Ms: 1e3", "Lovagelane-Resend: -1",
		"Lovagelane-Resend: -9223372036854775808", "Lovagelane-Resend: x", "Lovagelane-Caller: " + strings.Repeat("c", 9000),
		"Lovagelane-Request-Id: " + strings.Repeat("c", 9000), "Lovagelane-Call: garbage", "Lovagelane-Context: garbage",
		"Lovagelane-Answer: garbage",
	} {
		name, value, _ := strings.Cut(header, ": ")
		r := d.send(s.Addresses().Callers, "GET", fmt.Sprintf("/nursery/%d", i), "", name, value)
		require.Equal(t, 200, r.StatusCode(), "%s: %s", header, r.Body())
		var remainingMS int
		_, err := fmt.Sscan(string(r.Body()), &remainingMS)
		require.NoError(t, err)
		require.Greater(t, remainingMS, 0, header)
		require.LessOrEqual(t, remainingMS, 5000, header)
	}
}

// Guards against the outcome "not run" for a request that has run at another node with a different ticket key.
func TestTicketUnderAnotherKeyIsUnknown(t *testing.T) {
	first, second := newDeployment(t, chainInventory, chainRules), newDeployment(t, chainInventory, chainRules)
	a, b := first.startInstance("nursery", text("ordered")), second.startInstance("nursery", text("ordered"))
	token := string(first.send(a.Addresses().Callers, "POST", "/nursery/orders", "1").Header.Peek("Lovagelane-Ticket"))
	r := second.send(b.Addresses().Callers, "POST", "/nursery/orders", "1", "Lovagelane-Ticket", token)
	require.Equal(t, 400, r.StatusCode())
	require.Equal(t, "ticket-invalid", reason(r))
	require.Equal(t, "unknown", outcome(r))
	require.Contains(t, string(r.Body()), "check with the service whether it ran")
	require.Zero(t, b.ran.Load())
}

// dialCalls connects to the calls listener with the key for a role from dir, or without a key when dir is empty.
func dialCalls(t testing.TB, address, dir string, role keys.Role) net.Conn {
	config := &tls.Config{InsecureSkipVerify: true}
	if dir != "" {
		keyring, err := keys.Load(keys.PathsIn(dir, role))
		require.NoError(t, err)
		config = keyring.ClientConfig("http/1.1")
		config.VerifyConnection = nil // The node must refuse the connection, not this client.
	}
	conn, err := tls.Dial("tcp", address, config)
	require.NoError(t, err)
	return conn
}

func callRequest(header string) string {
	return "POST /nursery/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nLovagelane-Call: " + header + "\r\n\r\n1"
}

func post(path string, body []byte) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func toCBOR(t testing.TB, v any) []byte {
	b, err := cbor.Marshal(v)
	require.NoError(t, err)
	return b
}

// Guards against a malformed call between nodes that runs, or that gets no clear refusal.
func TestMalformedCallsAreRefused(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	s := d.startInstance("nursery", text("ok"))
	good := call.Meta{RequestID: "r", Attempt: call.Attempt{Sender: "a", Receiver: s.Status().Member.ID, Seq: 1 << 60}, RemainingMS: 5000}
	other, long := good, good
	other.Attempt.Receiver = "b"
	long.RemainingMS = 4_000_000
	for name, tc := range map[string]struct {
		request, reason string
		status          int
	}{
		"no header":         {callRequest(""), "bad-request", 400},
		"garbage":           {callRequest("%%%"), "bad-request", 400},
		"not a map":         {callRequest("AQ"), "bad-request", 400},
		"wrong version":     {callRequest("oQEJ"), "bad-request", 400},
		"oversized":         {callRequest(strings.Repeat("A", 5000)), "bad-request", 400},
		"too long":          {callRequest(long.Encode()), "bad-request", 400},
		"other incarnation": {callRequest(other.Encode()), "fenced", 503},
		"other service":     {strings.Replace(callRequest(good.Encode()), "/nursery/", "/payments/", 1), "unknown-service", 404},
		"unknown message":   {post("/lovagelane/nothing", nil), "", 404},
		"operator's path":   {post("/lovagelane/drain", nil), "", 404},
		"garbage question":  {post("/lovagelane/attempt", []byte("garbage")), "", 400},
		"empty question":    {post("/lovagelane/attempt", nil), "", 400},
		"wrong version of a question": {post("/lovagelane/attempt", toCBOR(t, map[int]any{1: 9, 2: map[int]any{1: "a", 2: "b", 3: 1}})),
			"", 400},
		"cancel without attempt": {post("/lovagelane/cancel", toCBOR(t, map[int]any{1: 1})), "", 400},
		"question oversized":     {post("/lovagelane/attempt", make([]byte, 70000)), "", 400},
		"owned, no ticket":       {post("/lovagelane/owned/nursery/orders", nil), "ticket-required", 428},
		"owned, forged":          {strings.Replace(post("/lovagelane/owned/nursery/orders", nil), "Host", "Lovagelane-Ticket: x\r\nHost", 1), "ticket-invalid", 400},
		"owned, no service":      {post("/lovagelane/owned/", nil), "unknown-service", 404},
	} {
		t.Run(name, func(t *testing.T) {
			resp, body := sendRaw(dialCalls(t, s.Addresses().Calls, d.dir, keys.RoleNode), []byte(tc.request))
			require.NotNil(t, resp, "no response")
			require.Equal(t, tc.status, resp.StatusCode, "%s", body)
			require.Equal(t, tc.reason, resp.Header.Get("Lovagelane-Reason"), "%s", body)
			require.NotEmpty(t, body)
		})
	}
	require.Zero(t, s.ran.Load())
	require.Zero(t, s.Status().InFlight)
	resp, body := sendRaw(dialCalls(t, s.Addresses().Calls, d.dir, keys.RoleNode), []byte(callRequest(good.Encode())))
	require.NotNil(t, resp)
	require.Equal(t, 200, resp.StatusCode, "%s", body)
}

// Guards against calls from peers without a node's key, and against peers with an operator's key that reach paths for nodes.
func TestPeersWithoutNodeKeyAreRefused(t *testing.T) {
	d, otherDeployment := newDeployment(t, chainInventory, chainRules), newDeployment(t, chainInventory, chainRules)
	s := d.startInstance("nursery", text("ok"))
	good := call.Meta{RequestID: "r", Attempt: call.Attempt{Sender: "a", Receiver: s.Status().Member.ID, Seq: 1 << 60}, RemainingMS: 5000}
	for name, dir := range map[string]string{"no key": "", "another authority": otherDeployment.dir} {
		resp, _ := sendRaw(dialCalls(t, s.Addresses().Calls, dir, keys.RoleNode), []byte(callRequest(good.Encode())))
		require.Nil(t, resp, name)
	}
	for _, request := range []string{callRequest(good.Encode()), post("/lovagelane/attempt", nil), post("/lovagelane/owned/nursery/x", nil)} {
		resp, body := sendRaw(dialCalls(t, s.Addresses().Calls, d.dir, keys.RoleOperator), []byte(request))
		require.NotNil(t, resp)
		require.Equal(t, 404, resp.StatusCode)
		require.Contains(t, string(body), "operator's key")
	}
	resp, body := sendRaw(dialCalls(t, s.Addresses().Calls, d.dir, keys.RoleOperator), []byte("GET /lovagelane/drain HTTP/1.1\r\nHost: x\r\n\r\n"))
	require.NotNil(t, resp)
	require.Equal(t, 405, resp.StatusCode)
	require.Contains(t, string(body), "use POST")
	require.Equal(t, 405, d.send(s.Addresses().Admin, "GET", "/drain", "").StatusCode())
	require.Zero(t, s.ran.Load())
	require.Equal(t, membership.StateServing, s.Status().Member.State)
}

// Guards against a node that starts with an operator's key. Other nodes would refuse it only when it calls them.
func TestNodeRequiresNodeKey(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	p := keys.PathsIn(d.dir, keys.RoleOperator)
	_, err := node.Start(t.Context(), node.Options{StartControl: d.start, Settings: settings.Node{
		Service: "nursery", AvailabilityZone: "rn-1", BackendServer: "127.0.0.1:1", CallersListen: "127.0.0.1:0",
		BackendListen: "127.0.0.1:0", CallsListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
		Certificate: p.Certificate, Key: p.Key, Authority: p.Authority, TicketKey: keys.TicketKeyIn(d.dir),
	}})
	require.ErrorContains(t, err, `is for the role "operator"`)
}

// FuzzCallersListener guards against input from callers that stops the node, gets a response without an outcome, or starts
// an order without a ticket.
func FuzzCallersListener(f *testing.F) {
	d := newDeployment(f, chainInventory, chainRules)
	ran := &orderCounter{}
	s := d.startInstance("nursery", ran.handler)
	for _, seed := range []string{
		"GET /nursery/x HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /nursery/orders HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n1",
		"POST /nursery/x/%2e%2e/%6frders?a HTTP/1.1\r\nHost: x\r\nLovagelane-Ticket: owEBAlhF\r\nContent-Length: 0\r\n\r\n",
		"PUT /nursery/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"PUT /nursery/x HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 70000\r\n\r\nabc",
		"GET /lovagelane/nodes HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.0\r\n\r\n",
		"GET http://x/nursery/../payments HTTP/1.1\r\nHost: x\r\nLovagelane-Deadline-Ms: -1\r\nLovagelane-Resend: 9\r\n\r\n",
		"HEAD /nursery HTTP/1.1\r\nHost: x\r\nLovagelane-Caller: c\r\nLovagelane-Request-Id: r\r\nLovagelane-Call: AQ\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, request []byte) {
		resp, _ := sendRaw(dialRaw(t, s.Addresses().Callers), request)
		if resp != nil {
			require.NotEqual(t, 500, resp.StatusCode)
			if resp.Header.Get("Lovagelane-Outcome") == "" {
				require.True(t, bytes.Contains(request, []byte("/lovagelane/nodes")), "no outcome")
			}
		}
		ordered, _ := ran.count()
		require.Zero(t, ordered, "an order ran without a ticket")
	})
}

// FuzzCallHeaders guards against a header or message between nodes that stops the node, or that runs although it is invalid.
func FuzzCallHeaders(f *testing.F) {
	d := newDeployment(f, chainInventory, chainRules)
	s := d.startInstance("nursery", text("ok"))
	id := s.Status().Member.ID
	keyring, err := keys.Load(keys.PathsIn(d.dir, keys.RoleNode))
	require.NoError(f, err)
	client := &fasthttp.HostClient{Addr: s.Addresses().Calls, Dial: func(address string) (net.Conn, error) {
		return tls.Dial("tcp", address, keyring.ClientConfig("http/1.1"))
	}}
	f.Add([]byte(call.Meta{Attempt: call.Attempt{Sender: "a", Receiver: id}, RemainingMS: 1000}.Encode()), []byte{0xa0})
	f.Add([]byte("oQEJ"), toCBOR(f, map[int]any{1: 1, 2: map[int]any{1: "a", 2: id, 3: 7}, 3: true}))
	f.Add([]byte("%%%"), []byte("garbage"))
	f.Fuzz(func(t *testing.T, header, body []byte) {
		for _, path := range []string{"/nursery/orders", "/lovagelane/attempt", "/lovagelane/cancel"} {
			req, resp := &fasthttp.Request{}, &fasthttp.Response{}
			req.Header.SetMethod("POST")
			req.SetRequestURI("http://" + s.Addresses().Calls + path)
			req.Header.SetBytesV("Lovagelane-Call", header)
			req.SetBody(body)
			require.NoError(t, client.DoTimeout(req, resp, waitTimeout))
			require.NotEqual(t, 500, resp.StatusCode())
			if path == "/nursery/orders" && resp.StatusCode() == 200 {
				meta, err := call.DecodeMeta(req.Header.Peek("Lovagelane-Call"))
				require.NoError(t, err)
				require.Equal(t, id, meta.Attempt.Receiver)
			}
		}
	})
}

// Guards against unbounded growth of metric names, and calls that stay in flight, after many different malformed requests.
func TestMalformedInputLeavesNoMetricsOrCalls(t *testing.T) {
	d := newDeployment(t, chainInventory, chainRules)
	s := d.startInstance("nursery", text("ok"))
	names := func() int {
		var vars struct{ Counters, Gauges, Durations map[string]any }
		require.NoError(t, json.Unmarshal(d.send(s.Addresses().Admin, "GET", "/debug/vars", "").Body(), &vars))
		return len(vars.Counters) + len(vars.Gauges) + len(vars.Durations)
	}
	batch := func(from int) {
		for i := from; i < from+300; i++ {
			id := fmt.Sprint(i)
			d.send(s.Addresses().Callers, "GET", "/service-"+id+"/x", "", "Lovagelane-Caller", "caller-"+id)
			d.send(s.Addresses().Callers, "POST", "/nursery/orders", id, "Lovagelane-Ticket", "ticket-"+id, "Lovagelane-Request-Id", id)
			d.send(s.Addresses().Callers, "GET", "/nursery/"+id+"/../../x", "")
		}
	}
	batch(0)
	before := names()
	batch(1000)
	require.Equal(t, before, names())
	require.Zero(t, s.Status().InFlight)
	require.Zero(t, s.ran.Load())
}
