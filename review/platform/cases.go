package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const host = "hulo84.example"

// small deployment: two zones in one region, one service.
func (d *deployment) pair(slots int, work func(r *http.Request) (time.Duration, int)) error {
	for i, zone := range []string{"rn-natal", "rn-touros"} {
		b := &backend{service: "huvo11a", slots: slots, work: work}
		if _, err := d.add(fmt.Sprintf("sidecar-%s-%d", zone, i+1), zone, "rn", b); err != nil {
			return err
		}
	}
	return nil
}

func get(id, path string, deadline time.Duration) request {
	return request{id: id, method: http.MethodGet, path: path, host: host, deadline: deadline}
}

// duringStop reports whether a connection ended while the planned work of a SIGTERM excuses nothing: until 1 s after the grace
// period.
func duringStop(termAt, endedAt time.Time) bool {
	return endedAt.After(termAt) && endedAt.Before(termAt.Add(grace+time.Second))
}

// slowReaderStop stops a node with SIGTERM while clients read large answers slowly. They are done within their deadline and before
// the end of the grace period.
func slowReaderStop(d *deployment) ([]string, error) {
	const (
		clients  = 8
		size     = 8_000_000
		deadline = 5 * time.Second
		rate     = 200_000 // during the first slowFor, then as fast as the answer comes
		slowFor  = 3500 * time.Millisecond
	)
	d.configure("r7", map[string]int{"huvo11a": 352},
		routeConfig{Name: "r-photo", Host: host, Prefix: "/photo/", Kind: "download", TargetLatency: "4500ms", Priority: 2, Service: "huvo11a", MaxAttempts: 2},
		routeConfig{Name: "r-map", Host: host, Prefix: "/map/", Kind: "safe", TargetLatency: "1500ms", Priority: 0, Service: "huvo11a", MaxAttempts: 2})
	err := d.pair(42, func(r *http.Request) (time.Duration, int) {
		if bytes.HasPrefix([]byte(r.URL.Path), []byte("/photo/")) {
			return 80 * time.Millisecond, size
		}
		return 10 * time.Millisecond, 1000
	})
	if err != nil {
		return nil, err
	}
	if err := d.awaitReady(host, "/map/x"); err != nil {
		return nil, err
	}
	n := d.nodes[0]
	var wg sync.WaitGroup
	results := make([]response, clients)
	for i := range clients {
		wg.Go(func() {
			q := get(fmt.Sprintf("photo-%d", i), fmt.Sprintf("/photo/%d", i), deadline)
			q.bytesPerSecond, q.slowFor = rate, slowFor
			results[i] = do(n.outbound, q)
			d.recordResponse(n, results[i])
		})
	}
	time.Sleep(500 * time.Millisecond)
	termAt := time.Now()
	if d.trouble {
		n.stop()
	}
	wg.Wait()
	var broken []string
	for _, r := range results {
		if r.sentAt.IsZero() {
			return nil, fmt.Errorf("request %s could not be sent: %v", r.req.id, r.err)
		}
		// LOST: passed on to a backend, and the connection ended without a complete answer before the deadline, from the SIGTERM
		// until 1 s after the grace period. The route has no timeout, and the backend ends its work before the SIGTERM.
		passed := d.nodes[0].b.runCount(r.req.id)+d.nodes[1].b.runCount(r.req.id) > 0
		if passed && !r.complete && r.endedAt.Before(r.sentAt.Add(deadline)) && duringStop(termAt, r.endedAt) {
			broken = append(broken, fmt.Sprintf("LOST: %s was passed on, %d of %d bytes came, the connection ended %.2f s after SIGTERM and %.2f s after the request (deadline %v): %v",
				r.req.id, r.read, r.length, r.endedAt.Sub(termAt).Seconds(), r.endedAt.Sub(r.sentAt).Seconds(), deadline, r.err))
		}
	}
	return broken, nil
}

