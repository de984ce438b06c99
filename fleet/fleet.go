package fleet

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"lovagelane/kernel"
	"lovagelane/keys"
	"lovagelane/membership"
	"lovagelane/tablestore"
)

const (
	// maxConcurrentRequests bounds the concurrent requests of GetAll.
	maxConcurrentRequests = 64
	// requestTimeout bounds connecting and each request of GetAll and Notify; a drain sets its own, longer timeout.
	requestTimeout = 3 * time.Second
	// maxResponseBytes bounds the response body of a node.
	maxResponseBytes = 8 << 20
)

// Paths of the operator endpoints on the calls listener of a node.
const (
	PathVersion = "/lovagelane/version"
	PathNotice  = "/lovagelane/notice"
	PathStatus  = "/lovagelane/status"
	PathDrain   = "/lovagelane/drain"
	PathBurn    = "/lovagelane/burn"
)

// Err is the class of errors of this package, such as an unreachable node or store.
var Err = errs.Class("fleet")

// Fleet is an HTTP client for the operator endpoints of the nodes. It authenticates with an operator's key.
type Fleet struct {
	client *http.Client
}

// New returns a Fleet that uses the operator's key in a directory written by "lovagelane keys".
func New(keysDir string) (*Fleet, error) {
	keyring, err := keys.Load(keys.PathsIn(keysDir, keys.RoleOperator))
	if err != nil {
		return nil, Err.Wrap(err)
	}
	dialer := &net.Dialer{Timeout: requestTimeout}
	return &Fleet{client: &http.Client{Transport: &http.Transport{
		DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			secured := tls.Client(conn, keyring.ClientConfig("http/1.1"))
			if err := secured.HandshakeContext(ctx); err != nil {
				_ = conn.Close()
				return nil, err
			}
			return secured, nil
		},
	}}}, nil
}

// Members returns the members listed in the store, or those in the view of the given node if node is not empty.
func (f *Fleet) Members(ctx context.Context, store, node string) ([]membership.Member, error) {
	if node != "" {
		return f.membersInViewOf(ctx, node)
	}
	client, err := tablestore.NewClient(store, 0)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	defer client.Close()
	_, rows, err := client.Rows(ctx, tablestore.MembersTable, tablestore.Mark{})
	if err != nil {
		return nil, Err.New("the store does not list the nodes (%v): name one of them with --node", err)
	}
	members := []membership.Member{}
	for _, row := range rows {
		if row.Deleted || row.Err != nil {
			continue
		}
		if decoded, err := membership.DecodeRow(row.Key, row.Value); err == nil && decoded.IsLive(row.Age()) {
			members = append(members, decoded.Member)
		}
	}
	return members, nil
}

func (f *Fleet) membersInViewOf(ctx context.Context, node string) ([]membership.Member, error) {
	var status struct {
		Member  membership.Member   `json:"member"`
		Members []membership.Member `json:"members"`
	}
	if err := f.Request(ctx, node, http.MethodGet, PathStatus, &status); err != nil {
		return nil, err
	}
	return append(status.Members, status.Member), nil
}

// Request sends a request to the calls address of a node and decodes the JSON response into v, unless v is nil.
func (f *Fleet) Request(ctx context.Context, address, method, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, method, "https://"+address+path, nil)
	if err != nil {
		return Err.Wrap(err)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return unreachableError(address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return Err.Wrap(err)
	}
	if resp.StatusCode == http.StatusNotFound {
		return Err.New("node %s does not know %s for this key: use an operator's key, or upgrade the older program", address, path)
	}
	if resp.StatusCode != http.StatusOK {
		return Err.New("node %s answered %d on %s: %s", address, resp.StatusCode, path, b)
	}
	if v == nil {
		return nil
	}
	return Err.Wrap(json.Unmarshal(b, v))
}

// unreachableError returns an error with the likely cause and the remedy for a node that did not respond.
func unreachableError(address string, err error) error {
	var cause *url.Error
	if errors.As(err, &cause) {
		err = cause.Err // without the URL, which repeats the address
	}
	var header tls.RecordHeaderError
	if errors.As(err, &header) || strings.Contains(err.Error(), "HTTP response to HTTPS client") {
		return Err.New("%s does not speak TLS: name the calls address of the node, not callers, backend or admin", address)
	}
	return Err.New("node %s does not answer (%v): check the address, which is calls-listen of its settings", address, err)
}

// Answer holds the response of a node or the error of the request.
type Answer[T any] struct {
	Member membership.Member
	Value  T
	Err    error
}

// GetAll sends a GET request to all members concurrently and returns one Answer for each, in the order of members.
func GetAll[T any](ctx context.Context, f *Fleet, members []membership.Member, path string) []Answer[T] {
	answers := make([]Answer[T], len(members))
	pool := kernel.NewPool(maxConcurrentRequests, len(members)+1)
	var wait sync.WaitGroup
	for i, m := range members {
		wait.Add(1)
		task := func() {
			defer wait.Done()
			ctx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			answers[i].Member = m
			answers[i].Err = f.Request(ctx, m.Calls, http.MethodGet, path, &answers[i].Value)
		}
		if !pool.Submit(task) {
			task()
		}
	}
	wait.Wait()
	pool.Stop()
	return answers
}

// Version is the response body of PathVersion.
type Version struct {
	ConfigurationVersion uint64 `json:"configuration-version"`
}

// Notify makes up to three nodes poll the store for a new configuration now; the others receive it from them by gossip.
func (f *Fleet) Notify(ctx context.Context, members []membership.Member) {
	for _, m := range members[:min(len(members), 3)] {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		_ = f.Request(ctx, m.Calls, http.MethodPost, PathNotice, nil)
		cancel()
	}
}
