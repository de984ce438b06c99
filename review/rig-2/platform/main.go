// Command rig plays the cases of a review: it starts nodes as the deploy file says, beside stand-ins of the platform's store, of
// backends and of clients, all on loopback addresses.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases are the cases by name.
var cases = map[string]func(w *world) (int, error){}

// world is a small deployment.
type world struct {
	repo, dir, storeAddr string
	net                  string
	trouble              bool
	rec                  *record
	store                *store
	nodes                []*node
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE REPOSITORY RECORD")
		return couldNot
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		return couldNot
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	w := &world{repo: os.Args[2], dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	if w.rec, err = newRecord(os.Args[3]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.end()
		os.Exit(couldNot)
	}()
	code, err := func() (int, error) {
		if err := w.open(); err != nil {
			return couldNot, err
		}
		return play(w)
	}()
	w.end()
	if err != nil {
		w.say("could not run: %v", err)
		code = couldNot
	}
	w.say("exit %d (trouble %v)", code, w.trouble)
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", dir)
	} else {
		_ = os.RemoveAll(dir)
	}
	return code
}

func (w *world) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	w.rec.add("result", format, args...)
}

// open chooses a loopback network of its own and starts the store.
func (w *world) open() error {
	var err error
	for range 20 {
		w.net = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		w.storeAddr = w.net + ".200:8309"
		if w.store, err = startStore(w.storeAddr); err == nil {
			return nil
		}
	}
	return err
}

func (w *world) end() {
	for _, n := range w.nodes {
		n.mu.Lock()
		n.stopped = true
		n.mu.Unlock()
	}
	for _, n := range w.nodes {
		n.end()
	}
}

// add adds a machine.
func (w *world) add(name, service, zone, region string) *node {
	n := &node{w: w, name: name, ip: fmt.Sprintf("%s.%d", w.net, len(w.nodes)+1), service: service, zone: zone, region: region}
	n.inbound, n.appAddr, n.ready, n.outbound, n.control = n.at(8300), n.at(8301), n.at(8302), n.at(8304), n.at(8306)
	w.nodes = append(w.nodes, n)
	return n
}

// start starts the processes of all machines.
func (w *world) start() error {
	for _, n := range w.nodes {
		if err := n.writeSettings(); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
		go n.pollReady()
		go n.watchMemory()
	}
	return nil
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady(limit time.Duration) error {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range w.nodes {
			all = all && n.takesWork()
		}
		if all {
			return nil
		}
	}
	return fmt.Errorf("not all nodes are ready after %v", limit)
}

// route is a route of the configuration.
type route struct {
	Name          string `json:"name"`
	Host          string `json:"host"`
	Prefix        string `json:"prefix"`
	Kind          string `json:"kind"`
	Timeout       string `json:"timeout"`
	TargetLatency string `json:"target_latency"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	MaxAttempts   int    `json:"max_attempts"`
}

// configure writes a configuration into the store.
func (w *world) configure(version int, routes []route, services map[string]int) {
	var list []map[string]any
	for name, connections := range services {
		list = append(list, map[string]any{"name": name, "health_check_path": "/health", "max_connections": connections,
			"protocol": "h1", "tls": false})
	}
	b, _ := json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms",
			"idle_timeout": "15000ms"}})
	w.store.put("op", "config", b)
	w.rec.add("config", "r%d", version)
}

// until sleeps until a time of the case.
func (w *world) until(t time.Duration) { time.Sleep(t - w.rec.now()) }
