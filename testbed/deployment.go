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

// stopTimeout is the time between SIGTERM and SIGKILL for a process that does not exit.
const stopTimeout = 8 * time.Second

// Options configures a deployment.
type Options struct {
	// Bin is the directory that contains the built programs.
	Bin string
	// NodeSettings are lines added to the section [baselines] of each node's settings, such as limiter = none.
	NodeSettings []string
	// NoNodes starts backend servers without nodes, to measure calls without the product.
	NoNodes bool
	// SharedBackends makes all nodes of a service use one backend server, which saves half of the processes when only
	// the nodes are tested.
	SharedBackends bool
}

// Deployment is a running deployment of real processes.
type Deployment struct {
	opt   Options
	group *kernel.Group
	dir   string
	ports portAllocator

	Platform *Process
	// Store is the base URL of the platform.
	Store  string
	Places []*Place

	// procs holds all processes in the order of their start.
	mu    sync.Mutex
	procs []*Process
}

// Place is a backend server with its node.
type Place struct {
	Service, Zone string
	Backend, Node *Process
	// BackendAddress is the address of the backend server; the other addresses are those of the node's listeners.
	BackendAddress                                string
	Callers, BackendListen, Calls, Control, Admin string
}

// New creates a deployment: it issues its keys into a temporary directory and starts the platform.
func New(ctx context.Context, opt Options) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "lovagelane-testbed-")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d := &Deployment{opt: opt, dir: dir, group: kernel.NewGroup(context.WithoutCancel(ctx))}
	if err := d.startPlatform(ctx); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

// Dir returns the temporary directory that contains keys, settings and logs.
func (d *Deployment) Dir() string { return d.dir }

// Group returns the group of the deployment's goroutines, in which relays can run too. Stop stops it.
func (d *Deployment) Group() *kernel.Group { return d.group }

func (d *Deployment) startPlatform(ctx context.Context) error {
	if err := keys.Issue(d.dir); err != nil {
		return err
	}
	addresses, err := d.ports.allocate(1)
	if err != nil {
		return err
	}
	d.Store = "http://" + addresses[0]
	if d.Platform, err = d.start("platform", "standin", "platform", "--listen", addresses[0]); err != nil {
		return err
	}
	return PollUntil(ctx, "platform", func(ctx context.Context) error {
		return exchangeJSON(ctx, "GET", d.Store+"/standin/counts", nil, nil)
	})
}

