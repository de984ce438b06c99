package call_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/call"
)

// Guards against a field of the call header that is lost or changed by encoding and decoding.
func TestMetaRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := call.Meta{
			Version:     call.MetaVersion,
			RequestID:   rapid.StringMatching(`[a-z0-9]{1,32}`).Draw(t, "id"),
			Attempt:     call.Attempt{Sender: "a", Receiver: "b", Seq: rapid.Uint64().Draw(t, "seq")},
			Operation:   "nursery.order-seedlings",
			Priority:    call.Priority{Rank: rapid.Uint8Range(0, call.MaxRank).Draw(t, "rank"), Value: rapid.Uint8().Draw(t, "value")},
			RemainingMS: rapid.Uint32Range(0, 3_600_000).Draw(t, "remaining"),
			Allowance:   rapid.Uint8().Draw(t, "allowance"),
			Digest:      rapid.Uint64().Draw(t, "digest"),
		}
		got, err := call.DecodeMeta([]byte(m.Encode()))
		require.NoError(t, err)
		require.Equal(t, m, got)
	})
}

// Guards against a malformed or out-of-range header that is accepted.
func TestDecodeMetaRejectsInvalidHeaders(t *testing.T) {
	good := call.Meta{Attempt: call.Attempt{Sender: "a", Receiver: "b"}}
	tooDeep, tooLong, noSender := good, good, good
	tooDeep.Depth = call.MaxDepth + 1
	tooLong.RemainingMS = 3_600_001
	noSender.Attempt.Sender = ""
	for name, tc := range map[string]struct{ header, want string }{
		"empty":       {"", "0 bytes"},
		"not base64":  {"%%%", "illegal base64"},
		"not a map":   {"AQ", "cannot unmarshal"},
		"oversized":   {string(make([]byte, 5000)), "5000 bytes"},
		"too deep":    {tooDeep.Encode(), "depth 33 is above 32"},
		"too long":    {tooLong.Encode(), "remaining time"},
		"no sender":   {noSender.Encode(), "no sender"},
		"answer meta": {call.AnswerMeta{}.Encode(), ""},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := call.DecodeMeta([]byte(tc.header))
			require.ErrorContains(t, err, tc.want)
		})
	}
}

// Guards against a header on which a decoder panics, and against an accepted depth above MaxDepth.
func FuzzDecodeMeta(f *testing.F) {
	f.Add([]byte(call.Meta{Attempt: call.Attempt{Sender: "a", Receiver: "b"}}.Encode()))
	f.Add([]byte("AQ"))
	f.Fuzz(func(t *testing.T, header []byte) {
		if m, err := call.DecodeMeta(header); err == nil {
			require.LessOrEqual(t, m.Depth, uint8(call.MaxDepth))
		}
		_, _ = call.DecodeAnswerMeta(header)
	})
}
