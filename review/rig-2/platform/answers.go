package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["first-answers"] = firstAnswers }

// slowReader is how many bytes of an answer a client on a slow link takes in a second.
const slowReader = 1 << 20

// readSlowly sends a request on a connection of its own and reads its answer as a slow link brings it, until the deadline.
func (n *node) readSlowly(q request) {
	rec := n.w.rec
	k, err := n.dial()
	if err != nil {
		rec.add("no-connection", "%s to %s %v", q.id, n.name, err)
		return
	}
	defer k.c.Close()
	rec.add("send", "%s to %s %s %s%s", q.id, n.name, q.method, q.host, q.path)
	resp, err := k.begin(q)
	if err != nil {
		rec.add("no-answer", "%s %v", q.id, err)
		return
	}
	defer resp.Body.Close()
	buffer, size := make([]byte, 16<<10), 0
	for {
		count, err := resp.Body.Read(buffer)
		size += count
		if err != nil {
			rec.add("answer", "%s %d read %d of %d %v", q.id, resp.StatusCode, size, resp.ContentLength, err)
			return
		}
		time.Sleep(time.Duration(count) * time.Second / slowReader)
	}
}

// firstAnswers: users open the photos of a route that nobody has used since the nodes started. With the burst they come at once.
func firstAnswers(w *world) (int, error) {
	const (
		photo    = 8000000
		calm     = 30 // clients, one after the other
		crowd    = 54 // clients that come at once, 1.8 times as many
		calmRate = 3  // a second
	)
	entry := w.add("mapas-1", "mapas", "rn-natal", "rn")
	w.add("mapas-2", "mapas", "rn-touros", "rn")
	for _, p := range [][2]string{{"imagens-1", "rn-natal"}, {"imagens-2", "rn-touros"}, {"imagens-3", "rn-natal"}} {
		w.add(p[0], "imagens", p[1], "rn")
	}
	w.configure(1, []route{
		{"foto-duna", "imagens.example", "/foto/", "download", "10000ms", "2500ms", 2, "imagens", 2},
		{"mapa-leitura", "mapas.example", "/mapa/", "safe", "5000ms", "1500ms", 2, "mapas", 2},
	}, map[string]int{"imagens": 532, "mapas": 532})
	if err := w.start(); err != nil {
		return couldNot, err
	}
	photos := &link{bytesPerSecond: 1000e6 / 8} // link_mbps of the machine whose clients open the photos
	var runs sync.Map
	for _, n := range w.nodes {
		b := &backend{n: n, slots: 72, work: func(*http.Request) (time.Duration, int) {
			return 500*time.Millisecond + rand.N(500*time.Millisecond), 400
		}}
		if n.service == "imagens" {
			b.work, b.link = func(*http.Request) (time.Duration, int) { return 150 * time.Millisecond, photo }, photos
		}
		b.onRun = func(id, _ string) bool { runs.Store(id, true); return true }
		if err := b.boot(); err != nil {
			return couldNot, err
		}
	}
	if err := w.awaitReady(8 * time.Second); err != nil {
		return couldNot, err
	}
	done := make(chan struct{})
	defer close(done)
	lost := w.readers(entry, 20, "mapas.example", "/mapa/", &runs, done)
	w.until(8 * time.Second)
	clients := calm
	if w.trouble {
		clients = crowd
	}
	for range clients {
		go entry.readSlowly(request{id: newRequestID(), method: http.MethodGet, host: "imagens.example", path: "/foto/" + newRequestID(),
			deadline: 10 * time.Second})
		if !w.trouble {
			time.Sleep(time.Second / calmRate)
		}
	}
	time.Sleep(11 * time.Second)
	for _, n := range w.nodes {
		n.mu.Lock()
		w.say("%s: most memory %d MB of %d, killed for it %d times", n.name, n.peak>>20, memoryMB, n.kills)
		n.mu.Unlock()
	}
	w.say("kept connections of %s closed without an answer: %d", entry.name, lost.Load())
	entry.mu.Lock()
	defer entry.mu.Unlock()
	if entry.kills > 0 && lost.Load() > 3 {
		return broken, nil
	}
	return held, nil
}
