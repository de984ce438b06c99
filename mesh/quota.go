package mesh

import (
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/allowance"
	"lovagelane/directory"
	"lovagelane/kernel"
	"lovagelane/routing"
)

const (
	// maxQuotaLabels bounds the accounts that have metrics of their own; the others share one label.
	maxQuotaLabels = 64
	// otherAccounts is the label of accounts beyond maxQuotaLabels.
	otherAccounts = "other"
	// quotaFreeDelay is how long no request of an account must be refused before the account counts as within its quota again.
	quotaFreeDelay = time.Second
)

// quotas enforces the quotas of accounts, together with the other nodes. Its mutex may be locked while that of the node is held,
// not the other way round.
type quotas struct {
	mu     sync.Mutex
	member allowance.Member
	// informed is set once the member knows the nodes.
	informed bool
	// scarceUntil holds the accounts whose requests were refused lately.
	scarceUntil map[string]time.Time
	labels      kernel.Set[string]
	owners      []string
}

// overQuotaResult means that the account has used up its quota. The request has not run and will not run.
type overQuotaResult struct {
	// retryAfter is the time until a token is due.
	retryAfter time.Duration
}

func (overQuotaResult) result() {}

// reading returns the time on both clocks.
func (n *Node) reading() allowance.Reading {
	now := n.clock.Now()
	return allowance.Reading{Steady: now.Sub(n.recovery.started), Wall: time.Duration(now.UnixNano())}
}

// setQuotas applies the quotas of a configuration.
func (n *Node) setQuotas(cfg *routing.Config) {
	limits := map[string]allowance.Limit{}
	for _, a := range cfg.Accounts().All() {
		if a.Quota.Limited() {
			l := allowance.Limit{Rate: a.Quota.Rate, Burst: a.Quota.Burst}
			if s := n.settings; s.QuotaWindow > 0 {
				l = l.Tolerant(s.QuotaWindow, s.QuotaOver, float64(s.QuotaSlack))
			}
			limits[a.Name] = l
		}
	}
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	n.quotas.member.SetLimits(n.reading(), limits)
}

// setQuotaNodesLocked tells the nodes among which quotas are divided. Until the directory was read, a node does not know into how
// many parts.
func (n *Node) setQuotaNodesLocked() {
	if !n.recovery.directoryRead && n.directory.Position() == (directory.Position{}) {
		return
	}
	_, rejoined := n.directory.Entry(n.settings.CallsAddress)
	addresses := []string{n.settings.CallsAddress}
	for _, node := range n.directory.Nodes() {
		if node.Address != n.settings.CallsAddress {
			addresses = append(addresses, node.Address)
		}
	}
	slices.Sort(addresses)
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	n.quotas.member.Rejoined = n.quotas.member.Rejoined || rejoined && !n.quotas.informed
	n.quotas.informed = true
	n.quotas.member.SetNodes(n.reading(), addresses)
}

// takeQuota takes a token of the quota of the request's account. It returns a result if there is none.
func (n *Node) takeQuota(r *request) result {
	if !r.account.Quota.Limited() {
		return nil
	}
	decided := make(chan allowance.Outcome, 1)
	n.withQuotas(func(m *allowance.Member, now allowance.Reading) {
		m.Take(now, r.account.Name, func(o allowance.Outcome) { decided <- o })
	})
	select {
	case o := <-decided:
		switch o := o.(type) {
		case allowance.Refused:
			n.recordOverQuota(r)
			return overQuotaResult{o.RetryAfter}
		case allowance.Unknown:
			return refusedResult{reason: "quota-unknown", retryAfter: o.RetryAfter}
		case allowance.Granted:
			r.token = o.Token
			select {
			case <-r.callerGone:
				// It left while the request waited for the token, so that the request must not run.
				n.returnToken(r)
				return failedResult{reason: callerLeftReason}
			default:
			}
		}
	case <-n.group.Context().Done():
		return refusedResult{reason: "stopping", retryAfter: notReadyRetryAfter}
	}
	return nil
}

// returnQuota returns the token of a request that did not run.
func (n *Node) returnQuota(r *request, res result) {
	if _, notRun := res.(refusedResult); !notRun || !r.account.Quota.Limited() {
		return
	}
	n.returnToken(r)
}

func (n *Node) returnToken(r *request) {
	n.withQuotas(func(m *allowance.Member, now allowance.Reading) { m.Return(now, r.token) })
}

