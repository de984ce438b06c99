package retry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/retry"
)

var start = time.Unix(1e6, 0)

// Guards against a resend that counts as a new request, and against a new request that counts as a resend.
func TestRequestsRecogniseResends(t *testing.T) {
	byID := retry.Send{Caller: "truck 4", RequestID: "r1", Digest: 1}
	page := retry.Send{Caller: "truck 4", Digest: 1}
	stated := retry.Send{Caller: "truck 4", Digest: 1, Stated: 2}
	statedID := retry.Send{Caller: "truck 4", RequestID: "r1", Digest: 1, Stated: 5}
	type step struct {
		send retry.Send
		want int
		good bool
	}
	cases := map[string][]step{
		"request id, whatever the answer": {{byID, 0, true}, {byID, 1, false}, {byID, 2, true}, {byID, 3, true}, {statedID, 5, true}},
		"equal requests that fail":        {{page, 0, false}, {page, 1, false}, {page, 2, false}, {page, 3, false}, {page, 3, false}},
		"equal requests that succeed":     {{page, 0, true}, {page, 0, true}, {page, 0, true}},
		"a resend that succeeds":          {{page, 0, false}, {page, 1, true}, {page, 0, true}},
		"stated":                          {{stated, 2, false}, {page, 3, false}},
		"stated after one failure":        {{page, 0, false}, {stated, 2, true}, {page, 0, true}},
		"below zero":                      {{retry.Send{Digest: 1, Stated: -1}, 0, false}, {retry.Send{Digest: 1, Stated: -1}, 1, true}},
		"another caller":                  {{page, 0, false}, {retry.Send{Caller: "truck 5", Digest: 1}, 0, false}},
		"another id":                      {{byID, 0, false}, {retry.Send{Caller: "truck 4", RequestID: "r2", Digest: 1}, 0, false}, {page, 0, false}},
	}
	for name, steps := range cases {
		var detector retry.ResendDetector
		for i, s := range steps {
			n := detector.Begin(start, s.send)
			require.Equal(t, s.want, n, "%s, step %d", name, i)
			detector.End(start, s.send, n, s.good)
		}
	}
}

// Guards against the browsers of one workshop that exhaust each other's resends by requesting the same page concurrently.
func TestConcurrentEqualRequestsAreNotResends(t *testing.T) {
	var detector retry.ResendDetector
	page := retry.Send{Caller: "workshop", Digest: 1}
	for want := range 3 {
		for range 20 {
			require.Equal(t, want, detector.Begin(start, page))
		}
		for range 20 {
			detector.End(start, page, want, false)
		}
	}
}

// Guards against a user whose later requests still count as resends of an old failure, and against entries that never expire.
func TestRequestsExpire(t *testing.T) {
	var detector retry.ResendDetector
	page := retry.Send{Caller: "truck 4", Digest: 1}
	byID := retry.Send{Caller: "truck 4", RequestID: "r1"}
	require.Zero(t, detector.Begin(start, byID))
	require.Equal(t, 1, detector.Begin(start.Add(retry.IDLifetime-1), byID))
	require.Zero(t, detector.Begin(start.Add(retry.IDLifetime), byID))
	detector.End(start, page, 0, false)
	last := start.Add(retry.DigestLifetime - 1)
	require.Equal(t, 1, detector.Begin(last, page))
	detector.End(last, page, 1, false)
	require.Zero(t, detector.Begin(start.Add(retry.DigestLifetime), page), "counted from the first failure")
	require.Equal(t, 1, detector.Len())
}

// Guards against tables that callers can grow without bound.
func TestRequestsAreBounded(t *testing.T) {
	var detector retry.ResendDetector
	for n := range retry.MaxRequests + 10 {
		detector.Begin(start, retry.Send{Caller: fmt.Sprint(n), RequestID: "r"})
		detector.End(start, retry.Send{Caller: fmt.Sprint(n), Digest: 1}, 0, false)
	}
	require.Equal(t, 2*retry.MaxRequests, detector.Len())
	require.Zero(t, detector.Begin(start, retry.Send{Caller: "0", Digest: 1}), "the oldest entry is evicted first")
	require.Equal(t, 1, detector.Begin(start, retry.Send{Caller: "11", Digest: 1}))
}

// Guards against a backend server that repeats inner calls without a withdrawal from its parent's budget.
func TestRepeatDetectorRecognisesRepeats(t *testing.T) {
	var detector retry.RepeatDetector
	require.False(t, detector.IsRepeat(1))
	require.False(t, detector.IsRepeat(2))
	require.True(t, detector.IsRepeat(1))
	require.True(t, detector.IsRepeat(1))
	for digest := uint64(3); digest <= retry.MaxInner; digest++ {
		require.False(t, detector.IsRepeat(digest))
	}
	require.True(t, detector.IsRepeat(retry.MaxInner+1), "a call beyond MaxInner counts as a retry")
	require.True(t, detector.IsRepeat(retry.MaxInner+1))
}
