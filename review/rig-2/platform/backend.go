package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the time between two announcements of a backend.
const heartbeat = 1500 * time.Millisecond

// backend is a stand-in for the application backend of a machine.
type backend struct {
	n     *node
	slots int
	// work returns how long a request runs, and the size of its answer.
	work func(r *http.Request) (time.Duration, int)
	// link, if set, is the link that the answers pass.
	link *link
	// onRun, if set, is called when a request begins to run. It reports false if the backend crashes by that.
	onRun func(id, path string) bool

	mu       sync.Mutex
	id       string
	born     int64
	sequence uint64
	state    string
	life     int
	server   *http.Server
	running  int
	silent   bool
	// leftAt is when the first acknowledgement of the leaving came, or 0.
	leftAt time.Duration
}

// boot starts a new incarnation.
func (b *backend) boot() error {
	ln, err := net.Listen("tcp", b.n.appAddr)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.life++
	b.id, b.born = fmt.Sprintf("i-%s-%d", b.n.name, b.life), time.Now().UnixMilli()
	b.sequence, b.state, b.running, b.leftAt, b.silent = 0, "ready", 0, 0, false
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: 10 * time.Second}
	server, life := b.server, b.life
	b.mu.Unlock()
	b.n.w.rec.add("backend-start", "%s", b.id)
	go func() { _ = server.Serve(ln) }()
	go b.announce(life)
	return nil
}

// end ends the incarnation and all its connections, as a crash or an exit does.
func (b *backend) end(event string) {
	b.mu.Lock()
	server, id := b.server, b.id
	b.life++
	b.mu.Unlock()
	b.n.w.rec.add(event, "%s", id)
	_ = server.Close()
}

func (b *backend) announce(life int) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	for {
		b.mu.Lock()
		if b.life != life || b.silent {
			b.mu.Unlock()
			return
		}
		url, body := b.beatLocked()
		b.mu.Unlock()
		_, _ = post(client, url, body)
		time.Sleep(heartbeat)
	}
}

// beatLocked returns the address and the body of the next heartbeat.
func (b *backend) beatLocked() (string, []byte) {
	b.sequence++
	body, _ := json.Marshal(map[string]any{"address": b.n.appAddr, "born": b.born,
		"info":   map[string]any{"service": b.n.service, "version": "v1", "zone": b.n.zone, "slots": b.slots},
		"status": map[string]any{"state": b.state, "sequence": b.sequence, "cold_remaining": "0ms"}})
	return "http://" + b.n.control + "/api/Instances.Heartbeat/" + b.id, body
}

// deregister says that the backend is leaving, without a heartbeat that says so before, until that is acknowledged.
func (b *backend) deregister() bool {
	b.mu.Lock()
	b.silent = true
	url := "http://" + b.n.control + "/api/Instances.Deregister/" + b.id
	body, _ := json.Marshal(map[string]any{"born": b.born})
	id := b.id
	b.mu.Unlock()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	for range 4 {
		status, err := post(client, url, body)
		b.n.w.rec.add("deregister", "%s answered %d %v", id, status, err)
		if status/100 == 2 {
			b.mu.Lock()
			b.leftAt = b.n.w.rec.now()
			b.mu.Unlock()
			return true
		}
		time.Sleep(heartbeat)
	}
	return false
}

func post(client *http.Client, url string, body []byte) (int, error) {
	resp, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	b.mu.Lock()
	own, state := b.id, b.state
	b.mu.Unlock()
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", own)
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if t := r.Header.Get("X-Target-Instance"); t != "" && t != own {
		w.Header().Set("X-Instance-Id", own)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	left, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	b.mu.Lock()
	full := b.running >= b.slots
	if !full {
		b.running++
	}
	b.mu.Unlock()
	if full || id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
	}()
	_, _ = io.Copy(io.Discard, r.Body)
	b.n.w.rec.add("run", "%s at %s %s %s caller %s left %d ms", id, own, r.Method, r.URL.Path, r.Header.Get("X-Caller-Service"), left)
	if b.onRun != nil && !b.onRun(id, r.URL.Path) {
		panic(http.ErrAbortHandler)
	}
	work, size := b.work(r)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
	defer cancel()
	select {
	case <-time.After(work):
	case <-ctx.Done():
		if r.Context().Err() != nil {
			b.n.w.rec.add("run-cancelled", "%s at %s", id, own)
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("X-Server-Signature", "sig."+own+"."+id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	b.n.w.rec.add("ran", "%s at %s", id, own)
	w.Header().Set("X-Server-Signature", "sig."+own+"."+id)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	for part := make([]byte, 32<<10); size > 0; size -= len(part) {
		part = part[:min(len(part), size)]
		b.link.take(len(part))
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}

// link is the link of a machine, which bounds the bytes a second of all answers to that machine together. A nil link has no bound.
type link struct {
	bytesPerSecond int

	mu   sync.Mutex
	free time.Time
}

// take waits until the link has brought so many bytes more.
func (l *link) take(size int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(size) * time.Second / time.Duration(l.bytesPerSecond))
	until := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(until))
}
