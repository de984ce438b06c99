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

// Error is the class of all errors of the testbed.
var Error = errs.Class("testbed")

// Process is a process of the deployment. It can be restarted after it has exited.
type Process struct {
	Name string

	group *kernel.Group
	bin   string
	args  []string
	log   string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// NewProcess returns a process that has not been started. Its output is appended to NAME.log in dir.
func NewProcess(g *kernel.Group, name, dir, bin string, args ...string) *Process {
	return &Process{Name: name, group: g, bin: bin, args: args, log: filepath.Join(dir, name+".log")}
}

// Start starts the process unless it is running.
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
	// With its own process group, the process does not receive SIGINT on Ctrl-C, so that the testbed controls the order in
	// which processes stop. Pdeathsig kills the process if the testbed's own process is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return Error.New("start %s: %v: run make build first", p.Name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	p.group.Go("wait-"+p.Name, func(context.Context) error {
		// The error is ignored, since a killed process is not an error of the testbed. ExitCode returns the exit status.
		_ = cmd.Wait()
		close(exited)
		return nil
	})
	return nil
}

func (p *Process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Running reports whether the process was started and has not exited.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// PID returns the process id of the latest start, or 0 if the process was never started.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// ExitCode returns the exit status of the latest run, or -1 if the process is running, was terminated by a signal or was
// never started.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.running() {
		return -1
	}
	return p.cmd.ProcessState.ExitCode()
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() error {
	err := p.signal(syscall.SIGKILL)
	p.Wait(context.Background())
	return err
}

// Freeze stops the execution of the process with SIGSTOP until Resume.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a frozen process with SIGCONT.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Hangup sends SIGHUP, on which a mesh node reads its settings again.
func (p *Process) Hangup() error { return p.signal(syscall.SIGHUP) }

// Terminate sends SIGTERM, followed by SIGCONT so that a frozen process handles it.
func (p *Process) Terminate() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.signal(syscall.SIGCONT)
}

// Wait waits until the process has exited. It returns false if ctx is done first.
func (p *Process) Wait(ctx context.Context) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-ctx.Done():
		return false
	}
}

// signal sends a signal through the handle of the started process, so that it never reaches another process that reuses
// the process id.
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

// stop terminates the process and kills it if it has not exited within timeout. It reports whether it killed the process.
func (p *Process) stop(timeout time.Duration) (killed bool, err error) {
	if err := p.Terminate(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if p.Wait(ctx) {
		return false, nil
	}
	return true, p.Kill()
}
