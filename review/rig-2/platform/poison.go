package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["poison-forgotten"] = poisonForgotten }

// poisonForgotten: a request crashes each backend that begins to run it, and comes again every few seconds. The nodes are stopped
// and started in turn, three times.
func poisonForgotten(w *world) (int, error) {
	const (
		back = 2 * time.Second
		gap  = time.Second
		path = "/mapa/poison"
	)
	for _, p := range [][3]string{{"mapas-1", "rn-natal", "rn"}, {"mapas-2", "rn-touros", "rn"}, {"mapas-3", "ce-jeri", "ce"}} {
		w.add(p[0], "mapas", p[1], p[2])
	}
	entry := w.add("viveiro-1", "viveiro", "rn-natal", "rn")
	w.configure(1, []route{
		{"mapa-leitura", "mapas.example", "/mapa/", "safe", "1500ms", "1500ms", 2, "mapas", 2},
		{"pedido-muda", "viveiro.example", "/pedido/", "unsafe", "2000ms", "2000ms", 0, "viveiro", 2},
	}, map[string]int{"viveiro": 532, "mapas": 532})
	if err := w.start(); err != nil {
		return couldNot, err
	}
	var mu sync.Mutex
	var crashes, retries int
	var third time.Duration
	for _, n := range w.nodes {
		b := &backend{n: n, slots: 72, work: func(*http.Request) (time.Duration, int) { return 40 * time.Millisecond, 400 }}
		b.onRun = func(id, p string) bool {
			if p != path {
				return true
			}
			inTouch := n.inTouch() && entry.inTouch()
			mu.Lock()
			defer mu.Unlock()
			if crashes++; crashes == 3 {
				third = w.rec.now()
			}
			if crashes > 3 && w.rec.now() > third+contact && inTouch {
				retries++
			}
			w.rec.add("POISON", "%s crashes %s, crash %d, sending machines in touch %v, retries that count %d", id, n.name, crashes,
				inTouch, retries)
			b.end("backend-crash")
			time.AfterFunc(back, func() {
				if err := b.boot(); err != nil {
					w.rec.add("backend-failed", "%s %v", n.name, err)
				}
			})
			return false
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
	for _, n := range w.nodes {
		go func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				if n.takesWork() {
					go n.once(request{id: newRequestID(), method: http.MethodGet, host: "mapas.example", path: "/mapa/" + newRequestID(),
						deadline: 5 * time.Second})
				}
			}
		}()
	}
	poison := func() {
		entry.once(request{id: newRequestID(), method: http.MethodGet, host: "mapas.example", path: path, deadline: 5 * time.Second})
	}
	for round := range 4 {
		if round > 0 {
			if w.trouble {
				for i, n := range w.nodes {
					if i > 0 {
						time.Sleep(gap)
					}
					n.term()
				}
				for _, n := range w.nodes {
					if err := n.awaitRestart(round+1, 10*time.Second); err != nil {
						return couldNot, err
					}
				}
			} else {
				time.Sleep(7 * time.Second)
			}
		}
		time.Sleep(contact + 500*time.Millisecond)
		for range 3 {
			poison()
			time.Sleep(contact + 500*time.Millisecond)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	w.say("the request crashed %d backends; retries that reached one later than %v after the third crash, sent by machines in touch: %d (3 are allowed)",
		crashes, contact, retries)
	if retries > 3 {
		return broken, nil
	}
	return held, nil
}
