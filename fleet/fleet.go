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
	// together bounds the nodes that are asked at once.
	together = 64
	// answerTimeout bounds one question; a drain states a longer time itself.
	answerTimeout = 3 * time.Second
	// maxAnswer bounds the answer of a node, in bytes.
	maxAnswer = 8 << 20
)

// Paths that nodes answer to operators on their calls listener.
const (
	PathVersion = "/lovagelane/version"
	PathNotice  = "/lovagelane/notice"
	PathStatus  = "/lovagelane/status"
	PathDrain   = "/lovagelane/drain"
	PathBurn    = "/lovagelane/burn"
)

// Err is the class of errors for a node or a store that cannot be reached.
var Err = errs.Class("fleet")

// Fleet asks the nodes of a deployment.
type Fleet struct {
	client *http.Client
}

// Open returns a fleet for the operator's key in a directory that lovagelane keys wrote.
func Open(keysDir string) (*Fleet, error) {
	keyring, err := keys.Load(keys.PathsIn(keysDir, keys.RoleOperator))
	if err != nil {
		return nil, Err.Wrap(err)
	}
	dialer := &net.Dialer{Timeout: answerTimeout}
	return &Fleet{client: &http.Client{Transport: &http.Transport{
		DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			secured := tls.Client(conn, keyring.Client("http/1.1"))
			if err := secured.HandshakeContext(ctx); err != nil {
				_ = conn.Close()
				return nil, err
			}
			return secured, nil
		},
	}}}, nil
}

// Members returns the members that the store lists, or, when a node is named, those that this node sees.
func (f *Fleet) Members(ctx context.Context, store, node string) ([]membership.Member, error) {
	if node != "" {
		return f.membersOf(ctx, node)
	}
	client, err := tablestore.NewClient(store, 0)
	if err != nil {
		return nil, Err.Wrap(err)
	}
	defer client.Close()
	_, rows, err := client.Rows(ctx, tablestore.MembersTable, 0)
	if err != nil {
		return nil, Err.New("the store does not list the nodes (%v): name one of them with --node", err)
	}
	members := []membership.Member{}
	for _, row := range rows {
		var a announcement
		if err := json.Unmarshal([]byte(row.Value), &a); err == nil && !row.Deleted && row.Age() < a.lease() {
			members = append(members, a.Member)
		}
	}
	return members, nil
}

// announcement is a row of the members table.
type announcement struct {
	Member      membership.Member `json:"member"`
	LeaseMillis int64             `json:"lease-ms"`
}

func (a announcement) lease() time.Duration { return time.Duration(a.LeaseMillis) * time.Millisecond }

func (f *Fleet) membersOf(ctx context.Context, node string) ([]membership.Member, error) {
	var view struct {
		Member  membership.Member   `json:"member"`
		Members []membership.Member `json:"members"`
	}
	if err := f.Ask(ctx, node, http.MethodGet, PathStatus, &view); err != nil {
		return nil, err
	}
	return append(view.Members, view.Member), nil
}

// Ask sends a request to the calls address of a node and reads its JSON answer into v, unless v is nil.
func (f *Fleet) Ask(ctx context.Context, address, method, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, method, "https://"+address+path, nil)
	if err != nil {
		return Err.Wrap(err)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return unreachable(address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
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

// unreachable explains why a node gave no answer.
func unreachable(address string, err error) error {
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

// Answer is what one node said, or why it did not.
type Answer[T any] struct {
	Member membership.Member
	Value  T
	Err    error
}

// AskAll asks many nodes at once and returns an answer for each, in the order of the members.
func AskAll[T any](ctx context.Context, f *Fleet, members []membership.Member, path string) []Answer[T] {
	answers := make([]Answer[T], len(members))
	pool := kernel.NewPool(together, len(members)+1)
	var wait sync.WaitGroup
	for i, m := range members {
		wait.Add(1)
		task := func() {
			defer wait.Done()
			ctx, cancel := context.WithTimeout(ctx, answerTimeout)
			defer cancel()
			answers[i].Member = m
			answers[i].Err = f.Ask(ctx, m.Calls, http.MethodGet, path, &answers[i].Value)
		}
		if !pool.Submit(task) {
			task()
		}
	}
	wait.Wait()
	pool.Stop()
	return answers
}

// Version is a node's answer on PathVersion.
type Version struct {
	ConfigurationVersion uint64 `json:"configuration-version"`
}

// Notify tells a few nodes to look for a new configuration now; the others hear of it from them.
func (f *Fleet) Notify(ctx context.Context, members []membership.Member) {
	for _, m := range members[:min(len(members), 3)] {
		ctx, cancel := context.WithTimeout(ctx, answerTimeout)
		_ = f.Ask(ctx, m.Calls, http.MethodPost, PathNotice, nil)
		cancel()
	}
}
