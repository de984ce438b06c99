package testbed

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"lovagelane/kernel"
	"lovagelane/keys"
	"lovagelane/membership"
	"lovagelane/node"
	"lovagelane/standin"
)

// stopGrace is how long a process may take to stop after SIGTERM before it is killed.
const stopGrace = 8 * time.Second

// Options describe a deployment.
type Options struct {
	// Bin is the directory with the built programs.
	Bin string
	// NodeSettings are further lines for the settings of each node, such as limiter = none.
	NodeSettings []string
	// NoNodes starts backend servers alone, to measure calls without the product.
	NoNodes bool
	// SharedBackends puts all nodes of a service beside one backend server, which saves half of the processes when only
	// the nodes matter.
	SharedBackends bool
}

// Bed is a deployment of real processes.
type Bed struct {
	opt   Options
	group *kernel.Group
	dir   string
	ports ports

	Platform *Process
	// Store is the base URL of the platform.
	Store  string
	Places []*Place

	// procs holds all processes in the order in which they were started.
	mu    sync.Mutex
	procs []*Process
}

// Place is a backend server with the node beside it.
type Place struct {
	Service, Zone string
	Backend, Node *Process
	// BackendAddress is that of the backend server; the others are those of the node's listeners.
	BackendAddress                         string
	Callers, Listen, Calls, Control, Admin string
}

// New starts the platform and issues the keys of a new deployment into a temporary directory.
func New(ctx context.Context, opt Options) (*Bed, error) {
	dir, err := os.MkdirTemp("", "lovagelane-testbed-")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	b := &Bed{opt: opt, dir: dir, group: kernel.NewGroup(context.WithoutCancel(ctx))}
	if err := b.startPlatform(ctx); err != nil {
		b.Stop()
		return nil, err
	}
	return b, nil
}

// Dir returns the temporary directory with keys, settings and logs.
func (b *Bed) Dir() string { return b.dir }

// Group returns the group that relays of the deployment run in.
func (b *Bed) Group() *kernel.Group { return b.group }

func (b *Bed) startPlatform(ctx context.Context) error {
	if err := keys.Issue(b.dir); err != nil {
		return err
	}
	addresses, err := b.ports.take(1)
	if err != nil {
		return err
	}
	b.Store = "http://" + addresses[0]
	if b.Platform, err = b.start("platform", "standin", "platform", "--listen", addresses[0]); err != nil {
		return err
	}
	return Until(ctx, "platform", func(ctx context.Context) error {
		return exchange(ctx, "GET", b.Store+"/standin/counts", nil, nil)
	})
}

func (b *Bed) start(name, program string, args ...string) (*Process, error) {
	p := NewProcess(b.group, name, b.dir, filepath.Join(b.opt.Bin, program), args...)
	if err := p.Start(); err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.procs = append(b.procs, p)
	return p, nil
}

// Add starts the backend servers of the services with their nodes; it does not wait until they serve.
func (b *Bed) Add(services ...Service) error {
	for _, s := range services {
		for _, zone := range s.Zones {
			if err := b.addPlace(s, zone); err != nil {
				return err
			}
		}
	}
	return nil
}

func (b *Bed) addPlace(s Service, zone string) error {
	a, err := b.ports.take(6)
	if err != nil {
		return err
	}
	p := &Place{Service: s.Name, Zone: zone, BackendAddress: a[0], Callers: a[1], Listen: a[2], Calls: a[3], Control: a[4],
		Admin: a[5]}
	// A place that is added later must not take the files of an earlier one.
	name := fmt.Sprintf("%s-%d", s.Name, len(b.Of(s.Name)))
	if first := b.Of(s.Name); b.opt.SharedBackends && len(first) > 0 {
		p.Backend, p.BackendAddress = first[0].Backend, first[0].BackendAddress
		return b.addNode(name, p)
	}
	args := append([]string{"backend-server", "--listen", p.BackendAddress, "--service", s.Name, "--node", p.Listen,
		"--slots", fmt.Sprint(s.Slots), "--connections", fmt.Sprint(s.Connections),
		"--seed", fmt.Sprint(len(b.Places) + 1)}, s.Backend...)
	if p.Backend, err = b.start(name+"-backend", "standin", args...); err != nil {
		return err
	}
	return b.addNode(name, p)
}