// withQuotas calls f and sends the messages that result.
func (n *Node) withQuotas(f func(m *allowance.Member, now allowance.Reading)) {
	collect := func() []allowance.Envelope {
		n.quotas.mu.Lock()
		defer n.quotas.mu.Unlock()
		f(&n.quotas.member, n.reading())
		return n.quotas.member.Outbox()
	}
	for _, e := range collect() {
		n.transport.Notify(e.To, encode(gossipMessage{Allowance: &e.Message}))
	}
}

// handleAllowance handles a message of another node about quotas.
func (n *Node) handleAllowance(msg allowance.Message, reply func([]byte)) {
	n.withQuotas(func(m *allowance.Member, now allowance.Reading) {
		if msg.Ask != nil {
			if r, ok := m.HandleAsk(now, *msg.Ask); ok {
				reply(encode(gossipMessage{Allowance: &allowance.Message{Reply: &r}}))
			}
		}
		if msg.Reply != nil {
			m.HandleReply(now, *msg.Reply)
		}
	})
}

// takeBackQuotas takes back what was lent to a node whose process has ended.
func (n *Node) takeBackQuotas(address string) {
	n.withQuotas(func(m *allowance.Member, now allowance.Reading) { m.Lost(now, address) })
}

// releaseQuotas gives back what other nodes have lent to this one.
func (n *Node) releaseQuotas() {
	n.withQuotas(func(m *allowance.Member, now allowance.Reading) { m.Release(now) })
}

// tickQuotas renews what other nodes know and keeps the connections to the owners of the quotas.
func (n *Node) tickQuotas() {
	n.withQuotas(func(m *allowance.Member, now allowance.Reading) { m.Tick(now) })
	now := n.clock.Now()
	n.quotas.mu.Lock()
	owners := n.quotas.member.Owners()
	changed := !slices.Equal(owners, n.quotas.owners)
	n.quotas.owners = owners
	for name, until := range n.quotas.scarceUntil {
		if now.After(until) {
			delete(n.quotas.scarceUntil, name)
			n.log.Info("quota-free", "account", name)
			n.metrics.Set("quota-scarce", int64(len(n.quotas.scarceUntil)))
		}
	}
	n.quotas.mu.Unlock()
	if !changed {
		return
	}
	n.mu.Lock()
	peers := n.persistentPeersLocked()
	n.mu.Unlock()
	n.transport.SetPersistentPeers(peers)
}

// persistentPeersLocked returns the addresses to keep connections to.
func (n *Node) persistentPeersLocked() []string {
	peers := n.directory.Neighbours(n.settings.CallsAddress, n.settings.Region, neighboursPerRing)
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	return append(peers, n.quotas.owners...)
}

// recordOverQuota counts a request that is refused because its account has used up its quota.
func (n *Node) recordOverQuota(r *request) {
	name, q := r.account.Name, r.account.Quota
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	if n.quotas.scarceUntil == nil {
		n.quotas.scarceUntil = map[string]time.Time{}
	}
	if _, known := n.quotas.scarceUntil[name]; !known {
		n.log.Info("quota-scarce", "account", name, "rate", q.Rate, "burst", q.Burst, "version", n.config.Load().Version())
	}
	n.quotas.scarceUntil[name] = n.clock.Now().Add(quotaFreeDelay)
	n.metrics.Set("quota-scarce", int64(len(n.quotas.scarceUntil)))
	label := otherAccounts
	if !n.quotas.labels.Has(name) && len(n.quotas.labels) < maxQuotaLabels {
		n.quotas.labels = n.quotas.labels.With(name)
	}
	if n.quotas.labels.Has(name) {
		label = name
	}
	n.metrics.Add("over-quota", 1, label)
}

// writeOverQuota writes the response to a request whose account has used up its quota.
func (n *Node) writeOverQuota(resp *fasthttp.Response, r *request, res overQuotaResult) {
	retryAfter := max(res.retryAfter, minRetryAfter)
	writeError(resp, fasthttp.StatusTooManyRequests, "over-quota")
	resp.Header.Set(fasthttp.HeaderRetryAfter, retryAfterValue(retryAfter))
	q := r.account.Quota
	n.logOutcome("request-refused", r, fasthttp.StatusTooManyRequests, "over-quota", "retry-after", retryAfter,
		"rate", q.Rate, "burst", q.Burst)
}
