package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// backend is a stand-in of a backend server. It runs up to slots requests at once and queues up to queue more.
type backend struct {
	id, service, zone string
	address           string
	born              int64
	slots             int
	// work returns how long a request takes and the size of its answer.
	work func(r *http.Request) (time.Duration, int)
	rec  *recorder
	// control is the address for heartbeats.
	control string

	mu       sync.Mutex
	sequence int
	// silent is set while the backend sends no heartbeats.
	silent   bool
	arrivals []arrival
	running  map[string]bool
	runs     map[string]int
	seen     map[string]http.Header
	sem      chan struct{}
	queue    chan struct{}
	srv      *http.Server
}

// arrival is a request that a backend began to run.
type arrival struct {
	id string
	at time.Time
}

func (b *backend) start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.address, b.born = ln.Addr().String(), time.Now().UnixMilli()
	b.running, b.runs, b.seen = map[string]bool{}, map[string]int{}, map[string]http.Header{}
	b.sem, b.queue = make(chan struct{}, b.slots), make(chan struct{}, b.slots+20)
	b.srv = &http.Server{Handler: http.HandlerFunc(b.handle), IdleTimeout: 10 * time.Second}
	go func() { _ = b.srv.Serve(ln) }()
	return nil
}

// beat sends heartbeats until ctx ends.
func (b *backend) beat(ctx context.Context) {
	c := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		b.mu.Lock()
		silent := b.silent
		b.mu.Unlock()
		if silent {
			return
		}
		resp, err := c.Post("http://"+b.control+"/api/Instances.Heartbeat/"+b.id, "application/json", bytes.NewReader(b.nextBeat()))
		pause := 1500 * time.Millisecond
		if err == nil {
			_ = resp.Body.Close()
		}
		if err != nil || resp.StatusCode != http.StatusOK {
			pause = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// nextBeat returns the body of the next heartbeat.
func (b *backend) nextBeat() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return fmt.Appendf(nil, `{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","sequence":%d,"cold_remaining":"0ms"}}`,
		b.address, b.born, b.service, b.zone, b.slots, b.sequence)
}

// post sends a call to the control address and returns the status, or 0 if there is no answer within a second.
func (b *backend) post(path string, body []byte) int {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post("http://"+b.control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		b.rec.line("announcement", "path", path, "body", string(body), "error", err)
		return 0
	}
	_ = resp.Body.Close()
	b.rec.line("announcement", "path", path, "body", string(body), "status", resp.StatusCode)
	return resp.StatusCode
}

func (b *backend) setSilent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = true
}

func (b *backend) arrived() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival{}, b.arrivals...)
}

func (b *backend) handle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", b.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Request-Id")
	notRun := func(status int) {
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if id == "" {
		notRun(http.StatusBadRequest)
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != b.id {
		notRun(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		ms = 30000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	select {
	case b.queue <- struct{}{}:
		defer func() { <-b.queue }()
	default:
		notRun(http.StatusServiceUnavailable)
		return
	}
	select {
	case b.sem <- struct{}{}:
		defer func() { <-b.sem }()
	case <-ctx.Done():
		notRun(http.StatusServiceUnavailable)
		return
	}
	work, size := b.work(r)
	b.mu.Lock()
	b.running[id] = true
	b.runs[id]++
	b.arrivals = append(b.arrivals, arrival{id, time.Now()})
	b.seen[id] = r.Header.Clone()
	b.mu.Unlock()
	b.rec.line("run-begin", "request", id, "backend", b.id, "service", b.service, "body", len(body))
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Signature", "sig."+b.id+"."+id)
	status := http.StatusOK
	select {
	case <-time.After(work):
	case <-ctx.Done():
		status = http.StatusGatewayTimeout
	}
	b.mu.Lock()
	delete(b.running, id)
	b.mu.Unlock()
	b.rec.line("run-end", "request", id, "backend", b.id, "status", status)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(answerBody(id, size))
}

// answerBody returns the body of the answer to a request.
func answerBody(id string, size int) []byte {
	return bytes.Repeat([]byte(id+"."), size/(len(id)+1)+1)[:size]
}

func (b *backend) isRunning(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running[id]
}

func (b *backend) runCount(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}
