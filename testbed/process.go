package testbed

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"lovagelane/kernel"
)

// Error is the class of errors of a deployment that cannot be run.
var Error = errs.Class("testbed")

// Process is one process of the deployment; it can be started again after it ended.
type Process struct {
	Name string

	group *kernel.Group
	bin   string
	args  []string
	log   string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// NewProcess describes a process without starting it; its output is appended to NAME.log in dir.
func NewProcess(g *kernel.Group, name, dir, bin string, args ...string) *Process {
	return &Process{Name: name, group: g, bin: bin, args: args, log: filepath.Join(dir, name+".log")}
}

// Start starts the process unless it runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return Error.Wrap(err)
	}
	defer out.Close()
	cmd := exec.Command(p.bin, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	// A group of its own keeps Ctrl-C away from it, so that the testbed stops processes in its order. The death signal
	// ends it when the testbed's own process is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return Error.New("start %s: %v: run make build first", p.Name, err)
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	p.group.Go("wait-"+p.Name, func(context.Context) error {
		// The exit status is read from the process state; a killed process is no failure of the testbed.
		_ = cmd.Wait()
		close(ended)
		return nil
	})
	return nil
}

func (p *Process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// PID returns the process id of the latest start, or 0 before the first.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// ExitCode returns the exit status of the latest run, or -1 while it runs or when a signal ended it.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.running() {
		return -1
	}
	return p.cmd.ProcessState.ExitCode()
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() error {
	err := p.signal(syscall.SIGKILL)
	p.Wait(context.Background())
	return err
}

// Freeze pauses the process with SIGSTOP.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a frozen process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Hangup tells the process that its settings may have changed.
func (p *Process) Hangup() error { return p.signal(syscall.SIGHUP) }

// Terminate asks the process to stop, also when it is frozen.
func (p *Process) Terminate() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.signal(syscall.SIGCONT)
}

// Wait waits for the end of the process and reports false when ctx ended first.
func (p *Process) Wait(ctx context.Context) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-ctx.Done():
		return false
	}
}

// signal sends through the handle of the started process, which never reaches another process that got the same id.
func (p *Process) signal(s os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return nil
	}
	if err := p.cmd.Process.Signal(s); err != nil && !errs.Is(err, os.ErrProcessDone) {
		return Error.New("signal %s to %s: %v", s, p.Name, err)
	}
	return nil
}

// stop terminates the process and kills it when it has not ended within grace; it reports whether it had to be killed.
func (p *Process) stop(grace time.Duration) (killed bool, err error) {
	if err := p.Terminate(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if p.Wait(ctx) {
		return false, nil
	}
	return true, p.Kill()
}
