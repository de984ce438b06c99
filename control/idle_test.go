package control

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/kernel"
	"lovagelane/membership"
)

const (
	// settleSpan excludes the memory and work of the handshakes from the measurement.
	settleSpan = 2 * time.Second
	idleSpan   = 10 * time.Second
)

// BenchmarkIdleConnections measures heap, stacks and CPU time of idle control connections with a heartbeat each second. Both
// ends run in this process, so the figures include both ends of each connection.
func BenchmarkIdleConnections(b *testing.B) {
	for _, connections := range []int{0, 50, 100} {
		b.Run(fmt.Sprint(connections), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, connections)
			}
		})
	}
}

func measureIdle(b *testing.B, connections int) {
	hub, caller := idleNode(b, "hub"), idleNode(b, "caller")
	g := kernel.NewGroup(context.Background())
	memory := memoryInUse()
	processor := processorTime(b)
	for range connections {
		g.Go("connection", func(ctx context.Context) error {
			caller.connect(ctx, hub.Address(), "", false)
			return nil
		})
	}
	eventually(b, "all are connected", func() bool { return hub.peerCount() >= connections })
	b.ReportMetric(float64((processorTime(b)-processor).Microseconds())/float64(max(connections, 1)), "dial-us/connection")
	time.Sleep(settleSpan)
	processor = processorTime(b)
	sent := bytesSent(hub) + bytesSent(caller)
	time.Sleep(idleSpan)
	sent = bytesSent(hub) + bytesSent(caller) - sent
	b.ReportMetric(float64(sent)/idleSpan.Seconds()/float64(max(connections, 1)), "B/s/connection")
	b.ReportMetric(100*float64(processorTime(b)-processor)/float64(idleSpan), "%core")
	b.ReportMetric(float64(memoryInUse()-memory)/1024/float64(max(connections, 1)), "KB/connection")
	require.GreaterOrEqual(b, hub.peerCount(), connections)
	_ = g.Stop()
	require.NoError(b, hub.abort())
	require.NoError(b, caller.abort())
}

// idleNode starts a node with defaultTuning, except for the dial rate and the limit on inbound connections.
func idleNode(b *testing.B, id string) *Control {
	t := defaultTuning()
	t.tls, t.dialInterval, t.maxInbound = sharedKeys(), time.Millisecond, 1000
	c, err := start(context.Background(), Options{
		// The two nodes are in different regions, so that only one link and no ring connections are added.
		Self: membership.Member{ID: id, Region: id}, Listen: "127.0.0.1:0",
	}, t)
	require.NoError(b, err)
	return c
}

// bytesSent returns the bytes that QUIC sent on all open connections of a node, without UDP and IP headers.
func bytesSent(c *Control) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := uint64(0)
	for p := range c.peers {
		n += p.conn.ConnectionStats().BytesSent
	}
	return n
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