func (d *Deployment) start(name, program string, args ...string) (*Process, error) {
	p := NewProcess(d.group, name, d.dir, filepath.Join(d.opt.Bin, program), args...)
	if err := p.Start(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.procs = append(d.procs, p)
	return p, nil
}

// Add starts the backend servers and nodes of the services without waiting until they serve.
func (d *Deployment) Add(services ...Service) error {
	for _, s := range services {
		for _, zone := range s.Zones {
			if err := d.addPlace(s, zone); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Deployment) addPlace(s Service, zone string) error {
	a, err := d.ports.allocate(6)
	if err != nil {
		return err
	}
	p := &Place{Service: s.Name, Zone: zone, BackendAddress: a[0], Callers: a[1], BackendListen: a[2], Calls: a[3], Control: a[4],
		Admin: a[5]}
	// The index counts the places added so far, so that a place added later does not overwrite the files of an earlier
	// one.
	name := fmt.Sprintf("%s-%d", s.Name, len(d.PlacesOf(s.Name)))
	if existing := d.PlacesOf(s.Name); d.opt.SharedBackends && len(existing) > 0 {
		p.Backend, p.BackendAddress = existing[0].Backend, existing[0].BackendAddress
		return d.addNode(name, p)
	}
	args := append([]string{"backend-server", "--listen", p.BackendAddress, "--service", s.Name, "--node", p.BackendListen,
		"--slots", fmt.Sprint(s.Slots), "--connections", fmt.Sprint(s.Connections),
		"--seed", fmt.Sprint(len(d.Places) + 1)}, s.BackendFlags...)
	if p.Backend, err = d.start(name+"-backend", "standin", args...); err != nil {
		return err
	}
	return d.addNode(name, p)
}

func (d *Deployment) addNode(name string, p *Place) (err error) {
	if !d.opt.NoNodes {
		if p.Node, err = d.startNode(name+"-node", p); err != nil {
			return err
		}
	}
	d.Places = append(d.Places, p)
	return nil
}

// startNode writes the settings of a node and starts it. Its seeds are the nodes of the first three places, or of fewer if
// fewer have been added.
func (d *Deployment) startNode(name string, p *Place) (*Process, error) {
	var seeds []string
	for _, other := range d.Places[:min(3, len(d.Places))] {
		seeds = append(seeds, other.Control)
	}
	file := func(name string) string { return filepath.Join(d.dir, name) }
	lines := []string{"[node]",
		"service = " + p.Service, "availability-zone = " + p.Zone, "backend-server = " + p.BackendAddress,
		"callers-listen = " + p.Callers, "backend-listen = " + p.BackendListen, "calls-listen = " + p.Calls,
		"control-listen = " + p.Control, "admin-listen = " + p.Admin, "store = " + d.Store,
	}
	if len(seeds) > 0 {
		lines = append(lines, "seeds = "+strings.Join(seeds, ", "))
	}
	lines = append(lines, "[keys]", "certificate = "+file("node.pem"), "key = "+file("node-key.pem"),
		"authority = "+file("authority.pem"), "ticket-key = "+file("ticket-key"))
	if len(d.opt.NodeSettings) > 0 {
		lines = append(append(lines, "[baselines]"), d.opt.NodeSettings...)
	}
	settings := file(name + ".ini")
	if err := os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, Error.Wrap(err)
	}
	return d.start(name, "lovagelane", "node", "--settings", settings)
}

// PlacesOf returns the places of a service.
func (d *Deployment) PlacesOf(service string) []*Place {
	var all []*Place
	for _, p := range d.Places {
		if p.Service == service {
			all = append(all, p)
		}
	}
	return all
}

// CallerAddresses returns the addresses of the nodes' listeners for external callers.
func (d *Deployment) CallerAddresses() []string {
	var all []string
	for _, p := range d.Places {
		all = append(all, p.Callers)
	}
	return all
}

// Apply applies a configuration with the command lovagelane apply and returns its output. The command returns when the
// configuration is in force on every node.
func (d *Deployment) Apply(ctx context.Context, inventory, rules string) (string, error) {
	dir := filepath.Join(d.dir, "configuration")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", Error.Wrap(err)
	}
	for name, text := range map[string]string{"inventory.ini": inventory, "rules.ini": rules} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			return "", Error.Wrap(err)
		}
	}
	out, err := exec.CommandContext(ctx, filepath.Join(d.opt.Bin, "lovagelane"), "apply", "--store", d.Store, "--keys", d.dir,
		"--by", "testbed", dir).CombinedOutput()
	if err != nil {
		return "", Error.New("lovagelane apply: %v: %s", err, out)
	}
	return string(out), nil
}