// queuedStop stops a node with SIGTERM while requests that it accepted wait for a slot, with more traffic than the backends can
// serve.
func queuedStop(d *deployment) ([]string, error) {
	const (
		deadline = 10 * time.Second
		timeout  = 8 * time.Second
		slots    = 4
		work     = 750 * time.Millisecond
		perS     = 16 // 1.5 times what 8 slots serve
		lead     = 14 * time.Second
		after    = 8 * time.Second
	)
	d.configure("r7", map[string]int{"huvo11a": 256},
		routeConfig{Name: "r-pay", Host: host, Prefix: "/pay/", Kind: "unsafe", Timeout: "8000ms", TargetLatency: "2500ms", Priority: 0, Service: "huvo11a", MaxAttempts: 2},
		routeConfig{Name: "r-map", Host: host, Prefix: "/map/", Kind: "safe", TargetLatency: "1500ms", Priority: 2, Service: "huvo11a", MaxAttempts: 2})
	err := d.pair(slots, func(r *http.Request) (time.Duration, int) {
		if bytes.HasPrefix([]byte(r.URL.Path), []byte("/pay/")) {
			return work, 400
		}
		return 10 * time.Millisecond, 1000
	})
	if err != nil {
		return nil, err
	}
	if err := d.awaitReady(host, "/map/x"); err != nil {
		return nil, err
	}
	type sent struct {
		n *node
		r response
	}
	var (
		mu      sync.Mutex
		results []sent
		wg      sync.WaitGroup
	)
	termAt := time.Now().Add(lead)
	end := termAt.Add(after)
	if d.trouble {
		wg.Go(func() {
			time.Sleep(time.Until(termAt))
			d.nodes[0].stop()
			if err := d.nodes[0].start(); err != nil {
				d.rec.line("restart-failed", "error", err)
			}
		})
	}
	for i := 0; time.Now().Before(end); i++ {
		n := d.nodes[i%2]
		if !n.isReady.Load() {
			n = d.nodes[(i+1)%2]
		}
		wg.Go(func() {
			q := request{id: fmt.Sprintf("pay-%d", i), method: http.MethodPost, path: fmt.Sprintf("/pay/%d", i), host: host,
				body: []byte("400 cuttings"), deadline: deadline}
			r := do(n.outbound, q)
			d.recordResponse(n, r)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, sent{n, r})
		})
		time.Sleep(time.Second / perS)
	}
	wg.Wait()
	var broken []string
	counts := map[int]int{}
	for _, s := range results {
		r := s.r
		counts[r.status]++
		if r.sentAt.IsZero() || s.n != d.nodes[0] || r.status != 0 {
			continue
		}
		took := r.endedAt.Sub(r.sentAt)
		runs := d.nodes[0].b.runCount(r.req.id) + d.nodes[1].b.runCount(r.req.id)
		// LOST: from the SIGTERM until 1 s after the grace period, the connection ended without an answer later than lost_time after the
		// request's last byte, before its deadline and the route's timeout. Requests at which a backend worked in the last sixth of the
		// grace period don't count: only those that no backend has begun are counted here. A request that the node had not read
		// is answered by nothing within lost_time, or the connection is refused.
		if runs == 0 && took > 200*time.Millisecond && took < timeout && duringStop(termAt, r.endedAt) {
			broken = append(broken, fmt.Sprintf("LOST: %s, sent %.2f s after SIGTERM, ended without an answer %.2f s after SIGTERM (%.2f s after it was sent, deadline %v, timeout %v), no backend ran it: %v",
				r.req.id, r.sentAt.Sub(termAt).Seconds(), r.endedAt.Sub(termAt).Seconds(), took.Seconds(), deadline, timeout, r.err))
		}
	}
	d.rec.line("statuses", "counts", fmt.Sprint(counts))
	fmt.Println("statuses (0: no answer):", counts)
	return broken, nil
}

