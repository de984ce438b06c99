package retry

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagelane/kernel"
)

const (
	// IDLifetime is how long the sends of one request ID are counted, starting with the first one.
	IDLifetime = 10 * time.Minute
	// DigestLifetime is how long equal requests of one caller without a request ID are matched, starting with the first
	// failure. It is short because a user who requests the same page again later makes a new request.
	DigestLifetime = time.Minute
	// MaxRequests is the maximum number of request IDs, and of digests, that an entry node stores.
	MaxRequests = 32768
	// MaxInner is the maximum number of different inner calls that are distinguished for one parent.
	MaxInner = 1024
	// maxSends is the maximum number of sends of a request, including the first one.
	maxSends = 3
)

// Send identifies one send of a request by an external caller.
type Send struct {
	Caller string
	// RequestID is the ID that the caller sent, or empty.
	RequestID string
	Digest    uint64
	// Stated is the resend number that the caller sent, or 0.
	Stated int
}

// ResendDetector detects resends at the entry node. Its zero value is empty. The caller serializes access to it.
type ResendDetector struct {
	byID     ttlMap[sendKey, int]
	byDigest ttlMap[sendKey, failuresByResend]
}

// sendKey identifies a request of a caller. It consists of hashes so that callers cannot influence its size.
type sendKey struct{ caller, request uint64 }

// failuresByResend counts the sends without a good answer by their resend number. Each of them turns one later equal send
// into its resend. Therefore concurrent equal requests of one caller, such as those of a workshop with many browsers, are not
// resends of each other.
type failuresByResend [maxSends]int

// Begin records a send and returns its resend number, 0 for a first send. Every Begin must be followed by an End.
func (r *ResendDetector) Begin(now time.Time, s Send) int {
	if s.RequestID != "" {
		sends := r.byID.get(now, s.sendKey(), IDLifetime)
		*sends++
		return max(s.Stated, *sends-1)
	}
	failures, ok := r.byDigest.find(now, s.sendKey(), DigestLifetime)
	if !ok {
		return max(0, s.Stated)
	}
	for resend := range failures {
		if failures[resend] > 0 {
			failures[resend]--
			return max(s.Stated, resend+1)
		}
	}
	return max(0, s.Stated)
}

// End records the result of the send with this resend number. Good means that the caller received an answer from a backend
// server.
func (r *ResendDetector) End(now time.Time, s Send, resend int, good bool) {
	if s.RequestID == "" && !good {
		failures := r.byDigest.get(now, s.sendKey(), DigestLifetime)
		failures[min(max(resend, 0), maxSends-1)]++
	}
}

// Len returns the number of stored request IDs and digests.
func (r *ResendDetector) Len() int { return len(r.byID.entries) + len(r.byDigest.entries) }

func (s Send) sendKey() sendKey {
	k := sendKey{caller: xxhash.Sum64String(s.Caller), request: s.Digest}
	if s.RequestID != "" {
		k.request = xxhash.Sum64String(s.RequestID)
	}
	return k
}

// RepeatDetector detects inner calls that the backend server of one parent call repeats on its own. Its zero value is empty. The
// caller serializes access to it.
type RepeatDetector struct{ digests kernel.Set[uint64] }

// IsRepeat records an inner call with this digest of method, target and body. It reports whether the call counts as a retry,
// which must be withdrawn from the parent's budget with Budget.Withdraw. Every new call beyond MaxInner different ones counts
// as a retry, so that retries stay bounded.
func (d *RepeatDetector) IsRepeat(digest uint64) bool {
	if d.digests.Has(digest) || len(d.digests) >= MaxInner {
		return true
	}
	if d.digests == nil {
		d.digests = kernel.Set[uint64]{}
	}
	d.digests[digest] = struct{}{}
	return false
}

// ttlMap is a map of at most MaxRequests entries that expire after a lifetime from their first use. Its zero value is empty.
type ttlMap[K comparable, V any] struct {
	entries map[K]*list.Element
	byAge   list.List
}

type ttlEntry[K comparable, V any] struct {
	key       K
	createdAt time.Time
	value     V
}

// find returns the value of a key, after it removes the entries that have reached the lifetime.
func (m *ttlMap[K, V]) find(now time.Time, k K, lifetime time.Duration) (*V, bool) {
	for e := m.byAge.Front(); e != nil && now.Sub(e.Value.(*ttlEntry[K, V]).createdAt) >= lifetime; e = m.byAge.Front() {
		m.remove(e)
	}
	e, ok := m.entries[k]
	if !ok {
		return nil, false
	}
	return &e.Value.(*ttlEntry[K, V]).value, true
}

// get returns the value of a key. It adds a zero value if there is none, and evicts the oldest entry if the map is full.
func (m *ttlMap[K, V]) get(now time.Time, k K, lifetime time.Duration) *V {
	if v, ok := m.find(now, k, lifetime); ok {
		return v
	}
	if m.entries == nil {
		m.entries = map[K]*list.Element{}
	}
	if len(m.entries) >= MaxRequests {
		m.remove(m.byAge.Front())
	}
	v := &ttlEntry[K, V]{key: k, createdAt: now}
	m.entries[k] = m.byAge.PushBack(v)
	return &v.value
}

func (m *ttlMap[K, V]) remove(e *list.Element) {
	delete(m.entries, e.Value.(*ttlEntry[K, V]).key)
	m.byAge.Remove(e)
}
