package tablestore

import (
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/answers"
)

const (
	// DefaultTimeout bounds one request to the store.
	DefaultTimeout = 3 * time.Second

	maxResponseBytes      = 1 << 20
	maxRowListBytes       = 16 << 20
	maxConnectionsPerHost = 8
	idleConnectionTimeout = 10 * time.Second
	dialTimeout           = time.Second
	maxQuotedBytes        = 200

	eraHeader = "Store-Era"
	// maxEra keeps the versions of configurations, which include the era, in 64 bits.
	maxEra = 1_000_000_000
)

var errDial = errors.New("cannot connect to the store")

// Client implements Store over HTTP with JSON. It is safe for concurrent use.
type Client struct {
	base string
	// tlsConfig is nil if the store is not behind TLS.
	tlsConfig   *tls.Config
	timeout     time.Duration
	defaultHTTP *fasthttp.Client
	rowListHTTP *fasthttp.Client

	mu     sync.Mutex
	closed bool
	open   map[net.Conn]struct{}
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the platform at a base URL. A timeout of 0 means DefaultTimeout.
func NewClient(base string, timeout time.Duration) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, fmt.Errorf("store %q is not a base URL: write it as http://10.0.0.1:8000", base)
	}
	c := &Client{
		base:    strings.TrimSuffix(base, "/"),
		timeout: cmp.Or(timeout, DefaultTimeout),
		open:    map[net.Conn]struct{}{},
	}
	if u.Scheme == "https" {
		c.tlsConfig = &tls.Config{ServerName: u.Hostname()}
	}
	c.defaultHTTP, c.rowListHTTP = c.newHTTP(maxResponseBytes), c.newHTTP(maxRowListBytes)
	return c, nil
}

func (c *Client) newHTTP(maxBody int) *fasthttp.Client {
	return &fasthttp.Client{
		Name:                "lovagelane",
		Dial:                c.dial,
		MaxConnsPerHost:     maxConnectionsPerHost,
		MaxIdleConnDuration: idleConnectionTimeout,
		MaxResponseBodySize: maxBody,
		// A retried write could conflict with its own first attempt, so retries are left to the caller.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// Close closes all connections, so that requests in flight fail at once, and prevents new ones.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	open := c.open
	c.open = map[net.Conn]struct{}{}
	c.mu.Unlock()
	for conn := range open {
		_ = conn.Close()
	}
	c.defaultHTTP.CloseIdleConnections()
	c.rowListHTTP.CloseIdleConnections()
}

// trackedConn removes itself from the client's set of open connections when it is closed.
type trackedConn struct {
	net.Conn
	client *Client
}

// Close closes the connection and stops tracking it.
func (t *trackedConn) Close() error {
	t.client.mu.Lock()
	delete(t.client.open, t)
	t.client.mu.Unlock()
	return t.Conn.Close()
}

// secureConn is a checked connection inside TLS. fasthttp adds TLS to any connection without the method Handshake, and what it
// would add here could not be checked.
type secureConn struct {
	*answers.Conn
	secured *tls.Conn
}

// Handshake runs the TLS handshake if it has not run yet.
func (s secureConn) Handshake() error { return s.secured.Handshake() }

func (c *Client) dial(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDial, err)
	}
	t := &trackedConn{Conn: conn, client: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, errDial
	}
	c.open[t] = struct{}{}
	if c.tlsConfig != nil {
		secured := tls.Client(t, c.tlsConfig)
		return secureConn{answers.NewConn(secured), secured}, nil
	}
	return answers.NewConn(t), nil
}

type request struct {
	method string
	path   string
	body   []byte
	http   *fasthttp.Client
}

type response struct {
	status int
	// era is 0 if the store states none.
	era  uint64
	body []byte
}

// do sends a request and returns the response.
func (c *Client) do(ctx context.Context, r request) (response, error) {
	if err := ctx.Err(); err != nil {
		return response{}, fmt.Errorf("%w: %w", errDial, err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + r.path)
	req.Header.SetMethod(r.method)
	if r.body != nil {
		req.SetBodyRaw(r.body)
	}
	deadline := time.Now().Add(c.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := r.http.DoDeadline(req, resp, deadline); err != nil {
		return response{}, err
	}
	era, err := fasthttp.ParseUint(resp.Header.Peek(eraHeader))
	if err != nil || era > maxEra {
		era = 0
	}
	return response{status: resp.StatusCode(), era: uint64(era), body: append([]byte(nil), resp.Body()...)}, nil
}

// read sends a GET request and returns the response, and false for status 404.
func (c *Client) read(ctx context.Context, path string, h *fasthttp.Client) (response, bool, error) {
	resp, err := c.do(ctx, request{method: fasthttp.MethodGet, path: path, http: h})
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return response{}, false, &ProtocolError{Request: "GET " + path, Detail: "the response is too large"}
	case err != nil:
		return response{}, false, &UnavailableError{Cause: err}
	case resp.status == fasthttp.StatusNotFound:
		return resp, false, nil
	case resp.status != fasthttp.StatusOK:
		return response{}, false, statusError("GET "+path, resp.status, resp.body)
	}
	return resp, true, nil
}

func statusError(request string, status int, body []byte) error {
	if status >= fasthttp.StatusInternalServerError || status == fasthttp.StatusTooManyRequests {
		return &UnavailableError{Cause: fmt.Errorf("%s: status %d", request, status)}
	}
	return &ProtocolError{Request: request, Detail: fmt.Sprintf("status %d, %.*q", status, maxQuotedBytes, body)}
}

func decode(request string, body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return &ProtocolError{Request: request, Detail: err.Error()}
	}
	return nil
}

func rowsPath(table string) string { return "/tables/" + url.PathEscape(table) + "/rows" }

