package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	grace    = 6 * time.Second
	memoryMB = 284
)

// node is a process of the project's program beside one backend.
type node struct {
	name, root, dir         string
	outbound, readyAddr     string
	inbound, control, admin string
	values                  map[string]string
	rec                     *recorder
	closing                 *atomic.Bool
	b                       *backend

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	misses  int
	isReady atomic.Bool
	peakMB  atomic.Int64
}

// freeAddress returns an address with a port that is free now. Each node has a loopback address of its own, on which no outgoing
// connection takes a port.
func freeAddress(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// newNode prepares a node with the settings that the deploy file's template gives.
func newNode(d *deployment, name, zone, region string, b *backend) (*node, error) {
	n := &node{name: name, root: d.root, dir: d.dir, rec: d.rec, closing: &d.closing, b: b}
	ip := fmt.Sprintf("127.0.%d.1", 10+len(d.nodes))
	for _, a := range []*string{&n.outbound, &n.readyAddr, &n.inbound, &n.control, &n.admin} {
		var err error
		if *a, err = freeAddress(ip); err != nil {
			return nil, err
		}
	}
	host, port, _ := net.SplitHostPort(n.admin)
	n.values = map[string]string{
		"service": b.service, "zone": zone, "region": region, "app_addr": b.address, "listen.outbound": n.outbound,
		"listen.ready_addr": n.readyAddr, "listen.control": n.control, "listen.inbound": n.inbound, "ip": host,
		"port_range.0": port, "provider.address": d.store.address, "limits.memory_mb": fmt.Sprint(memoryMB),
		"bounds.grace": "6s", "bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "50", "bounds.budget_window": "10s",
	}
	b.control = n.control
	return n, nil
}

var section = regexp.MustCompile(`\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/[a-z_.0-9]+\}\}`)

// settings fills the template of the deploy file.
func (n *node) settings() (string, error) {
	b, err := os.ReadFile(filepath.Join(n.root, "deploy", "node.ini"))
	if err != nil {
		return "", err
	}
	text := section.ReplaceAllStringFunc(string(b), func(s string) string {
		m := section.FindStringSubmatch(s)
		return strings.ReplaceAll(m[2], "{{.}}", n.values[m[1]])
	})
	for k, v := range n.values {
		text = strings.ReplaceAll(text, "{{"+k+"}}", v)
	}
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("the template has an unknown placeholder: %s", text)
	}
	return text, nil
}

func (n *node) start() error {
	if n.closing.Load() {
		return nil
	}
	text, err := n.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(n.dir, n.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	// The command of the deploy file, with the path of this node's settings.
	cmd := exec.Command(filepath.Join(n.root, "target", "lovagelane"), "mesh", "--settings="+path)
	cmd.Dir, cmd.Stdout, cmd.Stderr = n.root, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LOVAGELANE_BOOT=" + path}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	n.rec.line("node-start", "node", n.name, "pid", cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		n.isReady.Store(false)
		n.rec.line("node-end", "node", n.name, "pid", cmd.Process.Pid, "state", fmt.Sprint(cmd.ProcessState), "error", fmt.Sprint(err))
		close(exited)
	}()
	return nil
}

func (n *node) process() (*os.Process, chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return nil, nil
	}
	return n.cmd.Process, n.exited
}

// stop sends SIGTERM, then SIGKILL after the grace period, and waits for the end of the process.
func (n *node) stop() {
	p, exited := n.process()
	if p == nil {
		return
	}
	n.rec.line("sigterm", "node", n.name, "pid", p.Pid)
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(grace):
		n.rec.line("sigkill", "node", n.name, "pid", p.Pid)
		_ = p.Kill()
		<-exited
	}
}

func (n *node) kill() {
	p, exited := n.process()
	if p == nil {
		return
	}
	_ = p.Kill()
	<-exited
}

// pollReady asks the node once a second whether it is ready, as the platform does. Two misses take its clients away.
func (n *node) pollReady(done <-chan struct{}) {
	c := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := c.Get("http://" + n.readyAddr + "/api/ready")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		if ok {
			n.misses = 0
			n.isReady.Store(true)
		} else if n.misses++; n.misses >= 2 {
			n.isReady.Store(false)
		}
		pause := time.Second
		if !n.isReady.Load() {
			pause = 100 * time.Millisecond // Only until the node has started.
			if n.misses > 100 {
				pause = time.Second
			}
		}
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
	}
}

// residentMB returns the resident memory of the process.
func (n *node) residentMB() int64 {
	p, _ := n.process()
	if p == nil {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	_, _ = fmt.Sscan(string(b), &size, &resident)
	return resident * int64(os.Getpagesize()) >> 20
}

// limitMemory kills the process when it exceeds its memory, as the platform does, and starts it again.
func (n *node) limitMemory(done <-chan struct{}, onKill func()) {
	for {
		mb := n.residentMB()
		n.peakMB.Store(max(n.peakMB.Load(), mb))
		if mb > memoryMB {
			n.rec.line("memory-exceeded", "node", n.name, "resident-mb", mb, "limit-mb", memoryMB)
			n.kill()
			onKill()
			select {
			case <-done:
				return
			case <-time.After(500 * time.Millisecond):
			}
			if err := n.start(); err != nil {
				return
			}
		}
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}
