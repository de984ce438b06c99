package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["leaving-forgotten"] = leavingForgotten }

// leavingForgotten: a backend deregisters and goes on serving for some seconds. Its last heartbeat from before that comes late. In
// between, the nodes are stopped and started in turn.
func leavingForgotten(w *world) (int, error) {
	const (
		drain = 2500 * time.Millisecond
		leave = 9 * time.Second
		gap   = time.Second
		stay  = 13 * time.Second // how long the backend goes on serving
	)
	leaving := w.add("viveiro-1", "viveiro", "rn-natal", "rn")
	w.add("viveiro-2", "viveiro", "rn-touros", "rn")
	w.add("mapas-1", "mapas", "rn-natal", "rn")
	w.configure(1, []route{
		{"pedido-muda", "viveiro.example", "/pedido/", "unsafe", "2000ms", "2000ms", 0, "viveiro", 2},
		{"mapa-leitura", "mapas.example", "/mapa/", "safe", "1500ms", "1500ms", 2, "mapas", 2},
	}, map[string]int{"viveiro": 532, "mapas": 532})
	if err := w.start(); err != nil {
		return couldNot, err
	}
	var mu sync.Mutex
	var late, lateInTouch int
	var gone *backend
	for _, n := range w.nodes {
		b := &backend{n: n, slots: 72, work: func(*http.Request) (time.Duration, int) { return 40 * time.Millisecond, 400 }}
		if n == leaving {
			gone = b
			b.onRun = func(id, _ string) bool {
				b.mu.Lock()
				left := b.leftAt
				b.mu.Unlock()
				if left == 0 || w.rec.now() < left+drain {
					return true
				}
				mu.Lock()
				defer mu.Unlock()
				late++
				inTouch := true
				for _, n := range w.nodes {
					inTouch = inTouch && n.inTouch()
				}
				if inTouch {
					lateInTouch++
				}
				w.rec.add("LATE", "%s runs at %s %.1f s after its leaving was acknowledged, all machines in touch: %v", id, b.id,
					(w.rec.now() - left).Seconds(), inTouch)
				return true
			}
		}
		if err := b.boot(); err != nil {
			return couldNot, err
		}
	}
	if err := w.awaitReady(8 * time.Second); err != nil {
		return couldNot, err
	}
	done := make(chan struct{})
	defer close(done)
	for _, n := range w.nodes[1:] {
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(60 * time.Millisecond):
				}
				if n.takesWork() {
					go n.once(request{id: newRequestID(), method: http.MethodPost, host: "viveiro.example", path: "/pedido/1",
						deadline: 5 * time.Second, body: 300})
				}
			}
		}()
	}
	w.until(leave - 200*time.Millisecond)
	gone.mu.Lock()
	url, beat := gone.beatLocked()
	gone.silent = true
	gone.mu.Unlock()
	w.rec.add("beat-delayed", "%s sends a heartbeat, state ready, which the way holds back", gone.id)
	w.until(leave)
	if !gone.deregister() {
		w.say("the deregistration was not acknowledged")
		return couldNot, nil
	}
	w.until(leave + 200*time.Millisecond)
	if w.trouble {
		for i := range w.nodes {
			n := w.nodes[(i+1)%len(w.nodes)] // The machine of the leaving backend comes last.
			n.term()
			time.Sleep(gap)
		}
		if err := leaving.awaitRestart(2, 10*time.Second); err != nil {
			return couldNot, err
		}
	} else {
		w.until(leave + 5500*time.Millisecond)
	}
	status, err := post(&http.Client{Timeout: time.Second}, url, beat)
	w.rec.add("beat-arrives", "%s %.1f s late: %d %v", gone.id, (w.rec.now() - leave + 200*time.Millisecond).Seconds(), status, err)
	w.until(leave + stay)
	gone.end("backend-exit")
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	w.say("requests that reached the backend later than %v after the acknowledgement: %d, with all machines in touch %d", drain, late, lateInTouch)
	if lateInTouch > 0 {
		return broken, nil
	}
	return held, nil
}
