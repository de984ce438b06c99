package mesh

import (
	"time"

	"github.com/valyala/fasthttp"

	"lovagelane/chain"
	"lovagelane/kernel"
	"lovagelane/retry"
)

// chains holds the state that decides which requests are started when most of them fail further down. Node.mu guards it. It is
// nil if the settings leave it off.
type chains struct {
	ends chain.Ends
	// calls holds how the requests that entered at this node ended, of which those of nested routes are calls of the own backend
	// server.
	calls   chain.Ends
	callers chain.Callers
	gate    chain.Gate
	// nodes holds the number of nodes in the directory by service.
	nodes map[string]int
}

// recordCall records the caller of a call that arrived at the own backend server.
func (c *chains) recordCall(now time.Time, m callMessage) {
	if c != nil {
		c.callers.Record(now, m.Route, m.Caller)
	}
}

// recordEnd records how a run at the own backend server ended. A run that its caller cancelled before its deadline says nothing.
func (c *chains) recordEnd(now time.Time, j *job, x exchangeResult) {
	switch {
	case c == nil:
	case j.cancelled && now.Before(j.deadline):
	case x.outcome == outcomeAnswered:
		c.ends.Record(now, j.m.Route, x.status >= fasthttp.StatusInternalServerError)
	case x.outcome == outcomeLost:
		c.ends.Record(now, j.m.Route, true)
	}
}

// addReport adds what the own backend server's runs show of a route to an answer.
func (c *chains) addReport(now time.Time, route string, a *answerMessage) {
	if c != nil {
		a.Ends, a.FromOutside = c.ends.Report(now, route), c.callers.Outside(now, route, c.nodes)
	}
}

// recordReport records the report on a request's class that an answer carries.
func (c *chains) recordReport(now time.Time, r *request, address string, a answerMessage) {
	if c == nil || a.Load.Limit == 0 {
		return // The answer is not from the node beside a backend server.
	}
	c.gate.Report(now, r.class(), address, a.Ends, a.FromOutside)
}

// vainNodes returns the nodes at whose backend servers most runs of a request's class end badly. A request that has found the cap of
// its route reached doesn't leave its region for them.
func (n *Node) vainNodes(r *request) kernel.Set[string] {
	if n.chains == nil {
		return nil
	}
	n.mu.Lock()
	nodes := n.chains.gate.BadReporters(n.clock.Now(), r.class())
	n.mu.Unlock()
	n.metrics.Add("vain-nodes", int64(len(nodes)), r.route.Name)
	return nodes
}

// recordCallEnd records how a request that entered at this node ended.
func (n *Node) recordCallEnd(r *request, res result) {
	if !n.settings.RepeatsByValue || n.chains == nil {
		return
	}
	bad := true
	switch res := res.(type) {
	case servedResult:
		bad = res.answer.Status >= fasthttp.StatusInternalServerError
	case failedResult:
		if res.reason == callerLeftReason {
			return
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.chains.calls.Record(n.clock.Now(), r.route.Name, bad)
}

// savingLocked returns what a repeat of a request is expected to save.
func (n *Node) savingLocked(now time.Time, r *request) retry.Saving {
	s := retry.Saving{Kind: r.route.Name, Rank: r.rank, Completes: 1,
		Late: r.deadline.Sub(now) < n.chooser.TypicalRunTime(r.route.Name)}
	if r.account.Name == "" && n.chains.gate.Nested(r.class()) {
		// The account of the request that the call belongs to isn't known, so that the rank of the route alone counts.
		s.Rank, s.Spent = r.route.Rank, true
		s.Completes = chain.Completes(n.chains.calls.Report(now, r.route.Name), n.chains.ends.Worst(now))
	}
	return s
}

func (r *request) class() chain.Class { return chain.Class{Route: r.route.Name, Rank: r.rank} }

// admitRequest returns a refusal if the request is not to be started because most requests of its class end badly.
func (n *Node) admitRequest(r *request) result {
	if !n.settings.GiveWay || n.chains == nil {
		return nil
	}
	now := n.clock.Now()
	n.mu.Lock()
	decision, changed := n.chains.gate.Admit(now, r.class(), n.rand)
	n.mu.Unlock()
	if change, ok := changed.Get(); ok {
		n.metrics.Set("started-percent", int64(100*change.Share), r.route.Name)
		n.log.Info("started-share", "route", r.route.Name, "rank", r.rank, "share", change.Share, "ended-badly", change.BadShare,
			"gives-way-to-rank", change.Rank)
	}
	if refused, ok := decision.(chain.Refused); ok {
		// A caller that comes back in half of the objective can still be answered within it.
		inTime := r.route.Objective / 2
		if inTime == 0 {
			inTime = refused.RetryAfter
		}
		return refusedResult{reason: "fails-below", retryAfter: min(refused.RetryAfter, inTime)}
	}
	return nil
}
