package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// grace is the time between SIGTERM and SIGKILL, and restartDelay that after which the platform starts an ended process again.
	grace        = 6 * time.Second
	restartDelay = 300 * time.Millisecond
	// contact is the bound of the same name: a machine is in touch once it was left alone for so long.
	contact = 4 * time.Second
	// memoryMB is the memory of a machine. The platform kills a process that exceeds it.
	memoryMB = 284
)

// node is one machine with the process of the system on it.
type node struct {
	w                       *world
	name, ip                string
	service, zone, region   string
	settings                string
	inbound, outbound       string
	control, ready, appAddr string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the current process has ended.
	exited  chan struct{}
	stopped bool
	isReady bool
	// starts counts the starts of the process.
	starts int
	// touched is when the machine was disturbed last.
	touched time.Duration
	// kills counts the ends of the process because of its memory, and peak is the most memory that it had, in bytes.
	kills int
	peak  int64
	// mostRead is the most bytes that the process has read in a second.
	mostRead int64
}

func (n *node) at(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// values are the fields of the settings that the template uses.
func (n *node) values() map[string]string {
	return map[string]string{"service": n.service, "zone": n.zone, "region": n.region, "app_addr": n.appAddr, "ip": n.ip,
		"listen.inbound": n.inbound, "listen.outbound": n.outbound, "listen.ready_addr": n.ready, "listen.control": n.control,
		"port_range.0": "7620", "provider.address": n.w.storeAddr, "limits.memory_mb": strconv.Itoa(memoryMB), "limits.max_fds": "4100",
		"bounds.grace": "6s", "bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "50", "bounds.budget_window": "10s"}
}

// render fills in a template as the platform does: values, and sections that are kept if their value is present.
func render(text string, values map[string]string) string {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String()
		}
		name, rest, _ := strings.Cut(rest, "}}")
		if section, ok := strings.CutPrefix(name, "#"); ok {
			inner, after, _ := strings.Cut(rest, "{{/"+section+"}}")
			if v := values[section]; v != "" {
				out.WriteString(strings.ReplaceAll(inner, "{{.}}", v))
			}
			rest = after
		} else {
			out.WriteString(values[name])
		}
		text = rest
	}
}

func (n *node) writeSettings() error {
	template, err := os.ReadFile(filepath.Join(n.w.repo, "deploy", "node.ini"))
	if err != nil {
		return err
	}
	n.settings = filepath.Join(n.w.dir, n.name+".ini")
	return os.WriteFile(n.settings, []byte(render(string(template), n.values())), 0o600)
}

// start starts the process, and again whenever it ends.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(n.w.repo, "target", "lovagelane"), "mesh", "--settings="+n.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = n.w.repo, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "LOVAGELANE_BOOT=" + n.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	_ = log.Close()
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited, n.touched = cmd, exited, n.w.rec.now()
	n.starts++
	n.mu.Unlock()
	n.w.rec.add("node-start", "%s pid %d", n.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		n.w.rec.add("node-end", "%s %v", n.name, err)
		close(exited)
		time.Sleep(restartDelay)
		n.mu.Lock()
		stopped := n.stopped
		n.mu.Unlock()
		if !stopped {
			if err := n.start(); err != nil {
				n.w.rec.add("node-failed", "%s %v", n.name, err)
			}
		}
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	cmd := n.cmd
	n.touched = n.w.rec.now()
	n.mu.Unlock()
	n.w.rec.add("signal", "%s %v", n.name, s)
	_ = cmd.Process.Signal(s)
}

// term stops the process as planned work does: SIGTERM, and SIGKILL after the grace period.
func (n *node) term() {
	n.mu.Lock()
	exited, cmd := n.exited, n.cmd
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-exited:
		case <-time.After(grace):
			_ = cmd.Process.Kill()
		}
	}()
}

// awaitRestart waits until the process was started so many times and says that it is ready.
func (n *node) awaitRestart(starts int, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for began := time.Now(); time.Since(began) < limit; time.Sleep(20 * time.Millisecond) {
		n.mu.Lock()
		started := n.starts >= starts
		n.mu.Unlock()
		if !started {
			continue
		}
		if resp, err := client.Get("http://" + n.ready + "/api/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not back after %v", n.name, limit)
}

// end ends the process for good.
func (n *node) end() {
	n.mu.Lock()
	n.stopped = true
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	select {
	case <-exited:
	case <-time.After(2 * time.Second):
	}
}

// inTouch reports whether the machine was left alone for contact. An end of the process because of its memory is no disturbance.
func (n *node) inTouch() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.w.rec.now()-n.touched >= contact
}

// pollReady asks the readiness endpoint once a second. Two misses take the clients of the machine away.
func (n *node) pollReady() {
	client := &http.Client{Timeout: time.Second}
	misses := 0
	for {
		resp, err := client.Get("http://" + n.ready + "/api/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		if ok {
			misses = 0
		} else {
			misses++
		}
		n.mu.Lock()
		was := n.isReady
		n.isReady = misses < 2 && (was || ok)
		is := n.isReady
		n.mu.Unlock()
		if was != is {
			n.w.rec.add("ready", "%s %v", n.name, is)
		}
		time.Sleep(time.Second)
	}
}

func (n *node) takesWork() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isReady
}

// watchMemory kills the process when it exceeds the memory of its machine, as the platform does.
func (n *node) watchMemory() {
	for {
		time.Sleep(5 * time.Millisecond)
		n.mu.Lock()
		cmd := n.cmd
		n.mu.Unlock()
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid))
		if err != nil {
			continue
		}
		fields := strings.Fields(string(b))
		if len(fields) < 3 {
			continue
		}
		resident, _ := strconv.ParseInt(fields[1], 10, 64)
		shared, _ := strconv.ParseInt(fields[2], 10, 64)
		held := (resident - shared) * int64(os.Getpagesize()) // Without the program's own file.
		n.mu.Lock()
		n.peak = max(n.peak, held)
		exceeded := held > memoryMB<<20 && n.cmd == cmd && !n.stopped
		select {
		case <-n.exited:
			exceeded = false
		default:
		}
		if exceeded {
			n.kills++
		}
		n.mu.Unlock()
		if exceeded {
			n.w.rec.add("memory", "%s holds %d MB of %d: killed", n.name, held>>20, memoryMB)
			_ = cmd.Process.Kill()
			<-n.exited
		}
	}
}

// watchReads records how many bytes the process reads in a second, to compare them with the link of the machine.
func (n *node) watchReads() {
	var of *exec.Cmd
	var last int64
	for {
		n.mu.Lock()
		cmd := n.cmd
		n.mu.Unlock()
		if b, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", cmd.Process.Pid)); err == nil {
			var read int64
			if _, err := fmt.Sscanf(string(b), "rchar: %d", &read); err == nil {
				n.mu.Lock()
				if of == cmd {
					n.mostRead = max(n.mostRead, read-last)
				}
				n.mu.Unlock()
				of, last = cmd, read
			}
		}
		time.Sleep(time.Second)
	}
}
