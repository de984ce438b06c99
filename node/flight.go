package node

import (
	"strconv"
	"sync"
	"time"

	"lovagelane/call"
	"lovagelane/retry"
)

// account is a retry account that several calls of one request share.
type account struct {
	policy retry.Policy

	mu      sync.Mutex
	retries retry.Account
}

func newAccount(policy retry.Policy, a retry.Account) *account {
	return &account{policy: policy, retries: a}
}

// outgoing returns the account for one call that the holder of a makes.
func (a *account) outgoing() *account {
	a.mu.Lock()
	defer a.mu.Unlock()
	if out := a.policy.Outgoing(&a.retries); out != &a.retries {
		return newAccount(a.policy, *out)
	}
	return a
}

func (a *account) take() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retries.Take()
}

func (a *account) share() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.policy.Share(&a.retries)
}

func (a *account) giveBack(share, unused int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy.Return(&a.retries, share, unused)
}

func (a *account) left() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retries.Left()
}

// flight is a call that is queued at or runs on the own backend server, and the parent of the calls that it makes.
type flight struct {
	context  string
	meta     call.Meta
	deadline time.Time
	account  *account
	// cancelled is closed when the caller gave up or the deadline passed.
	cancelled chan struct{}

	mu      sync.Mutex
	level   call.Priority
	crashes int
	running bool
	closed  bool
	inner   innerCalls
}

// cancel stops the flight and, through its channel, the calls below it. It reports whether the backend server runs it and
// has to be told.
func (f *flight) cancel() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.closed = true
	close(f.cancelled)
	return f.running
}

// learn keeps the strictest level and the highest crash count met below this call.
func (f *flight) learn(level call.Priority, crashes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.level = call.MoreImportant(f.level, level)
	f.crashes = max(f.crashes, crashes)
}

func (f *flight) learned() (call.Priority, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.level, f.crashes
}

func (f *flight) setRunning() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = true
}

// flights is the table of calls at the own backend server, by context and by attempt.
type flights struct {
	mu        sync.Mutex
	next      uint64
	byContext map[string]*flight
	byAttempt map[call.Attempt]*flight
}

// add records a call and gives it a context that cannot be guessed from outside.
func (t *flights) add(meta call.Meta, deadline time.Time, a *account, random uint64) *flight {
	f := &flight{
		meta: meta, deadline: deadline, cancelled: make(chan struct{}), level: call.LeastImportant,
		account: a, crashes: int(meta.Crashes),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byContext == nil {
		t.byContext, t.byAttempt = map[string]*flight{}, map[call.Attempt]*flight{}
	}
	t.next++
	f.context = strconv.FormatUint(t.next, 36) + "-" + strconv.FormatUint(random, 36)
	t.byContext[f.context] = f
	t.byAttempt[meta.Attempt] = f
	return f
}

func (t *flights) remove(f *flight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byContext, f.context)
	if t.byAttempt[f.meta.Attempt] == f {
		delete(t.byAttempt, f.meta.Attempt)
	}
}

func (t *flights) withContext(context string) (*flight, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.byContext[context]
	return f, ok
}

func (t *flights) withAttempt(a call.Attempt) (*flight, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.byAttempt[a]
	return f, ok
}

func (t *flights) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byContext)
}

// runningDigests returns the digests of the calls that the backend server was running.
func (t *flights) runningDigests() []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	digests := make([]uint64, 0, len(t.byContext))
	for _, f := range t.byContext {
		f.mu.Lock()
		if f.running {
			digests = append(digests, f.meta.Digest)
		}
		f.mu.Unlock()
	}
	return digests
}
