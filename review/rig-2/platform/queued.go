package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["queued-bodies"] = queuedBodies }

// readers keeps connections of clients of a machine in use with short reads, and counts those that end while the node has passed
// the request on to a backend. It returns the count.
func (w *world) readers(n *node, connections int, host, path string, runs *sync.Map, done <-chan struct{}) *atomic.Int64 {
	var lost atomic.Int64
	for range connections {
		go func() {
			var k *clientConn
			answered := 0
			for {
				select {
				case <-done:
					return
				default:
				}
				if !n.takesWork() {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				if k == nil {
					var err error
					if k, err = n.dial(); err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					answered = 0
				}
				q := request{id: newRequestID(), method: http.MethodGet, host: host, path: path + newRequestID(), deadline: 5 * time.Second}
				p := k.do(q)
				if p.err == nil {
					answered++
					time.Sleep(20 * time.Millisecond)
					continue
				}
				_ = k.c.Close()
				k = nil
				if _, ran := runs.Load(q.id); ran && answered > 0 && p.took < q.deadline-100*time.Millisecond {
					lost.Add(1)
					w.rec.add("LOST", "%s ran at a sound backend, and %s closed its kept connection without an answer", q.id, n.name)
				}
			}
		}()
	}
	return &lost
}

// queuedBodies: users upload photos to a service whose backends are busy for a time, because many of them come at once.
func queuedBodies(w *world) (int, error) {
	const (
		body  = 1250000 // 1.25 MB
		calm  = 55      // uploads a second, 80% of what the backends can do
		crowd = 1.8     // times as many during the burst
		burst = 18 * time.Second
	)
	var serving []*node
	for _, p := range [][3]string{{"imagens-1", "rn-natal", "rn"}, {"imagens-2", "rn-touros", "rn"}} {
		serving = append(serving, w.add(p[0], "imagens", p[1], p[2]))
	}
	var entries []*node
	for i, zone := range []string{"rn-natal", "rn-touros", "rn-natal", "rn-touros", "rn-natal", "rn-touros", "rn-natal", "rn-touros"} {
		entries = append(entries, w.add("mapas-"+string(rune('1'+i)), "mapas", zone, "rn"))
	}
	w.configure(1, []route{
		{"foto-envio", "imagens.example", "/foto/", "unsafe", "10000ms", "2500ms", 0, "imagens", 2},
		{"mapa-leitura", "mapas.example", "/mapa/", "safe", "5000ms", "1500ms", 2, "mapas", 2},
	}, map[string]int{"imagens": 256, "mapas": 532})
	if err := w.start(); err != nil {
		return couldNot, err
	}
	var runs sync.Map
	for _, n := range w.nodes {
		b := &backend{n: n, slots: 72, work: func(*http.Request) (time.Duration, int) {
			return 500*time.Millisecond + rand.N(500*time.Millisecond), 400
		}}
		if n.service == "imagens" {
			b.slots, b.work = 26, func(*http.Request) (time.Duration, int) { return 750 * time.Millisecond, 400 }
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
	var lost []*atomic.Int64
	for _, n := range serving {
		lost = append(lost, w.readers(n, 20, "mapas.example", "/mapa/", &runs, done))
	}
	for _, n := range serving {
		go n.watchReads()
	}
	w.until(6 * time.Second)
	upload := func(i int) {
		if n := entries[i%len(entries)]; n.takesWork() {
			go n.once(request{id: newRequestID(), method: http.MethodPost, host: "imagens.example", path: "/foto/" + newRequestID(),
				deadline: 10 * time.Second, body: body})
		}
	}
	began := w.rec.now()
	for i := 0; w.rec.now() < began+26*time.Second; i++ {
		upload(i)
		pause := float64(time.Second) / calm
		if t := w.rec.now() - began; w.trouble && t > 6*time.Second && t < 6*time.Second+burst {
			pause /= crowd
		}
		time.Sleep(time.Duration(pause))
	}
	time.Sleep(2 * time.Second)
	result := held
	for i, n := range serving {
		n.mu.Lock()
		w.say("%s: most memory %d MB of %d, killed for it %d times; at most %d Mbit/s read; kept connections closed without an answer: %d",
			n.name, n.peak>>20, memoryMB, n.kills, n.mostRead*8/1e6, lost[i].Load())
		if n.kills > 0 && lost[i].Load() > 3 {
			result = broken
		}
		n.mu.Unlock()
	}
	for _, n := range entries {
		n.mu.Lock()
		w.say("%s: most memory %d MB, killed for it %d times", n.name, n.peak>>20, n.kills)
		n.mu.Unlock()
	}
	return result, nil
}
