package node

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagelane/call"
	"lovagelane/ingress"
	"lovagelane/quarantine"
	"lovagelane/ticket"
)

// quarantineTable guards the table of requests that crash backend servers.
type quarantineTable struct {
	mu    sync.Mutex
	table quarantine.Table
}

func (q *quarantineTable) refuses(now time.Time, digest uint64, crashes int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Refuses(now, digest, crashes)
}

func (q *quarantineTable) recordCrash(now time.Time, crash string, digests []uint64) []quarantine.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Crashed(now, crash, digests)
}

func (q *quarantineTable) recordAnswer(now time.Time, digest uint64) []quarantine.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Answered(now, digest)
}

func (q *quarantineTable) merge(now time.Time, r quarantine.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Merge(now, r)
}

func (q *quarantineTable) crashCount(now time.Time, digest uint64) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Crashes(now, digest)
}

func crashID(member string, number uint64) string {
	return member + "-" + strconv.FormatUint(number, 10)
}

// entryAdmission guards the admission levels learned from the call graphs behind each operation, and the fair shares of the
// callers.
type entryAdmission struct {
	mu     sync.Mutex
	levels ingress.Levels
	shares ingress.Shares
}

func (e *entryAdmission) admit(now time.Time, operation string, priority call.Priority) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.levels.Admit(now, operation, priority)
}

func (e *entryAdmission) learnLevel(now time.Time, operation string, level call.Priority) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.levels.Learn(now, operation, level)
}

func (e *entryAdmission) priorityValue(now time.Time, class, caller string, base uint8) uint8 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.shares.Value(now, class, caller, base)
}

func (e *entryAdmission) recordRefusal(now time.Time, class string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shares.RecordRefusal(now, class)
}

// attemptTable guards the table of non-idempotent attempts at the own backend server.
type attemptTable struct {
	mu    sync.Mutex
	table *ticket.Attempts
}

func (a *attemptTable) init(member string) { a.table = ticket.NewAttempts(member) }

func (a *attemptTable) register(now time.Time, attempt call.Attempt) call.Reason {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Admit(now, attempt)
}

func (a *attemptTable) finish(now time.Time, attempt call.Attempt, answer ticket.Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.Finish(now, attempt, answer)
}

func (a *attemptTable) fence(now time.Time, attempt call.Attempt) ticket.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Fence(now, attempt)
}

// baseValue spreads requests evenly over the priority values of a class by a hash of their ID. The secret keeps callers from
// choosing an ID with an important value.
func baseValue(secret []byte, requestID string) uint8 {
	h := xxhash.New()
	_, _ = h.Write(secret)
	_, _ = h.WriteString(requestID)
	return uint8(h.Sum64() % call.FairShareValues)
}

func (n *Node) newRequestID() string {
	return fmt.Sprintf("%s-%x", n.self.ID[:8], n.rand.Uint64())
}
