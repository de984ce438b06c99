package node

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagelane/call"
	"lovagelane/pressure"
	"lovagelane/quarantine"
	"lovagelane/ticket"
)

// poison guards the table of requests that crash backend servers.
type poison struct {
	mu    sync.Mutex
	table quarantine.Table
}

func (p *poison) refuses(now time.Time, digest uint64, crashes int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Refuses(now, digest, crashes)
}

func (p *poison) crashed(now time.Time, crash string, digests []uint64) []quarantine.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Crashed(now, crash, digests)
}

func (p *poison) answered(now time.Time, digest uint64) []quarantine.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Answered(now, digest)
}

func (p *poison) merge(now time.Time, r quarantine.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Merge(now, r)
}

func (p *poison) crashes(now time.Time, digest uint64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Crashes(now, digest)
}

func crashID(member string, number uint64) string {
	return member + "-" + strconv.FormatUint(number, 10)
}

// pressures guards what the node learned of the call graphs behind its operations, and the callers' shares.
type pressures struct {
	mu     sync.Mutex
	levels pressure.Levels
	shares pressure.Shares
}

func (p *pressures) admit(now time.Time, operation string, priority call.Priority) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.levels.Admit(now, operation, priority)
}

func (p *pressures) learn(now time.Time, operation string, level call.Priority) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.levels.Learn(now, operation, level)
}

func (p *pressures) value(now time.Time, class, caller string, base uint8) uint8 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shares.Value(now, class, caller, base)
}

func (p *pressures) refused(now time.Time, class string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shares.Refused(now, class)
}

// attempts guards the table of non-idempotent attempts at the own backend server.
type attempts struct {
	mu    sync.Mutex
	table *ticket.Attempts
}

func (a *attempts) init(member string) { a.table = ticket.NewAttempts(member) }

func (a *attempts) arrive(now time.Time, attempt call.Attempt) call.Reason {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Arrive(now, attempt)
}

func (a *attempts) finish(now time.Time, attempt call.Attempt, answer ticket.Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.table.Finish(now, attempt, answer)
}

func (a *attempts) fence(now time.Time, attempt call.Attempt) ticket.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.table.Fence(now, attempt)
}

// baseValue spreads requests over the values of a class by their identity; the secret keeps callers from choosing an id
// with an important value.
func baseValue(secret []byte, requestID string) uint8 {
	h := xxhash.New()
	_, _ = h.Write(secret)
	_, _ = h.WriteString(requestID)
	return uint8(h.Sum64() % call.FairValues)
}

func (n *Node) newRequestID() string {
	return fmt.Sprintf("%s-%x", n.self.ID[:8], n.rand.Uint64())
}
