package retry

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagelane/kernel"
)

const (
	// IDLifetime is how long the sends of one request id are counted, from the first one.
	IDLifetime = 10 * time.Minute
	// DigestLifetime is how long equal requests of one caller without a request id are matched, from the first one. It is
	// short because a user who asks for the same page again later makes a new request.
	DigestLifetime = time.Minute
	// MaxRequests is the number of request ids, and of digests, that an entry node remembers.
	MaxRequests = 32768
	// MaxInner is the number of different inner calls that are told apart for one parent.
	MaxInner = 1024
	// levels is the number of resends, and the first send, that a request may have.
	levels = 3
)

// Send identifies one send of a request by an outside caller.
type Send struct {
	Caller string
	// RequestID is the id that the caller gave, or empty.
	RequestID string
	Digest    uint64
	// Stated is the resend number that the caller stated, or 0.
	Stated int
}

// Requests recognises resends at the entry; its zero value is empty. The caller serializes access to it.
type Requests struct {
	byID     ageing[key, int]
	byDigest ageing[key, credits]
}

// key holds hashes so that its size does not depend on what callers send.
type key struct{ caller, request uint64 }

// credits counts the sends that ended without a good answer by their resend number. Each makes one equal send its resend.
// So equal requests of one caller that are in flight together, as from a workshop with many browsers, are not resends of
// each other.
type credits [levels]int

// Begin records a send and returns its resend number, 0 for a first send; every Begin needs an End.
func (r *Requests) Begin(now time.Time, s Send) int {
	if s.RequestID != "" {
		sends := r.byID.get(now, s.key(), IDLifetime)
		*sends++
		return max(s.Stated, *sends-1)
	}
	failed, ok := r.byDigest.find(now, s.key(), DigestLifetime)
	if !ok {
		return max(0, s.Stated)
	}
	for level := range failed {
		if failed[level] > 0 {
			failed[level]--
			return max(s.Stated, level+1)
		}
	}
	return max(0, s.Stated)
}

// End records how the send with this resend number ended. Good means that its caller got an answer of a backend server.
func (r *Requests) End(now time.Time, s Send, resend int, good bool) {
	if s.RequestID == "" && !good {
		failed := r.byDigest.get(now, s.key(), DigestLifetime)
		failed[min(max(resend, 0), levels-1)]++
	}
}

// Len returns the number of request ids and digests that are remembered.
func (r *Requests) Len() int { return len(r.byID.entries) + len(r.byDigest.entries) }

func (s Send) key() key {
	k := key{caller: xxhash.Sum64String(s.Caller), request: s.Digest}
	if s.RequestID != "" {
		k.request = xxhash.Sum64String(s.RequestID)
	}
	return k
}

// Inner recognises inner calls that the backend server of one parent call repeats by itself; its zero value is empty. The
// caller serializes access to it.
type Inner struct{ seen kernel.Set[uint64] }

// Repeats records an inner call with this digest of method, target and body, and reports whether it counts as a retry and
// so needs Take of the parent's account. Beyond MaxInner different calls all do, so that retries stay bounded.
func (i *Inner) Repeats(digest uint64) bool {
	if i.seen.Has(digest) || len(i.seen) >= MaxInner {
		return true
	}
	if i.seen == nil {
		i.seen = kernel.Set[uint64]{}
	}
	i.seen[digest] = struct{}{}
	return false
}

// ageing is a map that holds at most MaxRequests entries, each for a lifetime from its first use; its zero value is empty.
type ageing[K comparable, V any] struct {
	entries map[K]*list.Element
	order   list.List
}

type aged[K comparable, V any] struct {
	key   K
	since time.Time
	value V
}

// find returns the value of a key that is younger than the lifetime.
func (a *ageing[K, V]) find(now time.Time, k K, lifetime time.Duration) (*V, bool) {
	for e := a.order.Front(); e != nil && now.Sub(e.Value.(*aged[K, V]).since) >= lifetime; e = a.order.Front() {
		a.remove(e)
	}
	e, ok := a.entries[k]
	if !ok {
		return nil, false
	}
	return &e.Value.(*aged[K, V]).value, true
}

// get returns the value of a key and adds a zero value, in place of the oldest one in a full map, when there is none.
func (a *ageing[K, V]) get(now time.Time, k K, lifetime time.Duration) *V {
	if v, ok := a.find(now, k, lifetime); ok {
		return v
	}
	if a.entries == nil {
		a.entries = map[K]*list.Element{}
	}
	if len(a.entries) >= MaxRequests {
		a.remove(a.order.Front())
	}
	v := &aged[K, V]{key: k, since: now}
	a.entries[k] = a.order.PushBack(v)
	return &v.value
}

func (a *ageing[K, V]) remove(e *list.Element) {
	delete(a.entries, e.Value.(*aged[K, V]).key)
	a.order.Remove(e)
}
