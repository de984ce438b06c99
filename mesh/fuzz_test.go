package mesh

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/directory"
	"lovagelane/quarantine"
)

// FuzzDecode feeds arbitrary bytes to the decoders of messages of other nodes: they are rejected, or within the bounds that the
// node relies on.
func FuzzDecode(f *testing.F) {
	f.Add(encode(callMessage{Service: "maps", RemainingMS: 1000, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")}))
	f.Add(encode(answerMessage{Outcome: 200}))
	f.Add(encode(answerMessage{RanMicros: -1, Load: loadReport{WaitMS: 1 << 62}}))
	f.Add(encode(answerMessage{Load: loadReport{RunMicros: math.MaxInt64}}))
	f.Add(encode(gossipMessage{Rows: []directory.Entry{{Node: directory.Node{Address: "10.0.0.1:80"}}}}))
	f.Add(encode(gossipMessage{CrashTable: &crashTable{Sum: 1, Snapshot: quarantine.Snapshot{Crashes: []string{"a-1"},
		Records: []quarantine.Record{{Digest: 7, Uncleared: []uint16{0, 1}}}}}}))
	f.Add(encode(helloMessage{}))
	f.Fuzz(func(t *testing.T, b []byte) {
		var call callMessage
		if decode(b, &call) == nil && call.valid() {
			require.LessOrEqual(t, time.Duration(call.RemainingMS)*time.Millisecond, time.Hour)
			_, _ = parseRequestHead(call.Head) // Only a panic is a failure.
		}
		var a answerMessage
		if decode(b, &a) == nil && a.valid() {
			require.NotEmpty(t, a.Outcome.String())
			require.GreaterOrEqual(t, a.Load.slots().Wait, time.Duration(0))
			require.GreaterOrEqual(t, time.Duration(a.Load.RunMicros)*time.Microsecond, time.Duration(0))
			_, _ = parseAnswerHead(a.Head) // Only a panic is a failure.
		}
		var node directory.Node
		if decode(b, &node) == nil && node.Valid() {
			require.NotEmpty(t, node.State.String())
		}
		require.NotPanics(t, func() {
			var m gossipMessage
			if decode(b, &m) == nil && m.CrashTable != nil {
				var table quarantine.Table
				table.MergeSnapshot(time.Unix(1e6, 0), m.CrashTable.Snapshot)
			}
			_ = decode(b, &helloMessage{})
			_ = decode(b, &versions{})
		})
	})
}
