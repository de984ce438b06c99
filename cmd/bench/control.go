package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"lovagelane/testbed"
)

const (
	targetNodes       = 590
	cpuTargetPercent  = 1.6
	memoryTargetMB    = 128
	trafficTargetKBps = 28.0

	// controlWarmUp lets the connections opened for joining close and the runtime return the memory used at the start.
	controlWarmUp = 8 * time.Second
	// idleWindow is long enough for at least one renewal of each node's row in the store.
	idleWindow  = 30 * time.Second
	eventWindow = 10 * time.Second
	// freezeDuration is long enough for a suspicion, which takes 3 s without a message and a dial of 2 s, and too short for
	// a removal.
	freezeDuration      = 7 * time.Second
	controlReadyTimeout = 90 * time.Second
	// minZoneLossNodes is the smallest deployment whose loss of an availability zone is measured. Zones of smaller
	// deployments have too few nodes for a useful result.
	minZoneLossNodes = 40
)

var controlZones = []string{"rn-1", "rn-2", "rn-3", "ce-1", "ce-2"}

// controlRow holds the cost of one event, or of the idle state, at one deployment size. All values are per node. The values
// of events exclude the idle cost.
type controlRow struct {
	event                                      string
	nodes                                      int
	cpuMS, sent, received, reads, writes, took float64
	memoryMB                                   float64
}

// controlRun holds the state and results of the measurement of one deployment.
type controlRun struct {
	deployment *testbed.Deployment
	nodes      []*testbed.Place
	extra      *testbed.Place
	configText func(version int) (inventory, rules string)
	idle       usage
	version    int
	rows       []controlRow
}

// runControl measures the idle cost of a node at each deployment size and fits a line through the results.
// docs/CAPACITY.md derives the target size from it.
func runControl(ctx context.Context, b *bench) error {
	rows, err := b.measureControlSizes(ctx, false)
	for _, r := range rows {
		cpu := 100 * r.cpuMS / 1000
		traffic := (r.sent + r.received) / 1000
		at := fmt.Sprintf(" of a node among %d, idle", r.nodes)
		b.addRow("processor"+at, "%.2f%% of a core", cpu, "-", -1, "at most 1.6%", cpu <= cpuTargetPercent)
		b.addRow("memory"+at, "%.1f MB", r.memoryMB, "-", -1, "at most 128 MB", r.memoryMB <= memoryTargetMB)
		b.addRow("control traffic"+at, "%.2f KB/s", traffic, "-", -1, "at most 28 KB/s", traffic <= trafficTargetKBps)
	}
	return err
}

// runEvents measures the cost of single events for a node, excluding the idle cost.
func runEvents(ctx context.Context, b *bench) error {
	_, err := b.measureControlSizes(ctx, true)
	return err
}

func (b *bench) measureControlSizes(ctx context.Context, events bool) (rows []controlRow, err error) {
	for _, size := range b.nodeCounts {
		var r []controlRow
		r, err = b.measureControl(ctx, size, events)
		rows = append(rows, r...)
		if err != nil {
			err = fmt.Errorf("%d nodes: %w", size, err)
			break
		}
	}
	printControl(rows)
	return rows, err
}

// controlServices returns four services across the five availability zones. Each service has one backend server that all
// its nodes share.
func controlServices(size int) []testbed.Service {
	var services []testbed.Service
	for _, name := range []string{"maps", "nursery", "imagery", "payments"} {
		services = append(services, testbed.Service{Name: name, Slots: 16, Connections: 2000, Timeout: time.Second})
	}
	for i := range size {
		s := &services[i%len(services)]
		s.Zones = append(s.Zones, controlZones[i/len(services)%len(controlZones)])
	}
	return slices.DeleteFunc(services, func(s testbed.Service) bool { return len(s.Zones) == 0 })
}

