package control

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/membership"
	"lovagelane/quarantine"
	"lovagelane/rollout"
)

// maxMember returns a member with all fields at their maximum length.
func maxMember() membership.Member {
	field := strings.Repeat("x", 128)
	return membership.Member{
		ID: strings.Repeat("i", 64), Counter: 1 << 60, Service: field, Region: field, AvailabilityZone: field, Calls: field,
		Control: field, Callers: field, Slots: 1 << 20, State: membership.StateStarting, Suspected: true, Dead: true, Started: 1 << 60,
	}
}

func repeat[T any](v T, n int) []T {
	list := make([]T, n)
	for i := range list {
		list[i] = v
	}
	return list
}

// Guards against frames that decode to other values than were encoded, and against full frames that exceed the size limit.
func TestFramesRoundTrip(t *testing.T) {
	suspicion := membership.Suspicion{ID: maxMember().ID, Counter: 1 << 60, Dead: true}
	report := quarantine.Report{Digest: 1 << 63, Crash: strings.Repeat("c", 128), Cleared: true}
	frames := []Frame{
		hello{Member: maxMember(), ConfigVersion: 7},
		heartbeat{ConfigVersion: 7},
		announce{Members: repeat(maxMember(), membersPerFrame)},
		suspect{Suspicions: repeat(suspicion, suspicionsPerFrame)},
		digest{Buckets: repeat(uint64(1<<63), membership.DigestBuckets)},
		diff{Buckets: repeat(63, membership.DigestBuckets), Members: repeat(maxMember(), membersPerFrame), Last: true},
		configNotice{Version: 7, Hash: rollout.Hash(nil)},
		configPull{Version: 7},
		configText{Version: 7, Hash: rollout.Hash(nil), Text: make([]byte, rollout.MaxTextBytes)},
		crash{Reports: repeat(report, reportsPerFrame)},
	}
	var stream bytes.Buffer
	for _, f := range frames {
		data, err := encodeFrame(f)
		require.NoError(t, err, "kind %d", f.kind())
		stream.Write(data)
	}
	for _, f := range frames {
		got, err := readFrame(&stream)
		require.NoError(t, err, "kind %d", f.kind())
		require.Equal(t, f, got)
	}
}

func withLengthPrefix(data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
}

func rawFrame(t *testing.T, k kind, body any) []byte {
	t.Helper()
	b, err := cbor.Marshal(body)
	require.NoError(t, err)
	data, err := cbor.Marshal(envelope{Kind: k, Body: b})
	require.NoError(t, err)
	return withLengthPrefix(data)
}

// Guards against malformed frames with which a faulty peer could cause unbounded memory use or work, and against frames of a
// later protocol version that are treated as malformed, which would close the connection.
func TestMalformedFramesAreRejected(t *testing.T) {
	cases := []struct {
		name string
		data []byte
		want error
	}{
		{"no length", withLengthPrefix(nil), errMalformed},
		{"length beyond every bound", binary.BigEndian.AppendUint32(nil, 1<<31), errMalformed},
		{"no CBOR", withLengthPrefix([]byte{0xff, 0xff}), errMalformed},
		{"body of another type", rawFrame(t, kindHeartbeat, "text"), errMalformed},
		{"large frame that is no text",
			rawFrame(t, kindAnnounce, announce{Members: repeat(maxMember(), 2*membersPerFrame)}), errMalformed},
		{"text beyond its bound", rawFrame(t, kindConfigText, configText{Text: make([]byte, rollout.MaxTextBytes+1)}), errMalformed},
		{"short digest", rawFrame(t, kindDigest, digest{Buckets: []uint64{1}}), errMalformed},
		{"hello without a member", rawFrame(t, kindHello, hello{}), errMalformed},
		{"too many items", rawFrame(t, kindDiff, diff{Buckets: make([]int, maxListItems+1)}), errMalformed},
		{"unknown kind", rawFrame(t, 200, "later"), errUnknownKind},
		{"unknown field", rawFrame(t, kindHeartbeat, map[int]int{1: 7, 9: 9}), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := readFrame(bytes.NewReader(c.data))
			require.ErrorIs(t, err, c.want)
		})
	}
}

// Guards against input from a peer that makes the decoder panic.
func TestDecodeNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, err := decodeFrame(rapid.SliceOf(rapid.Byte()).Draw(t, "data"))
		require.Equal(t, err == nil, f != nil)
	})
}

// Guards against a set of seen crash reports that grows without bound or evicts the latest ones.
func TestBoundedSetEvictsOldest(t *testing.T) {
	s := boundedSet[int]{capacity: 3}
	for i := range 10 {
		require.True(t, s.add(i))
		require.False(t, s.add(i))
	}
	require.Len(t, s.items, 3)
	require.True(t, s.add(0))
}