func (b *Bed) addNode(name string, p *Place) (err error) {
	if !b.opt.NoNodes {
		if p.Node, err = b.startNode(name+"-node", p); err != nil {
			return err
		}
	}
	b.Places = append(b.Places, p)
	return nil
}

// startNode writes the settings of a node, whose seeds are up to three places that were started before it.
func (b *Bed) startNode(name string, p *Place) (*Process, error) {
	var seeds []string
	for _, other := range b.Places[:min(3, len(b.Places))] {
		seeds = append(seeds, other.Control)
	}
	file := func(name string) string { return filepath.Join(b.dir, name) }
	lines := []string{"[node]",
		"service = " + p.Service, "availability-zone = " + p.Zone, "backend-server = " + p.BackendAddress,
		"callers-listen = " + p.Callers, "backend-listen = " + p.Listen, "calls-listen = " + p.Calls,
		"control-listen = " + p.Control, "admin-listen = " + p.Admin, "store = " + b.Store,
	}
	if len(seeds) > 0 {
		lines = append(lines, "seeds = "+strings.Join(seeds, ", "))
	}
	lines = append(lines, "[keys]", "certificate = "+file("node.pem"), "key = "+file("node-key.pem"),
		"authority = "+file("authority.pem"), "ticket-key = "+file("ticket-key"))
	if len(b.opt.NodeSettings) > 0 {
		lines = append(append(lines, "[baselines]"), b.opt.NodeSettings...)
	}
	settings := file(name + ".ini")
	if err := os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, Error.Wrap(err)
	}
	return b.start(name, "lovagelane", "node", "--settings", settings)
}

// Of returns the places of a service.
func (b *Bed) Of(service string) []*Place {
	var all []*Place
	for _, p := range b.Places {
		if p.Service == service {
			all = append(all, p)
		}
	}
	return all
}

// Callers returns the addresses at which the nodes take requests from outside callers.
func (b *Bed) Callers() []string {
	var all []string
	for _, p := range b.Places {
		all = append(all, p.Callers)
	}
	return all
}

// Apply applies a configuration with the operator's command, which returns when it is in force on every node, and
// returns what the command printed.
func (b *Bed) Apply(ctx context.Context, inventory, rules string) (string, error) {
	dir := filepath.Join(b.dir, "configuration")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", Error.Wrap(err)
	}
	for name, text := range map[string]string{"inventory.ini": inventory, "rules.ini": rules} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			return "", Error.Wrap(err)
		}
	}
	out, err := exec.CommandContext(ctx, filepath.Join(b.opt.Bin, "lovagelane"), "apply", "--store", b.Store, "--keys", b.dir,
		"--by", "testbed", dir).CombinedOutput()
	if err != nil {
		return "", Error.New("lovagelane apply: %v: %s", err, out)
	}
	return string(out), nil
}

