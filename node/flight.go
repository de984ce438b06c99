package node

import (
	"strconv"
	"sync"
	"time"

	"lovagelane/call"
	"lovagelane/retry"
)

// retryBudget is a retry budget that several calls of one request share.
type retryBudget struct {
	policy retry.Policy

	mu      sync.Mutex
	retries retry.Budget
}

func newRetryBudget(policy retry.Policy, budget retry.Budget) *retryBudget {
	return &retryBudget{policy: policy, retries: budget}
}

// forCall returns the budget for one outgoing call of the parent call that b belongs to.
func (b *retryBudget) forCall() *retryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if out := b.policy.Outgoing(&b.retries); out != &b.retries {
		return newRetryBudget(b.policy, *out)
	}
	return b
}

func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retries.Withdraw()
}

func (b *retryBudget) allocate() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.policy.Share(&b.retries)
}

func (b *retryBudget) returnUnused(share, unused int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.policy.Return(&b.retries, share, unused)
}

func (b *retryBudget) remaining() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retries.Remaining()
}

// flight is a call that is queued for or runs on the own backend server. It is the parent of the calls that the backend
// server makes for it.
type flight struct {
	contextID string
	meta      call.Meta
	deadline  time.Time
	budget    *retryBudget
	// cancelled is closed when the caller gives up or the deadline passes.
	cancelled chan struct{}

	mu      sync.Mutex
	level   call.Priority
	crashes int
	running bool
	closed  bool
	inner   innerCalls
}

// cancel stops the flight and, through its channel, the calls that it makes. It reports whether the backend server runs the
// call and must be notified.
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

// recordDownstream keeps the strictest admission level and the highest crash count of the calls that this call made.
func (f *flight) recordDownstream(level call.Priority, crashes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.level = call.MoreImportant(f.level, level)
	f.crashes = max(f.crashes, crashes)
}

func (f *flight) downstream() (call.Priority, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.level, f.crashes
}

func (f *flight) setRunning() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = true
}

// flights is the table of calls at the own backend server, by context ID and by attempt.
type flights struct {
	mu        sync.Mutex
	lastID    uint64
	byContext map[string]*flight
	byAttempt map[call.Attempt]*flight
}

// add records a call and assigns it a context ID that cannot be guessed from outside.
func (t *flights) add(meta call.Meta, deadline time.Time, budget *retryBudget, random uint64) *flight {
	f := &flight{
		meta: meta, deadline: deadline, cancelled: make(chan struct{}), level: call.LeastImportant,
		budget: budget, crashes: int(meta.Crashes),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byContext == nil {
		t.byContext, t.byAttempt = map[string]*flight{}, map[call.Attempt]*flight{}
	}
	t.lastID++
	f.contextID = strconv.FormatUint(t.lastID, 36) + "-" + strconv.FormatUint(random, 36)
	t.byContext[f.contextID] = f
	t.byAttempt[meta.Attempt] = f
	return f
}

func (t *flights) remove(f *flight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byContext, f.contextID)
	if t.byAttempt[f.meta.Attempt] == f {
		delete(t.byAttempt, f.meta.Attempt)
	}
}

func (t *flights) findByContext(context string) (*flight, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.byContext[context]
	return f, ok
}

func (t *flights) findByAttempt(a call.Attempt) (*flight, bool) {
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

// runningDigests returns the digests of the calls that run on the backend server.
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
