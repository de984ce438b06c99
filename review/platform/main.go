// Command platform plays the cases of the review: it starts nodes of lovagelane as processes and stand-ins of the platform's
// store, of backends and of clients, disturbs them, and checks one rule.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime limits a case.
const maxRunTime = 110 * time.Second

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	begin time.Time
}

func (r *recorder) line(event string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f %s", time.Since(r.begin).Seconds(), event)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(r.f, " %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Fprintln(r.f)
}

// deployment is the store, the nodes and the backends of a case.
type deployment struct {
	root, dir string
	trouble   bool
	rec       *recorder
	store     *store
	nodes     []*node
	done      chan struct{}
	// closing is set when no further process may start.
	closing atomic.Bool
	ctx     context.Context
	cancel  context.CancelFunc
}

func newDeployment(root, recordPath string, trouble bool) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	d := &deployment{root: root, dir: dir, trouble: trouble, rec: &recorder{f: f, begin: time.Now()}, done: make(chan struct{})}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.store, err = startStore()
	return d, err
}

// endEarly ends the case as not run when it takes too long or is interrupted.
func (d *deployment) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(maxRunTime):
	}
	d.rec.line("not-run", "error", "interrupted or out of time")
	d.close()
	os.Exit(exitNotRun)
}

// close ends all processes.
func (d *deployment) close() {
	d.cancel()
	d.closing.Store(true)
	close(d.done)
	for _, n := range d.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
	_ = d.rec.f.Close()
}

type routeConfig struct {
	Name          string `json:"name"`
	Host          string `json:"host"`
	Prefix        string `json:"prefix"`
	Kind          string `json:"kind"`
	Timeout       string `json:"timeout,omitempty"`
	TargetLatency string `json:"target_latency"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	MaxAttempts   int    `json:"max_attempts"`
}

// configure writes a configuration.
func (d *deployment) configure(version string, services map[string]int, routes ...routeConfig) {
	list := []map[string]any{}
	for name, connections := range services {
		list = append(list, map[string]any{"name": name, "health_check_path": "/health", "max_connections": connections,
			"protocol": "h1", "tls": false})
	}
	b, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"}})
	d.store.put("op", "config", b)
	d.rec.line("config", "text", string(b))
}

// add starts a backend and a node beside it.
func (d *deployment) add(name, zone, region string, b *backend) (*node, error) {
	b.id, b.zone, b.rec = "i-"+name, zone, d.rec
	if err := b.start(); err != nil {
		return nil, err
	}
	n, err := newNode(d, name, zone, region, b)
	if err != nil {
		return nil, err
	}
	if err := n.start(); err != nil {
		return nil, err
	}
	d.nodes = append(d.nodes, n)
	go b.beat(d.ctx)
	go n.pollReady(d.done)
	return n, nil
}

// awaitReady waits until all nodes are ready and serve a request on the path.
func (d *deployment) awaitReady(host, path string) error {
	limit := time.Now().Add(15 * time.Second)
	for _, n := range d.nodes {
		for served := 0; served < 5; {
			if time.Now().After(limit) {
				return fmt.Errorf("node %s is not ready", n.name)
			}
			q := request{id: fmt.Sprintf("warm-%s-%d", n.name, time.Now().UnixNano()), method: "GET", path: path, host: host, deadline: 2 * time.Second}
			if n.isReady.Load() && do(n.outbound, q).status == 200 {
				served++
				continue
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3500 * time.Millisecond) // All nodes have read all rows by then.
	d.rec.line("ready")
	return nil
}

// recordResponse writes what a client saw.
func (d *deployment) recordResponse(n *node, r response) {
	d.rec.line("client", "request", r.req.id, "node", n.name, "sent", fmt.Sprintf("%.3f", r.sentAt.Sub(d.rec.begin).Seconds()),
		"status", r.status, "signature", r.signature, "retry-after", r.retryAfter, "length", r.length, "read", r.read,
		"complete", r.complete, "intact", r.intact, "error", r.err)
}

var cases = map[string]func(d *deployment) (broken []string, err error){
	"slow-reader-stop": slowReaderStop,
	"queued-stop":      queuedStop,
	"slow-readers":     slowReaders,
	"uploads":          uploads,
	"leave-restart":    leaveRestart,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: platform CASE REPOSITORY RECORD")
		os.Exit(exitNotRun)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	d, err := newDeployment(root, os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	d.rec.line("case", "name", os.Args[1], "trouble", d.trouble)
	go d.endEarly()
	broken, err := cases[os.Args[1]](d)
	code := exitHeld
	switch {
	case err != nil:
		d.rec.line("not-run", "error", err)
		fmt.Println("the case could not run:", err)
		code = exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			d.rec.line("broken", "what", b)
		}
		fmt.Printf("rule broken %d times, first: %s\n", len(broken), broken[0])
		code = exitBroken
	default:
		d.rec.line("held")
		fmt.Println("rule held")
	}
	d.close()
	os.Exit(code)
}
