package balance

import (
	"time"

	"lovagelane/call"
)

const (
	tierCount = 3
	// otherRegionsTier is the index of the farthest tier.
	otherRegionsTier = 2
	// sampleSize is the d of the power of d choices: the number of random candidates that are compared.
	sampleSize = 3
)

func init() {
	Policies.Register("least-loaded", func() Policy { return leastLoaded{} })
	Policies.Register("round-robin", func() Policy { return &roundRobin{} })
}

// leastLoaded chooses the least-loaded of d random candidates (power of d choices) in the nearest tier that has any.
type leastLoaded struct{}

// Pick implements Policy.
func (leastLoaded) Pick(c *Chooser, now time.Time, q Query) Choice {
	var slowStarting *peer
	for tier := range c.tiers {
		// Cross-region traffic is billed, so exceeding the slow start cap of a candidate in the own region is preferred.
		if tier == otherRegionsTier && slowStarting != nil {
			return c.toChoice(now, slowStarting)
		}
		best, atCap := c.sample(now, q, tier)
		if best != nil {
			return c.toChoice(now, best)
		}
		if slowStarting == nil {
			slowStarting = atCap
		}
	}
	if slowStarting != nil {
		return c.toChoice(now, slowStarting)
	}
	return c.lastResort(now, q)
}

// sample returns the best of sampleSize random candidates of a tier, or an ejected one whose probe is due, or nil when no
// candidate is available. It also returns the candidate with the fewest calls in flight among those at their slow start cap.
func (c *Chooser) sample(now time.Time, q Query, tier int) (best, slowStarting *peer) {
	peers, slow, typical := c.tiers[tier], c.slowLatency(tier), c.typicalLatency(tier)
	var bestScore float64
	sampled := 0
	// Drawn candidates move to the front, so that none is drawn twice.
	for i := 0; i < len(peers) && sampled < sampleSize; i++ {
		j := i + c.rand.IntN(len(peers)-i)
		peers[i], peers[j] = peers[j], peers[i]
		p := peers[i]
		if q.Exclude.Has(p.candidate.ID) || p.refuses(now, q.Priority) {
			continue
		}
		if !p.available(now, slow) {
			if p.probeDue(now) {
				return p, nil
			}
			continue
		}
		if p.atCap() {
			if slowStarting == nil || len(p.flights) < len(slowStarting.flights) {
				slowStarting = p
			}
			continue
		}
		sampled++
		if score := p.score(now, typical); best == nil || score < bestScore {
			best, bestScore = p, score
		}
	}
	return best, slowStarting
}

func (c *Chooser) typicalLatency(tier int) float64 {
	if m := c.latenciesByTier[tier].median; m > 0 {
		return m.Seconds()
	}
	return c.latencies.median.Seconds()
}

// toChoice returns the Chosen for a peer and starts a probe if one is due.
func (c *Chooser) toChoice(now time.Time, p *peer) Choice {
	due := p.probeDue(now)
	if due {
		p.startProbe(now)
	}
	return Chosen{ID: p.candidate.ID, Probe: due, CrossRegion: p.tier == otherRegionsTier}
}

// lastResort chooses among all candidates that are not excluded: suspected ones before ejected ones, then by tier, then by
// score. It never chooses a candidate that refuses the priority.
func (c *Chooser) lastResort(now time.Time, q Query) Choice {
	var best *peer
	var bestRank int
	var bestScore float64
	refused, level := false, uint16(0)
	for _, p := range c.all {
		if q.Exclude.Has(p.candidate.ID) {
			continue
		}
		if p.refuses(now, q.Priority) {
			refused, level = true, max(level, p.level)
			continue
		}
		rank := p.tier
		if p.candidate.Suspected {
			rank += tierCount
		}
		if !p.available(now, c.slowLatency(p.tier)) {
			rank += 2 * tierCount
		}
		score := p.score(now, c.typicalLatency(p.tier))
		if best == nil || rank < bestRank || rank == bestRank && score < bestScore {
			best, bestRank, bestScore = p, rank, score
		}
	}
	switch {
	case best != nil:
		return c.toChoice(now, best)
	case refused:
		return None{Reason: call.ReasonShed, Level: call.PriorityFromKey(level)}
	default:
		return None{Reason: call.ReasonNoBackendServer}
	}
}

// roundRobin is the baseline policy that chooses the candidates in turn and ignores all observations.
type roundRobin struct {
	next int
}

// Pick implements Policy.
func (r *roundRobin) Pick(c *Chooser, now time.Time, q Query) Choice {
	for range c.all {
		r.next = (r.next + 1) % len(c.all)
		if p := c.all[r.next]; !q.Exclude.Has(p.candidate.ID) {
			return Chosen{ID: p.candidate.ID, CrossRegion: p.tier == otherRegionsTier}
		}
	}
	return None{Reason: call.ReasonNoBackendServer}
}