// slowReaders lets clients of two nodes read large answers slowly, in waves, until each node's process has ended three times.
func slowReaders(d *deployment) ([]string, error) {
	const (
		clients  = 54
		gap      = 50 * time.Millisecond
		size     = 8_000_000
		deadline = 10 * time.Second
		waves    = 3
		limit    = 3
	)
	rate := 0
	if d.trouble {
		rate = 1_000_000 // 8 s for the answer
	}
	if err := d.startMemoryCase(routeConfig{Name: "r-photo", Host: host, Prefix: "/photo/", Kind: "download", TargetLatency: "2500ms",
		Priority: 2, Service: "huvo11a", MaxAttempts: 2}, 80*time.Millisecond, size); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	kills := make([]int, len(d.nodes))
	for i, n := range d.nodes {
		go n.limitMemory(d.done, func() {
			mu.Lock()
			defer mu.Unlock()
			kills[i]++
		})
	}
	var wg sync.WaitGroup
	counts := map[string]int{}
	for i, n := range d.nodes {
		wg.Go(func() {
			for w := range waves {
				if err := d.awaitServing(n); err != nil {
					d.rec.line("not-serving", "node", n.name, "error", err)
					return
				}
				var wave sync.WaitGroup
				for c := range clients {
					wave.Go(func() {
						q := get(fmt.Sprintf("photo-%d-%d-%d", i, w, c), fmt.Sprintf("/photo/%d", c), deadline)
						q.bytesPerSecond, q.slowFor = rate, deadline
						r := do(n.outbound, q)
						d.recordResponse(n, r)
						mu.Lock()
						defer mu.Unlock()
						counts[fmt.Sprintf("status %d complete %v", r.status, r.complete)]++
					})
					time.Sleep(gap)
				}
				wave.Wait()
			}
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	for _, n := range d.nodes {
		d.rec.line("memory", "node", n.name, "peak-mb", n.peakMB.Load(), "limit-mb", memoryMB)
		fmt.Println(n.name, "peak MB", n.peakMB.Load())
	}
	d.rec.line("outcomes", "counts", fmt.Sprint(counts), "kills", fmt.Sprint(kills))
	fmt.Println(counts, "ends of each process:", kills)
	// Fault: the processes of a tenth of the machines, two at least, end by themselves three times.
	var broken []string
	for i, n := range d.nodes {
		if kills[i] >= limit {
			broken = append(broken, fmt.Sprintf("Fault: the process of %s exceeded %d MB and ended %d times", n.name, memoryMB, kills[i]))
		}
	}
	if len(broken) < 2 {
		return nil, nil
	}
	return broken, nil
}

// awaitServing waits until a node is ready and serves a request.
func (d *deployment) awaitServing(n *node) error {
	for limit := time.Now().Add(15 * time.Second); time.Now().Before(limit); time.Sleep(100 * time.Millisecond) {
		q := get(fmt.Sprintf("serving-%s-%d", n.name, time.Now().UnixNano()), "/map/x", 2*time.Second)
		if do(n.outbound, q).status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node %s doesn't serve", n.name)
}

// uploads lets a fixed number of clients send large bodies, one after the other, and 1.8 times as many during a burst.
func uploads(d *deployment) ([]string, error) {
	const (
		usual    = 24
		burst    = 43
		rounds   = 3
		size     = 8_000_000
		work     = 2 * time.Second
		deadline = 10 * time.Second
	)
	clients := usual
	if d.trouble {
		clients = burst
	}
	return d.memoryCase(clients, rounds, 100*time.Millisecond, func(i int) request {
		return request{id: fmt.Sprintf("upload-%d", i), method: http.MethodPost, path: fmt.Sprintf("/upload/%d", i), host: host,
			body: bytes.Repeat([]byte{byte('a' + i%26)}, size), deadline: deadline}
	}, routeConfig{Name: "r-upload", Host: host, Prefix: "/upload/", Kind: "unsafe", TargetLatency: "2500ms", Priority: 0, Service: "huvo11a", MaxAttempts: 2},
		work, 400)
}

// leaveRestart kills and restarts the node beside a backend that then leaves with a deregistration. A heartbeat that the backend
// sent before arrives late.
func leaveRestart(d *deployment) ([]string, error) {
	const (
		drain    = 2500 * time.Millisecond
		contact  = 4 * time.Second
		leaveFor = 8 * time.Second
		restart  = 500 * time.Millisecond
		late     = 3 * time.Second
		deadline = 5 * time.Second
	)
	d.configure("r7", map[string]int{"huvo11a": 352},
		routeConfig{Name: "r-map", Host: host, Prefix: "/map/", Kind: "safe", TargetLatency: "1500ms", Priority: 2, Service: "huvo11a", MaxAttempts: 2},
		routeConfig{Name: "r-order", Host: host, Prefix: "/order/", Kind: "unsafe", TargetLatency: "2000ms", Priority: 0, Service: "huvo11a", MaxAttempts: 2})
	err := d.pair(8, func(r *http.Request) (time.Duration, int) { return 190 * time.Millisecond, 1500 })
	if err != nil {
		return nil, err
	}
	if _, err := d.add("sidecar-rn-natal-3", "rn-natal", "rn", &backend{service: "huvo11a", slots: 8,
		work: func(*http.Request) (time.Duration, int) { return 190 * time.Millisecond, 1500 }}); err != nil {
		return nil, err
	}
	if err := d.awaitReady(host, "/map/x"); err != nil {
		return nil, err
	}
	x := d.nodes[2]
	b := x.b
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var results []response
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			n := d.nodes[i%3]
			if !n.isReady.Load() {
				n = d.nodes[i%2]
			}
			wg.Go(func() {
				r := do(n.outbound, request{id: fmt.Sprintf("order-%d", i), method: http.MethodPost, path: fmt.Sprintf("/order/%d", i), host: host,
					body: []byte("400 seedlings"), deadline: deadline})
				d.recordResponse(n, r)
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			})
		}
	})
	time.Sleep(2 * time.Second)
	// The last heartbeat before the deregistration is under way when the node is killed and arrives late.
	b.setSilent()
	lateBeat, sentAt := b.nextBeat(), time.Now()
	if d.trouble {
		x.kill()
		time.Sleep(restart)
		if err := x.start(); err != nil {
			return nil, err
		}
	}
	startedAt := time.Now()
	time.Sleep(600 * time.Millisecond)
	ackAt := time.Time{}
	for range 10 {
		if b.post("/api/Instances.Deregister/"+b.id, nil) == http.StatusOK {
			ackAt = time.Now()
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	if ackAt.IsZero() {
		return nil, fmt.Errorf("the deregistration was not acknowledged")
	}
	d.rec.line("acknowledged", "backend", b.id)
	time.Sleep(time.Until(sentAt.Add(late)))
	b.post("/api/Instances.Heartbeat/"+b.id, lateBeat)
	time.Sleep(time.Until(ackAt.Add(leaveFor)))
	d.rec.line("backend-exits", "backend", b.id)
	_ = b.srv.Close()
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	var broken []string
	for _, a := range b.arrived() {
		if a.at.Sub(ackAt) > drain && a.at.Sub(startedAt) > contact {
			broken = append(broken, fmt.Sprintf("DRAIN: %s reached %s %.2f s after the acknowledgement of its leaving (drain %v) and %.2f s after its node's start (contact %v)",
				a.id, b.id, a.at.Sub(ackAt).Seconds(), drain, a.at.Sub(startedAt).Seconds(), contact))
		}
	}
	counts := map[int]int{}
	for _, r := range results {
		counts[r.status]++
	}
	d.rec.line("statuses", "counts", fmt.Sprint(counts))
	fmt.Println("statuses:", counts)
	return broken, nil
}

// startMemoryCase starts two nodes whose backends take the given time and answer with the given size.
func (d *deployment) startMemoryCase(route routeConfig, work time.Duration, size int) error {
	d.configure("r7", map[string]int{"huvo11a": 352}, route,
		routeConfig{Name: "r-map", Host: host, Prefix: "/map/", Kind: "safe", TargetLatency: "1500ms", Priority: 2, Service: "huvo11a", MaxAttempts: 2})
	err := d.pair(42, func(r *http.Request) (time.Duration, int) {
		if bytes.HasPrefix([]byte(r.URL.Path), []byte("/map/")) {
			return 10 * time.Millisecond, 1000
		}
		return work, size
	})
	if err != nil {
		return err
	}
	return d.awaitReady(host, "/map/x")
}

// memoryCase sends requests to one node, kills a node that exceeds its memory as the platform does, and counts the requests that
// were passed on from a kept connection, which then ended without an answer.
func (d *deployment) memoryCase(clients, rounds int, gap time.Duration, build func(i int) request, route routeConfig, work time.Duration, size int) ([]string, error) {
	if err := d.startMemoryCase(route, work, size); err != nil {
		return nil, err
	}
	kills := 0
	var mu sync.Mutex
	for _, n := range d.nodes {
		go n.limitMemory(d.done, func() {
			mu.Lock()
			defer mu.Unlock()
			kills++
		})
	}
	n := d.nodes[0]
	results := make([]response, clients*rounds)
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			for i := c; i < len(results); i += clients {
				q := build(i)
				warm := get("before-"+q.id, "/map/x", 5*time.Second)
				q.before = &warm
				results[i] = do(n.outbound, q)
				d.recordResponse(n, results[i])
			}
		})
		time.Sleep(gap)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	counts := map[string]int{}
	var broken []string
	for _, r := range results {
		counts[fmt.Sprintf("status %d complete %v", r.status, r.complete)]++
		runs := d.nodes[0].b.runCount(r.req.id) + d.nodes[1].b.runCount(r.req.id)
		// LOST: the request came on a kept connection and was passed on, and the connection ended without an answer.
		if runs > 0 && r.status == 0 && !r.sentAt.IsZero() && r.endedAt.Before(r.sentAt.Add(r.req.deadline-50*time.Millisecond)) {
			broken = append(broken, fmt.Sprintf("LOST: %s was passed on, and its connection ended without an answer %.2f s after it was sent: %v",
				r.req.id, r.endedAt.Sub(r.sentAt).Seconds(), r.err))
		}
	}
	for _, n := range d.nodes {
		d.rec.line("memory", "node", n.name, "peak-mb", n.peakMB.Load(), "limit-mb", memoryMB)
		fmt.Println(n.name, "peak MB", n.peakMB.Load())
	}
	d.rec.line("outcomes", "counts", fmt.Sprint(counts), "kills", kills)
	fmt.Println(counts, "kills", kills)
	if kills == 0 || len(broken) <= 3 {
		return nil, nil
	}
	return broken, nil
}
