package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/kernel"
	"lovagelane/membership"
	"lovagelane/quarantine"
	"lovagelane/rollout"
	"lovagelane/standin"
	"lovagelane/tablestore"
)

func typicalMember(i int) membership.Member {
	return membership.Member{ID: fmt.Sprintf("%032x", i*7919+1<<40), Counter: 3, Service: "nursery-orders", Region: "rn",
		AvailabilityZone: "rn-1", Calls: "10.20.30.40:7100", Control: "10.20.30.40:7300", Callers: "10.20.30.40:8080", Slots: 70,
		State: membership.StateServing, Started: 1796378912754}
}

// BenchmarkFrameBytes reports the encoded size of each kind of frame. A packet adds about 50 bytes of QUIC, UDP and IP headers.
func BenchmarkFrameBytes(b *testing.B) {
	members := make([]membership.Member, membersPerFrame)
	for i := range members {
		members[i] = typicalMember(i)
	}
	view := membership.NewView(time.Unix(1, 0), members[0])
	for i := range 590 {
		m := typicalMember(i)
		m.Control = fmt.Sprint(m.Control, i)
		view.Merge(time.Unix(1, 0), m)
	}
	frames := []struct {
		name string
		f    Frame
	}{
		{"hello", hello{Member: members[0], ConfigVersion: 1000}},
		{"heartbeat", heartbeat{ConfigVersion: 1000}},
		{"announce-1", announce{Members: members[:1]}},
		{"announce-64", announce{Members: members}},
		{"suspect-1", suspect{Suspicions: []membership.Suspicion{{ID: members[0].ID, Counter: 3}}}},
		{"digest", digestFrame(view.Digest())},
		{"diff-equal", diff{Last: true}},
		{"diff-one-part-of-590", diff{Buckets: []int{17}, Members: members[:10], Last: true}},
		{"notice", configNotice{Version: 1000, Hash: fmt.Sprintf("%064x", 1)}},
		{"crash-1", crash{Reports: []quarantine.Report{{Digest: 1 << 60, Crash: members[0].ID + "-1"}}}},
	}
	for _, f := range frames {
		b.Run(f.name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := encodeFrame(f.f)
				require.NoError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size), "B/frame")
		})
	}
}

// BenchmarkStoreRequests measures the CPU time of the polls, listings and renewals of one node. They run 50 times as often as
// with defaultTuning, and the reported share is divided by 50. The store runs in this process and is included.
func BenchmarkStoreRequests(b *testing.B) {
	const speedup = 50
	for _, enabled := range []bool{false, true} {
		b.Run(fmt.Sprintf("store=%t", enabled), func(b *testing.B) {
			for b.Loop() {
				g := kernel.NewGroup(context.Background())
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(b, err)
				standin.NewPlatform(kernel.SystemClock{}).Serve(g, ln)
				t := defaultTuning()
				t.tls = sharedKeys()
				t.pollInterval, t.renewInterval, t.listInterval = t.pollInterval/speedup, t.renewInterval/speedup, t.listInterval/speedup
				if enabled {
					t.store, err = tablestore.NewClient("http://"+ln.Addr().String(), t.storeTimeout)
					require.NoError(b, err)
				}
				c, err := start(context.Background(), Options{Self: typicalMember(1), Listen: "127.0.0.1:0"}, t)
				require.NoError(b, err)
				time.Sleep(settleSpan)
				before := processorTime(b)
				time.Sleep(idleSpan)
				share := 100 * float64(processorTime(b)-before) / float64(idleSpan)
				if enabled {
					share /= speedup
				}
				b.ReportMetric(share, "%core")
				require.NoError(b, c.abort())
				require.NoError(b, g.Stop())
			}
		})
	}
}

// BenchmarkPeriodicWork measures Control.tick with a view of the target size and with a larger one.
func BenchmarkPeriodicWork(b *testing.B) {
	for _, size := range []int{590, 2000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			t := defaultTuning()
			t.tls = sharedKeys()
			c, err := start(context.Background(), Options{Self: typicalMember(0), Listen: "127.0.0.1:0"}, t)
			require.NoError(b, err)
			c.mu.Lock()
			c.adopter.SetStoreVersion(1)
			for i := range size {
				m := typicalMember(i + 1)
				m.Control = fmt.Sprintf("127.0.1.%d:%d", i%250+1, i+1)
				c.view.Merge(c.now(), m)
			}
			c.mu.Unlock()
			text, err := rollout.Encode(configFiles())
			require.NoError(b, err)
			c.loadConfig(1, rollout.Hash(text), text)
			// The tick that puts the version in force does more work than the ticks after it.
			eventually(b, "in force", func() bool { return c.Status().Version == 1 })
			b.ReportAllocs()
			for b.Loop() {
				c.tick()
			}
			b.StopTimer()
			require.NoError(b, c.abort())
		})
	}
}

// BenchmarkListing measures the size of a listing of the whole table and the time to merge it when all rows are known.
func BenchmarkListing(b *testing.B) {
	for _, size := range []int{590, 2000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			t := defaultTuning()
			t.tls = sharedKeys()
			c, err := start(context.Background(), Options{Self: typicalMember(0), Listen: "127.0.0.1:0"}, t)
			require.NoError(b, err)
			var rows []tablestore.Row
			for i := range size {
				m := typicalMember(i + 1)
				m.Control = fmt.Sprintf("127.0.1.%d:%d", i%250+1, i+1)
				value, err := json.Marshal(membership.Row{Member: m, LeaseMillis: 120000})
				require.NoError(b, err)
				rows = append(rows, tablestore.Row{Key: m.ID, Value: string(value), Version: 3000, Revision: 1_800_000, AgeMillis: 12345})
			}
			body, err := json.Marshal(rows)
			require.NoError(b, err)
			for b.Loop() {
				var read []tablestore.Row
				require.NoError(b, json.Unmarshal(body, &read))
				c.mergeRows(read)
			}
			b.ReportMetric(float64(len(body)), "B/listing")
			b.StopTimer()
			require.NoError(b, c.abort())
		})
	}
}