// Row returns a row and whether it exists.
func (c *Client) Row(ctx context.Context, table, key string) (Row, bool, error) {
	path := rowsPath(table) + "/" + url.PathEscape(key)
	resp, ok, err := c.read(ctx, path, c.defaultHTTP)
	if err != nil || !ok {
		return Row{}, false, err
	}
	var row Row
	if err := decode("GET "+path, resp.body, &row); err != nil {
		return Row{}, false, err
	}
	return row, !row.Deleted, nil
}

// Rows returns the mark of the table and the rows that changed after since, deleted ones included. It returns all rows if since
// is not in the table's present history.
func (c *Client) Rows(ctx context.Context, table string, since Mark) (Mark, []Row, error) {
	mark, rows, err := c.rowsSince(ctx, table, since.Revision)
	// A lower revision shows a return or a new table also if the store states no era.
	if err == nil && since.Revision > 0 && (mark.Era != since.Era || mark.Revision < since.Revision) {
		return c.rowsSince(ctx, table, 0)
	}
	return mark, rows, err
}

func (c *Client) rowsSince(ctx context.Context, table string, revision uint64) (Mark, []Row, error) {
	path := fmt.Sprintf("%s?since=%d", rowsPath(table), revision)
	resp, ok, err := c.read(ctx, path, c.rowListHTTP)
	if err != nil || !ok {
		return Mark{Era: resp.era}, nil, err
	}
	var list struct {
		Revision uint64            `json:"revision"`
		Rows     []json.RawMessage `json:"rows"`
	}
	if err := decode("GET "+path, resp.body, &list); err != nil {
		return Mark{}, nil, err
	}
	// Rows are decoded one by one, so that an odd one, which another writer may leave, does not hide the others.
	var rows []Row
	for _, raw := range list.Rows {
		var row Row
		if err := json.Unmarshal(raw, &row); err != nil {
			row.Err = &ProtocolError{Request: "GET " + path, Detail: err.Error()}
		}
		rows = append(rows, row)
	}
	return Mark{Era: resp.era, Revision: list.Revision}, rows, nil
}

type wireWrite struct {
	Key       string  `json:"key"`
	Value     string  `json:"value,omitempty"`
	IfVersion *uint64 `json:"if-version,omitempty"`
	IfEra     *uint64 `json:"if-era,omitempty"`
	Delete    bool    `json:"delete,omitempty"`
}

// Transact applies all writes or none. It returns *ConflictError if a condition of a write does not hold,
// *UnavailableError if the store is unavailable and nothing was written, and *UnknownError if the writes may have been
// applied.
func (c *Client) Transact(ctx context.Context, table string, writes []Write) (Commit, error) {
	path := "/tables/" + url.PathEscape(table) + "/transactions"
	body, err := json.Marshal(struct {
		Writes []wireWrite `json:"writes"`
	}{wireWrites(writes)})
	if err != nil {
		return Commit{}, err
	}
	resp, err := c.do(ctx, request{method: fasthttp.MethodPost, path: path, body: body, http: c.defaultHTTP})
	switch {
	case errors.Is(err, errDial), errors.Is(err, fasthttp.ErrNoFreeConns):
		return Commit{}, &UnavailableError{Cause: err}
	case err != nil:
		return Commit{}, &UnknownError{Cause: err}
	case resp.status == fasthttp.StatusPreconditionFailed:
		conflict := &ConflictError{Table: table}
		if err := decode("POST "+path, resp.body, conflict); err != nil {
			return Commit{}, err
		}
		return Commit{}, conflict
	case resp.status == fasthttp.StatusServiceUnavailable,
		resp.status < fasthttp.StatusInternalServerError && resp.status != fasthttp.StatusOK:
		return Commit{}, statusError("POST "+path, resp.status, resp.body)
	case resp.status != fasthttp.StatusOK:
		return Commit{}, &UnknownError{Cause: fmt.Errorf("status %d", resp.status)}
	}
	var commit Commit
	if err := decode("POST "+path, resp.body, &commit); err != nil {
		// The transaction was committed although its response is malformed.
		return Commit{}, &UnknownError{Cause: err}
	}
	return commit, nil
}

func wireWrites(writes []Write) []wireWrite {
	wire := make([]wireWrite, len(writes))
	for i, w := range writes {
		wire[i] = wireWrite{Key: w.Key, Value: w.Value, Delete: w.Delete}
		if version, ok := w.IfVersion.Get(); ok {
			wire[i].IfVersion = &version
		}
		if era, ok := w.IfEra.Get(); ok {
			wire[i].IfEra = &era
		}
	}
	return wire
}

// PutObject stores an object and returns the era of the store. Storing the same content again has no effect. It returns
// *UnavailableError if nothing was stored, and *UnknownError if the object may have been stored.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) (uint64, error) {
	path := "/objects/" + url.PathEscape(name)
	resp, err := c.do(ctx, request{method: fasthttp.MethodPut, path: path, body: data, http: c.defaultHTTP})
	switch {
	case errors.Is(err, errDial), errors.Is(err, fasthttp.ErrNoFreeConns):
		return 0, &UnavailableError{Cause: err}
	case err != nil:
		return 0, &UnknownError{Cause: err}
	}
	if resp.status < fasthttp.StatusOK || resp.status >= fasthttp.StatusMultipleChoices {
		return 0, statusError("PUT "+path, resp.status, resp.body)
	}
	return resp.era, nil
}

// Object returns an object and whether it exists.
func (c *Client) Object(ctx context.Context, name string) ([]byte, bool, error) {
	resp, ok, err := c.read(ctx, "/objects/"+url.PathEscape(name), c.defaultHTTP)
	return resp.body, ok, err
}
