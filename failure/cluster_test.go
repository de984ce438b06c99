package failure

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/semaphore"

	"lovagelane/node"
	"lovagelane/standin"
	"lovagelane/testbed"
)

const (
	// maxProcesses bounds the number of processes of all tests that run in parallel.
	maxProcesses = 25
	// eventTimeout is how long a test waits for an event; it is far above the time that any event takes.
	eventTimeout = 60 * time.Second
	// sendTimeout is how long a caller waits for an answer; it is longer than the timeout of every service.
	sendTimeout = 10 * time.Second
)

var (
	// bin is the directory of the programs under test.
	bin          string
	processSlots = semaphore.NewWeighted(maxProcesses)
)

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "lovagelane-failure-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	bin = dir
	if given := os.Getenv("FAILURE_BIN"); given != "" {
		// Use the programs of a mutated copy of the sources, to check which tests detect the mutation.
		bin = given
		return m.Run()
	}
	out, err := exec.Command("go", "build", "-o", dir+"/", "lovagelane/cmd/lovagelane", "lovagelane/cmd/standin").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v: %s\n", err, out)
		return 1
	}
	return m.Run()
}

// cluster is the deployment of one test.
type cluster struct {
	*testbed.Deployment
	t        *testing.T
	ctx      context.Context
	services []testbed.Service
	rules    string
	journal  string
}

// newCluster starts a deployment with configuration 1 in force on all nodes, and stops it after the test. Each process that
// still runs must then exit without being killed.
func newCluster(t *testing.T, rules string, services ...testbed.Service) *cluster {
	return newClusterWithReserve(t, 0, rules, services...)
}

// newClusterWithReserve is newCluster with a reserve in maxProcesses for processes that the test starts later.
func newClusterWithReserve(t *testing.T, reserve int64, rules string, services ...testbed.Service) *cluster {
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	t.Cleanup(cancel)
	count := 1 + reserve
	for _, s := range services {
		count += 2 * int64(len(s.Zones))
	}
	require.NoError(t, processSlots.Acquire(ctx, count))
	t.Cleanup(func() { processSlots.Release(count) })
	deployment, err := testbed.New(ctx, testbed.Options{Bin: bin})
	require.NoError(t, err)
	cl := &cluster{Deployment: deployment, t: t, ctx: ctx, rules: rules, journal: filepath.Join(deployment.Dir(), "journal")}
	t.Cleanup(cl.stop)
	for _, s := range services {
		s.BackendFlags = append([]string{"--journal", cl.journal, "--fixed"}, s.BackendFlags...)
		cl.services = append(cl.services, s)
	}
	ready, cancelReady := context.WithTimeout(ctx, eventTimeout)
	defer cancelReady()
	// Start the node that is the seed of all others first. Nodes that start at the same time can miss it and then discover
	// each other only at the next listing of the store, up to a minute later; docs/PROOFS.md lists this as not proved.
	first, rest := cl.services[0], cl.services[0]
	first.Zones, rest.Zones = first.Zones[:1], rest.Zones[1:]
	require.NoError(t, deployment.Add(first))
	require.NoError(t, deployment.WaitHealthy(ready))
	require.NoError(t, deployment.Add(append([]testbed.Service{rest}, cl.services[1:]...)...))
	require.NoError(t, deployment.WaitHealthy(ready))
	_, err = deployment.Apply(ready, testbed.Inventory(cl.services), rules)
	require.NoError(t, err)
	require.NoError(t, deployment.WaitReady(ready, 1))
	return cl
}

func (cl *cluster) stop() {
	result := cl.Stop()
	if cl.t.Failed() {
		cl.t.Log("settings and logs are in", cl.Dir())
		return
	}
	require.Empty(cl.t, result.Running, "processes that could not be stopped")
	require.Empty(cl.t, result.Failed, "processes with a bad exit status")
	require.NoError(cl.t, cl.Remove())
}