// WaitHealthy waits until the backend servers are healthy and the nodes respond. It does not require a configuration in force.
func (d *Deployment) WaitHealthy(ctx context.Context) error {
	for _, p := range d.Places {
		if err := PollUntil(ctx, "backend server of "+p.Service, p.checkHealthy); err != nil {
			return err
		}
		if p.Node == nil {
			continue
		}
		err := PollUntil(ctx, "node of "+p.Service, func(ctx context.Context) error {
			_, err := p.Status(ctx)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until each node has this or a later configuration version in force, sees its backend server as up and
// lists all other nodes as serving.
func (d *Deployment) WaitReady(ctx context.Context, version uint64) error {
	for _, p := range d.Places {
		err := PollUntil(ctx, "node of "+p.Service, func(ctx context.Context) error {
			return p.checkReady(ctx, version, len(d.Places))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (p *Place) checkHealthy(ctx context.Context) error {
	if !p.Backend.Running() {
		return processExitedError{p.Backend.Name, p.Backend.log}
	}
	return exchangeJSON(ctx, "GET", "http://"+p.BackendAddress+"/health", nil, nil)
}

// Status returns the node's status from its admin listener.
func (p *Place) Status(ctx context.Context) (node.Status, error) {
	var s node.Status
	if !p.Node.Running() {
		return s, processExitedError{p.Node.Name, p.Node.log}
	}
	err := exchangeJSON(ctx, "GET", "http://"+p.Admin+"/status", nil, &s)
	return s, err
}

func (p *Place) checkReady(ctx context.Context, version uint64, places int) error {
	s, err := p.Status(ctx)
	if err != nil {
		return err
	}
	serving := 0
	var notServing []string
	for _, m := range s.Members {
		switch {
		case m.ID == s.Member.ID:
		case m.State == membership.StateServing && !m.Suspected:
			serving++
		default:
			notServing = append(notServing, fmt.Sprintf("%s in %s %s suspected=%t", m.Service, m.AvailabilityZone, m.State, m.Suspected))
		}
	}
	switch {
	case s.ConfigurationVersion < version:
		return Error.New("configuration %d is in force, not %d", s.ConfigurationVersion, version)
	case !s.BackendServerUp:
		return Error.New("the backend server is not up")
	case serving < places-1:
		return Error.New("the node lists %d of %d other nodes as serving; not serving or suspected: %v", serving, places-1, notServing)
	}
	return nil
}

// SetFaults sets injected faults of the backend server.
func (p *Place) SetFaults(ctx context.Context, f standin.BackendFaults) error {
	return exchangeJSON(ctx, "POST", "http://"+p.BackendAddress+"/standin/faults", f, nil)
}

// StartCounts returns the counts of the calls that the backend server has started.
func (p *Place) StartCounts(ctx context.Context) (standin.StartCounts, error) {
	var counts standin.StartCounts
	err := exchangeJSON(ctx, "GET", "http://"+p.BackendAddress+"/standin/ran", nil, &counts)
	return counts, err
}

// SetPlatformFaults sets injected faults of the platform.
func (d *Deployment) SetPlatformFaults(ctx context.Context, f standin.PlatformFaults) error {
	return exchangeJSON(ctx, "POST", d.Store+"/standin/faults", f, nil)
}

// PlatformCounts returns the numbers of reads and writes that the platform has executed.
func (d *Deployment) PlatformCounts(ctx context.Context) (standin.PlatformCounts, error) {
	var c standin.PlatformCounts
	err := exchangeJSON(ctx, "GET", d.Store+"/standin/counts", nil, &c)
	return c, err
}

// Metrics returns the metrics that the node serves under /debug/vars.
func (p *Place) Metrics(ctx context.Context) (map[string]any, error) {
	var m map[string]any
	err := exchangeJSON(ctx, "GET", "http://"+p.Admin+"/debug/vars", nil, &m)
	return m, err
}

// StopResult is the result of stopping a deployment.
type StopResult struct {
	// Processes is the number of processes that were started.
	Processes int
	// Killed lists the processes that did not exit within stopTimeout, Failed those whose exit status is not 0.
	Killed, Failed []string
	// Running lists the processes that could not be killed.
	Running []string
}

// Stop stops all processes and waits until they have exited. It stops the nodes first, then the backend servers, then
// the platform; the processes of each kind stop concurrently.
func (d *Deployment) Stop() StopResult {
	d.mu.Lock()
	procs := slices.Clone(d.procs)
	d.mu.Unlock()
	result := StopResult{Processes: len(procs)}
	var mu sync.Mutex
	stop := func(batch []*Process) {
		g := kernel.NewGroup(context.Background())
		for _, p := range batch {
			wasRunning := p.Running()
			g.Go("stop-"+p.Name, func(context.Context) error {
				killed, _ := p.stop(stopTimeout)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case p.Running():
					result.Running = append(result.Running, p.Name)
				case killed:
					result.Killed = append(result.Killed, p.Name)
				case wasRunning && p.ExitCode() != 0:
					result.Failed = append(result.Failed, p.Name)
				}
				return nil
			})
		}
		_ = g.Wait()
	}
	for _, suffix := range []string{"-node", "-backend", "platform"} {
		var batch []*Process
		for _, p := range procs {
			if strings.HasSuffix(p.Name, suffix) {
				batch = append(batch, p)
			}
		}
		stop(batch)
	}
	_ = d.group.Stop()
	return result
}

// Remove deletes the temporary directory; call it after Stop.
func (d *Deployment) Remove() error { return os.RemoveAll(d.dir) }