// Up waits until the backend servers are healthy and the nodes answer, before any configuration is applied.
func (b *Bed) Up(ctx context.Context) error {
	for _, p := range b.Places {
		if err := Until(ctx, "backend server of "+p.Service, p.healthy); err != nil {
			return err
		}
		if p.Node == nil {
			continue
		}
		err := Until(ctx, "node of "+p.Service, func(ctx context.Context) error {
			_, err := p.Status(ctx)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Ready waits until each node has the configuration version in force and sees all backend servers serving.
func (b *Bed) Ready(ctx context.Context, version uint64) error {
	for _, p := range b.Places {
		err := Until(ctx, "node of "+p.Service, func(ctx context.Context) error {
			return p.ready(ctx, version, len(b.Places))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (p *Place) healthy(ctx context.Context) error {
	if !p.Backend.Running() {
		return endedError{p.Backend.Name, p.Backend.log}
	}
	return exchange(ctx, "GET", "http://"+p.BackendAddress+"/health", nil, nil)
}

// Status returns what the node tells operators.
func (p *Place) Status(ctx context.Context) (node.Status, error) {
	var s node.Status
	if !p.Node.Running() {
		return s, endedError{p.Node.Name, p.Node.log}
	}
	err := exchange(ctx, "GET", "http://"+p.Admin+"/status", nil, &s)
	return s, err
}

func (p *Place) ready(ctx context.Context, version uint64, places int) error {
	s, err := p.Status(ctx)
	if err != nil {
		return err
	}
	serving := 0
	var others []string
	for _, m := range s.Members {
		switch {
		case m.ID == s.Member.ID:
		case m.State == membership.StateServing && !m.Suspected:
			serving++
		default:
			others = append(others, fmt.Sprintf("%s in %s %s suspected=%t", m.Service, m.AvailabilityZone, m.State, m.Suspected))
		}
	}
	switch {
	case s.ConfigurationVersion < version:
		return Error.New("configuration %d is in force, not %d", s.ConfigurationVersion, version)
	case !s.BackendServerUp:
		return Error.New("the backend server is not up")
	case serving < places-1:
		return Error.New("the node sees %d of %d other nodes serving, and %v", serving, places-1, others)
	}
	return nil
}

// SetFaults switches faults of the backend server.
func (p *Place) SetFaults(ctx context.Context, f standin.BackendFaults) error {
	return exchange(ctx, "POST", "http://"+p.BackendAddress+"/standin/faults", f, nil)
}

// Ran returns what the backend server has run.
func (p *Place) Ran(ctx context.Context) (standin.Ran, error) {
	var r standin.Ran
	err := exchange(ctx, "GET", "http://"+p.BackendAddress+"/standin/ran", nil, &r)
	return r, err
}

// SetPlatformFaults switches faults of the platform.
func (b *Bed) SetPlatformFaults(ctx context.Context, f standin.PlatformFaults) error {
	return exchange(ctx, "POST", b.Store+"/standin/faults", f, nil)
}

// PlatformCounts returns the reads and writes that the platform has carried out.
func (b *Bed) PlatformCounts(ctx context.Context) (standin.PlatformCounts, error) {
	var c standin.PlatformCounts
	err := exchange(ctx, "GET", b.Store+"/standin/counts", nil, &c)
	return c, err
}

// Metrics returns the metrics of the place's node as they are served.
func (p *Place) Metrics(ctx context.Context) (map[string]any, error) {
	var m map[string]any
	err := exchange(ctx, "GET", "http://"+p.Admin+"/debug/vars", nil, &m)
	return m, err
}

// Ended tells how a deployment stopped.
type Ended struct {
	// Processes is the number of processes that were started.
	Processes int
	// Killed are the processes that did not stop by themselves, Failed those that had an exit status other than 0.
	Killed, Failed []string
	// Running are the processes that could not be ended.
	Running []string
}

// Stop stops all processes in the reverse order of their start and waits for their ends. Nodes stop before backend
// servers, all nodes at once.
func (b *Bed) Stop() Ended {
	b.mu.Lock()
	procs := slices.Clone(b.procs)
	b.mu.Unlock()
	ended := Ended{Processes: len(procs)}
	var mu sync.Mutex
	stop := func(some []*Process) {
		g := kernel.NewGroup(context.Background())
		for _, p := range some {
			wasRunning := p.Running()
			g.Go("stop-"+p.Name, func(context.Context) error {
				killed, _ := p.stop(stopGrace)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case p.Running():
					ended.Running = append(ended.Running, p.Name)
				case killed:
					ended.Killed = append(ended.Killed, p.Name)
				case wasRunning && p.ExitCode() != 0:
					ended.Failed = append(ended.Failed, p.Name)
				}
				return nil
			})
		}
		_ = g.Wait()
	}
	for _, kind := range []string{"-node", "-backend", "platform"} {
		var some []*Process
		for _, p := range procs {
			if strings.HasSuffix(p.Name, kind) {
				some = append(some, p)
			}
		}
		stop(some)
	}
	_ = b.group.Stop()
	return ended
}

// Remove deletes the temporary directory; call it after Stop.
func (b *Bed) Remove() error { return os.RemoveAll(b.dir) }