// eventually retries f until it returns no error, and fails the test after eventTimeout.
func (cl *cluster) eventually(what string, f func(context.Context) error) {
	cl.t.Helper()
	ctx, cancel := context.WithTimeout(cl.ctx, eventTimeout)
	defer cancel()
	require.NoError(cl.t, testbed.PollUntil(ctx, what, f))
}

// awaitServing waits until the place's node has at least the given configuration version in force and its backend server is
// up.
func (cl *cluster) awaitServing(p *testbed.Place, version uint64) {
	cl.t.Helper()
	cl.awaitStatus(p, "serving", func(s node.Status) bool { return s.BackendServerUp && s.ConfigurationVersion >= version })
}

// awaitStatus waits until the status of the place's node satisfies ok.
func (cl *cluster) awaitStatus(p *testbed.Place, what string, ok func(node.Status) bool) {
	cl.t.Helper()
	cl.eventually(p.Node.Name+" "+what, func(ctx context.Context) error {
		s, err := p.Status(ctx)
		if err == nil && !ok(s) {
			err = fmt.Errorf("status is %+v", s)
		}
		return err
	})
}

// runCommand runs an operator's command and returns its combined output.
func (cl *cluster) runCommand(args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(cl.ctx, eventTimeout)
	defer cancel()
	out, err := exec.CommandContext(ctx, filepath.Join(bin, "lovagelane"), args...).CombinedOutput()
	return string(out), err
}

// writeConfig writes a configuration into a new directory and returns the directory.
func (cl *cluster) writeConfig(rules string) string {
	dir, err := os.MkdirTemp(cl.Dir(), "configuration-")
	require.NoError(cl.t, err)
	require.NoError(cl.t, os.WriteFile(filepath.Join(dir, "inventory.ini"), []byte(testbed.Inventory(cl.services)), 0o644))
	require.NoError(cl.t, os.WriteFile(filepath.Join(dir, "rules.ini"), []byte(rules), 0o644))
	return dir
}

// starts returns the requests that backend servers have started, including backend servers that were killed since.
func (cl *cluster) starts() []standin.JournalEntry {
	f, err := os.Open(cl.journal)
	if os.IsNotExist(err) {
		return nil
	}
	require.NoError(cl.t, err)
	defer f.Close()
	var all []standin.JournalEntry
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var s standin.JournalEntry
		if json.Unmarshal(lines.Bytes(), &s) == nil {
			all = append(all, s)
		}
	}
	return all
}

// startCount returns how often an order was started on a path.
func (cl *cluster) startCount(path, order string) int {
	n := 0
	for _, s := range cl.starts() {
		if s.Path == path && s.Order == order {
			n++
		}
	}
	return n
}

// reply is the result of one send; err is set if no complete answer arrived.
type reply struct {
	status                  int
	outcome, reason, ticket string
	body                    []byte
	err                     error
}

// callerClient does not reuse connections, since the nodes that it calls are killed and frozen.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true,
	DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}, Timeout: sendTimeout}

// send sends a request without retries; headers are pairs of name and value.
func send(ctx context.Context, address, method, path string, body []byte, headers ...string) reply {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i+1 < len(headers); i += 2 {
		if headers[i+1] != "" {
			req.Header.Set(headers[i], headers[i+1])
		}
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	r := reply{status: resp.StatusCode, outcome: resp.Header.Get("Lovagelane-Outcome"),
		reason: resp.Header.Get("Lovagelane-Reason"), ticket: resp.Header.Get("Lovagelane-Ticket")}
	r.body, r.err = io.ReadAll(resp.Body)
	return r
}

func orderBody(order string) []byte {
	return fmt.Appendf(nil, `{"request":%q,"order":%q}`, order, order)
}

// ticket gets a ticket for an order from a node.
func (cl *cluster) ticket(p *testbed.Place, path, order string) string {
	r := send(cl.ctx, p.Callers, "POST", path, orderBody(order))
	require.NoError(cl.t, r.err)
	require.Equal(cl.t, "ticket-required", r.reason)
	require.NotEmpty(cl.t, r.ticket)
	return r.ticket
}
