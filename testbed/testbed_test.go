package testbed

import (
	"context"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"lovagelane/inventory"
	"lovagelane/kernel"
)

func TestMain(m *testing.M) {
	if os.Getenv("TESTBED_CHILD") == "yes" {
		// The child process runs until a signal terminates it.
		time.Sleep(time.Hour)
	}
	goleak.VerifyTestMain(m)
}

func startChild(t *testing.T, g *kernel.Group) *Process {
	t.Setenv("TESTBED_CHILD", "yes")
	p := NewProcess(g, "child", t.TempDir(), os.Args[0])
	require.NoError(t, p.Start())
	t.Cleanup(func() { require.NoError(t, p.Kill()) })
	return p
}

// processState returns the state letter of a process from /proc/PID/stat.
func processState(t *testing.T, p *Process) string {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/stat")
	require.NoError(t, err)
	_, fields, _ := strings.Cut(string(b), ") ")
	return fields[:1]
}

// Guards against process control without effect, which would make failure tests meaningless: a kill that leaves the
// process alive, a freeze that lets it run, or a stop that hangs on a frozen process.
func TestProcess(t *testing.T) {
	g := kernel.NewGroup(context.Background())
	p := startChild(t, g)
	require.True(t, p.Running())
	require.NoError(t, p.Freeze())
	require.Eventually(t, func() bool { return processState(t, p) == "T" }, 10*time.Second, time.Millisecond)
	require.NoError(t, p.Resume())
	require.Eventually(t, func() bool { return processState(t, p) != "T" }, 10*time.Second, time.Millisecond)
	require.NoError(t, p.Freeze())
	killed, err := p.stop(10 * time.Second)
	require.NoError(t, err)
	require.False(t, killed, "SIGTERM reaches a frozen process")
	require.False(t, p.Running())

	first := p.PID()
	require.NoError(t, p.Start())
	require.NotEqual(t, first, p.PID())
	require.NoError(t, p.Kill())
	require.False(t, p.Running())
	require.NoError(t, p.Kill(), "killing a process that has exited does nothing")
	require.NoError(t, g.Stop())
}

// Guards against a Silence that closes the open connections or also affects new ones, and against a Cut that leaves
// connections open.
func TestRelay(t *testing.T) {
	g := kernel.NewGroup(context.Background())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g.Go("echo-close", func(ctx context.Context) error { <-ctx.Done(); return ln.Close() })
	g.Go("echo", func(context.Context) error {
		for {
			c, err := ln.Accept()
			if err != nil {
				return nil
			}
			g.Go("echo-connection", func(context.Context) error {
				defer c.Close()
				buf := make([]byte, 16)
				for {
					n, err := c.Read(buf)
					if err != nil {
						return nil
					}
					_, _ = c.Write(buf[:n])
				}
			})
		}
	})
	r, err := NewRelay(g, ln.Addr().String())
	require.NoError(t, err)
	echo := func(c net.Conn) error {
		require.NoError(t, c.SetDeadline(time.Now().Add(200*time.Millisecond)))
		_, err := c.Write([]byte("x"))
		require.NoError(t, err)
		_, err = c.Read(make([]byte, 1))
		return err
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", r.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	first := dial()
	require.NoError(t, echo(first))
	r.Silence()
	require.ErrorIs(t, echo(first), os.ErrDeadlineExceeded, "open but silent")
	second := dial()
	require.NoError(t, echo(second))
	r.Cut()
	require.NoError(t, second.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = second.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "cut")
	require.NoError(t, g.Stop())
}

// Guards against an inventory that the product rejects.
func TestInventory(t *testing.T) {
	text := Inventory([]Service{
		{Name: "maps", Zones: []string{"rn-1", "rn-1", "ce-1"}, Slots: 4, Connections: 100, Timeout: time.Second,
			Calls: []string{"imagery"}},
		{Name: "imagery", Zones: []string{"ce-1"}, Slots: 2, Connections: 50, Timeout: time.Second},
	})
	rules := "[class all]\nrank = 1\ndefault = yes\n"
	cfg, problems := inventory.Parse([]inventory.File{{Name: "inventory.ini", Text: text}, {Name: "rules.ini", Text: rules}})
	require.Empty(t, problems)
	group, ok := cfg.BackendServers("maps", "rn-1")
	require.True(t, ok)
	require.Equal(t, 2, group.Count)
	region, ok := cfg.Region("ce-1")
	require.True(t, ok)
	require.Equal(t, "ce", region)
}