func (b *bench) measureControl(ctx context.Context, size int, events bool) (rows []controlRow, err error) {
	deployment, err := testbed.New(ctx, testbed.Options{Bin: b.bin, SharedBackends: true})
	if err != nil {
		return nil, err
	}
	defer func() {
		deployment.Stop()
		if err == nil {
			_ = deployment.Remove()
		} else {
			err = fmt.Errorf("%w (logs are in %s)", err, deployment.Dir())
		}
	}()
	services := controlServices(size)
	extra := testbed.Service{Name: "extra", Zones: controlZones[:1], Slots: 16, Connections: 2000, Timeout: time.Second}
	inventory := testbed.Inventory(append(slices.Clone(services), extra))
	r := &controlRun{deployment: deployment, configText: func(version int) (string, string) {
		return inventory, fmt.Sprintf("[class ordinary]\nrank = %d\ndefault = yes\n", 1+version%7)
	}}
	started := time.Now()
	if err := deployment.Add(services...); err != nil {
		return nil, err
	}
	r.nodes = slices.Clone(deployment.Places)
	readyCtx, cancel := context.WithTimeout(ctx, controlReadyTimeout)
	defer cancel()
	if err := deployment.WaitHealthy(readyCtx); err != nil {
		return nil, err
	}
	if err := r.apply(readyCtx); err != nil {
		return nil, err
	}
	if err := deployment.WaitReady(readyCtx, 1); err != nil {
		return nil, err
	}
	fmt.Printf("- %d nodes: ready %.1f s after the start of the first; load average %s\n", size,
		time.Since(started).Seconds(), loadAverage())
	if err = r.measureIdle(ctx); err == nil && events {
		err = r.measureEvents(ctx, extra)
	}
	return r.rows, err
}

func (r *controlRun) measureIdle(ctx context.Context) error {
	if err := sleep(ctx, controlWarmUp); err != nil {
		return err
	}
	before, err := r.usage(ctx)
	if err != nil {
		return err
	}
	if err := sleep(ctx, idleWindow); err != nil {
		return err
	}
	after, err := r.usage(ctx)
	if err != nil {
		return err
	}
	r.idle = after.minus(before)
	r.idle.memory = after.memory
	r.addRow("idle", r.idle, 1/r.idle.duration.Seconds(), 0)
	return nil
}

func (r *controlRun) measureEvents(ctx context.Context, extra testbed.Service) error {
	steps := []struct {
		name   string
		window time.Duration
		run    func(ctx context.Context) (float64, error)
	}{
		{"configuration change", eventWindow, r.changeConfig},
		{"join", eventWindow, func(ctx context.Context) (float64, error) { return r.startExtraNode(ctx, extra) }},
		{"leave", eventWindow, r.stopExtraNode},
		{"suspicion, refuted", eventWindow, r.freezeNode},
		{"death", eventWindow * 3 / 2, r.killExtraNode},
	}
	for _, s := range steps {
		if err := r.measureEvent(ctx, s.name, s.window, s.run); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	if len(r.nodes) < minZoneLossNodes {
		return nil
	}
	return r.killZone(ctx)
}

// measureEvent adds a row with the cost per node during the window in which the event happens, excluding the idle cost.
func (r *controlRun) measureEvent(ctx context.Context, name string, window time.Duration,
	run func(ctx context.Context) (float64, error)) error {
	before, err := r.usage(ctx)
	if err != nil {
		return err
	}
	start := time.Now()
	took, err := run(ctx)
	if err != nil {
		return err
	}
	if err := sleep(ctx, max(0, window-time.Since(start))); err != nil {
		return err
	}
	after, err := r.usage(ctx)
	if err != nil {
		return err
	}
	r.addRow(name, after.minus(before).minusIdle(r.idle), 1, took)
	return nil
}

func (r *controlRun) addRow(event string, u usage, scale, took float64) {
	n := float64(len(r.nodes))
	r.rows = append(r.rows, controlRow{event: event, nodes: len(r.nodes), cpuMS: u.cpu.Seconds() * 1000 * scale / n,
		sent: u.sent * scale / n, received: u.received * scale / n, reads: u.reads * scale / n, writes: u.writes * scale / n,
		took: took, memoryMB: u.memory / n})
}

func (r *controlRun) apply(ctx context.Context) error {
	r.version++
	inventory, rules := r.configText(r.version)
	_, err := r.deployment.Apply(ctx, inventory, rules)
	return err
}

// changeConfig returns the time from the start of the apply command until the last node logged the version as in force.
func (r *controlRun) changeConfig(ctx context.Context) (float64, error) {
	start := time.Now()
	if err := r.apply(ctx); err != nil {
		return 0, err
	}
	var last time.Time
	for _, p := range r.nodes {
		at, err := findInForceTime(filepath.Join(r.deployment.Dir(), p.Node.Name+".log"), r.version)
		if err != nil {
			return 0, err
		}
		if at.After(last) {
			last = at
		}
	}
	return last.Sub(start).Seconds(), nil
}

var inForceLine = regexp.MustCompile(`time=(\S+) .*event=config-in-force version=(\d+)`)

func findInForceTime(log string, version int) (time.Time, error) {
	f, err := os.Open(log)
	if err != nil {
		return time.Time{}, err
	}
	defer f.Close()
	s := bufio.NewScanner(f)
	for s.Scan() {
		m := inForceLine.FindStringSubmatch(s.Text())
		if m != nil && m[2] == fmt.Sprint(version) {
			return time.Parse(time.RFC3339Nano, m[1])
		}
	}
	return time.Time{}, errors.Join(s.Err(), fmt.Errorf("%s does not log when version %d came into force", log, version))
}

// startExtraNode starts an additional node. It does not poll the nodes, since polls would add to their processor time.
func (r *controlRun) startExtraNode(_ context.Context, extra testbed.Service) (float64, error) {
	if err := r.deployment.Add(extra); err != nil {
		return 0, err
	}
	r.extra = r.deployment.Places[len(r.deployment.Places)-1]
	return 0, nil
}

func (r *controlRun) stopExtraNode(context.Context) (float64, error) {
	return 0, r.extra.Node.Terminate()
}

// freezeNode freezes a node that the ring monitors until it is suspected, and then lets it refute the suspicion.
func (r *controlRun) freezeNode(ctx context.Context) (float64, error) {
	p := r.nodes[0].Node
	if err := p.Freeze(); err != nil {
		return 0, err
	}
	return 0, errors.Join(sleep(ctx, freezeDuration), p.Resume())
}

// killExtraNode restarts the additional node, waits until all nodes know it, and kills it. It returns the time until all
// nodes have removed it.
func (r *controlRun) killExtraNode(ctx context.Context) (float64, error) {
	start := time.Now()
	if err := r.extra.Node.Start(); err != nil {
		return 0, err
	}
	if err := r.waitForMembership(ctx, r.nodes, len(r.nodes)+1); err != nil {
		return 0, err
	}
	fmt.Printf("- %d nodes: a node that starts is known to all after %.1f s\n", len(r.nodes), time.Since(start).Seconds())
	if err := sleep(ctx, time.Second); err != nil {
		return 0, err
	}
	start = time.Now()
	if err := r.extra.Node.Kill(); err != nil {
		return 0, err
	}
	err := r.waitForMembership(ctx, r.nodes, len(r.nodes))
	return time.Since(start).Seconds(), err
}

// killZone kills all nodes of an availability zone at once and then restarts them all at once.
func (r *controlRun) killZone(ctx context.Context) error {
	allNodes := r.nodes
	var lost []*testbed.Place
	r.nodes = nil
	for _, p := range allNodes {
		if p.Zone == controlZones[1] {
			lost = append(lost, p)
		} else {
			r.nodes = append(r.nodes, p)
		}
	}
	// The idle cost is the sum over all nodes, so it is scaled down to the remaining ones.
	r.idle = r.idle.scaled(float64(len(r.nodes)) / float64(len(allNodes)))
	err := r.measureEvent(ctx, "zone lost", eventWindow, func(ctx context.Context) (float64, error) {
		start := time.Now()
		for _, p := range lost {
			if err := p.Node.Kill(); err != nil {
				return 0, err
			}
		}
		err := r.waitForMembership(ctx, r.nodes, len(r.nodes))
		return time.Since(start).Seconds(), err
	})
	if err != nil {
		return err
	}
	counts, err := r.deployment.PlatformCounts(ctx)
	if err != nil {
		return err
	}
	err = r.measureEvent(ctx, "zone back", eventWindow, func(ctx context.Context) (float64, error) {
		start := time.Now()
		for _, p := range lost {
			if err := p.Node.Start(); err != nil {
				return 0, err
			}
		}
		if err := sleep(ctx, time.Second); err != nil {
			return 0, err
		}
		// A node does not restart if another program has taken one of its ports.
		restarted := slices.DeleteFunc(slices.Clone(lost), func(p *testbed.Place) bool { return !p.Node.Running() })
		if len(restarted) < len(lost) {
			fmt.Printf("- %d nodes did not find their ports free\n", len(lost)-len(restarted))
		}
		alive := append(slices.Clone(r.nodes), restarted...)
		err := r.waitForMembership(ctx, alive, len(alive))
		return time.Since(start).Seconds(), err
	})
	if err != nil {
		return err
	}
	after, err := r.deployment.PlatformCounts(ctx)
	fmt.Printf("- %d nodes, %d of them start at once: the store saw %d reads and %d writes until all were known\n", len(allNodes),
		len(lost), after.Reads-counts.Reads, after.Writes-counts.Writes)
	return err
}

// waitForMembership waits until all nodes have the given number of members in their view, including themselves.
func (r *controlRun) waitForMembership(ctx context.Context, nodes []*testbed.Place, members int) error {
	ctx, cancel := context.WithTimeout(ctx, controlReadyTimeout)
	defer cancel()
	for _, p := range nodes {
		err := testbed.PollUntil(ctx, "view of "+p.Node.Name, func(ctx context.Context) error {
			n, err := metric(ctx, p, "gauges", "members")
			if err == nil && int(n) != members-1 {
				err = fmt.Errorf("%v other members instead of %d", n, members-1)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func metric(ctx context.Context, p *testbed.Place, kind, name string) (float64, error) {
	m, err := p.Metrics(ctx)
	if err != nil {
		return 0, err
	}
	values, _ := m[kind].(map[string]any)
	v, ok := values[name].(float64)
	if !ok {
		return 0, fmt.Errorf("the node has no metric %s in %s", name, kind)
	}
	return v, nil
}

// usage holds the resources that the nodes have used since their start, summed over the nodes, and the reads and
// writes of the store.
type usage struct {
	cpu                                   time.Duration
	memory, sent, received, reads, writes float64
	at                                    time.Time
	duration                              time.Duration
}

func (u usage) minus(old usage) usage {
	return usage{cpu: u.cpu - old.cpu, memory: u.memory - old.memory, sent: u.sent - old.sent,
		received: u.received - old.received, reads: u.reads - old.reads, writes: u.writes - old.writes, duration: u.at.Sub(old.at)}
}

func (u usage) scaled(f float64) usage {
	return usage{cpu: time.Duration(float64(u.cpu) * f), memory: u.memory * f, sent: u.sent * f, received: u.received * f,
		reads: u.reads * f, writes: u.writes * f, duration: u.duration}
}

// minusIdle subtracts the idle cost of the same time span.
func (u usage) minusIdle(idle usage) usage {
	f := float64(u.duration) / float64(idle.duration)
	idlePart := idle.scaled(f)
	idlePart.memory, idlePart.at = 0, time.Time{}
	rest := u.minus(idlePart)
	rest.duration = u.duration
	return rest
}

func (r *controlRun) usage(ctx context.Context) (usage, error) {
	u := usage{at: time.Now()}
	counts, err := r.deployment.PlatformCounts(ctx)
	if err != nil {
		return u, err
	}
	u.reads, u.writes = float64(counts.Reads), float64(counts.Writes)
	for _, p := range r.nodes {
		cpu, memory, err := processUsage(p.Node.PID())
		if err != nil {
			return u, err
		}
		m, err := p.Metrics(ctx)
		if err != nil {
			return u, err
		}
		counters, _ := m["counters"].(map[string]any)
		sent, ok1 := counters["control-bytes-sent"].(float64)
		received, ok2 := counters["control-bytes-received"].(float64)
		if !ok1 || !ok2 {
			return u, fmt.Errorf("%s has no count of control bytes", p.Node.Name)
		}
		u.cpu += cpu
		u.memory += memory
		u.sent += sent
		u.received += received
	}
	return u, nil
}

// processUsage returns the processor time of all threads, at scheduler precision, and the resident memory in MB.
func processUsage(pid int) (cpu time.Duration, memory float64, err error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(files) == 0 {
		return 0, 0, fmt.Errorf("process %d has no scheduler statistics: %w", pid, err)
	}
	for _, name := range files {
		b, err := os.ReadFile(name)
		if err != nil {
			return 0, 0, err
		}
		var ran, waited, slices int64
		if _, err := fmt.Sscan(string(b), &ran, &waited, &slices); err != nil {
			return 0, 0, err
		}
		cpu += time.Duration(ran)
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, 0, err
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(b), &size, &resident); err != nil {
		return 0, 0, err
	}
	return cpu, float64(resident) * float64(os.Getpagesize()) / 1e6, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(b))[:3], " ")
}

// printControl prints the rows and, for each event, the line fitted over the sizes and its value at the target size.
func printControl(rows []controlRow) {
	fmt.Println("\nFor each node; idle is for each second, events are the whole event beyond idle.")
	fmt.Println()
	fmt.Println("| event | nodes | processor ms | memory MB | bytes sent | bytes received | store reads | store writes | took s |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	var events []string
	for _, r := range rows {
		fmt.Printf("| %s | %d | %.2f | %.1f | %.0f | %.0f | %.3f | %.3f | %.1f |\n", r.event, r.nodes, r.cpuMS, r.memoryMB, r.sent,
			r.received, r.reads, r.writes, r.took)
		if !slices.Contains(events, r.event) {
			events = append(events, r.event)
		}
	}
	fmt.Println("\nLeast squares over the number of nodes:")
	fmt.Println()
	fmt.Println("| event | measure | for each further node | at 0 nodes | at 590 nodes |")
	fmt.Println("|---|---|---|---|---|")
	measures := []struct {
		name  string
		value func(controlRow) float64
	}{
		{"processor ms", func(r controlRow) float64 { return r.cpuMS }},
		{"memory MB", func(r controlRow) float64 { return r.memoryMB }},
		{"bytes sent", func(r controlRow) float64 { return r.sent }},
		{"bytes received", func(r controlRow) float64 { return r.received }},
		{"store reads", func(r controlRow) float64 { return r.reads }},
		{"store writes", func(r controlRow) float64 { return r.writes }},
		{"took s", func(r controlRow) float64 { return r.took }},
	}
	for _, event := range events {
		for _, m := range measures {
			var xs, ys []float64
			for _, r := range rows {
				if r.event == event {
					xs, ys = append(xs, float64(r.nodes)), append(ys, m.value(r))
				}
			}
			if len(xs) > 1 {
				slope, at0 := leastSquares(xs, ys)
				fmt.Printf("| %s | %s | %.5f | %.3f | %.3f |\n", event, m.name, slope, at0, at0+slope*targetNodes)
			}
		}
	}
	fmt.Println()
}

// leastSquares returns the slope of the line through the points and its value at 0.
func leastSquares(xs, ys []float64) (slope, at0 float64) {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx += x
		sy += ys[i]
		sxx += x * x
		sxy += x * ys[i]
	}
	if d := n*sxx - sx*sx; d != 0 {
		slope = (n*sxy - sx*sy) / d
	}
	return slope, (sy - slope*sx) / n
}
