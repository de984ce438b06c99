package balance

import (
	"time"

	"lovagelane/call"
)

const (
	tierCount = 3
	// tierRegions is the tier of other regions.
	tierRegions = 2
	// choices is the number of random candidates that are compared.
	choices = 3
)

func init() {
	Policies.Register("least-loaded", func() Policy { return leastLoaded{} })
	Policies.Register("round-robin", func() Policy { return &roundRobin{} })
}

// leastLoaded compares a few random candidates of the nearest tier that has any to offer.
type leastLoaded struct{}

// Pick implements Policy.
func (leastLoaded) Pick(c *Chooser, now time.Time, q Query) Choice {
	var starting *peer
	for tier := range c.tiers {
		// Traffic that leaves the region is paid, so slow start in the region is overrun first.
		if tier == tierRegions && starting != nil {
			return c.chosen(now, starting)
		}
		best, full := c.sample(now, q, tier)
		if best != nil {
			return c.chosen(now, best)
		}
		if starting == nil {
			starting = full
		}
	}
	if starting != nil {
		return c.chosen(now, starting)
	}
	return c.lastResort(now, q)
}

// sample returns the best of a few random candidates of a tier, or an avoided one whose probe is due, or nil when none
// takes the call. It also returns the least loaded one that slow start keeps from taking the call.
func (c *Chooser) sample(now time.Time, q Query, tier int) (best, starting *peer) {
	peers, slow, usual := c.tiers[tier], c.slow(tier), c.usual(tier)
	var bestScore float64
	found := 0
	// Candidates that were drawn move to the front, so that none is drawn twice.
	for i := 0; i < len(peers) && found < choices; i++ {
		j := i + c.rand.IntN(len(peers)-i)
		peers[i], peers[j] = peers[j], peers[i]
		p := peers[i]
		if q.Exclude.Has(p.candidate.ID) || p.refuses(now, q.Priority) {
			continue
		}
		if !p.check(now, slow) {
			if p.probeDue(now) {
				return p, nil
			}
			continue
		}
		if p.full() {
			if starting == nil || len(p.flights) < len(starting.flights) {
				starting = p
			}
			continue
		}
		found++
		if score := p.score(now, usual); best == nil || score < bestScore {
			best, bestScore = p, score
		}
	}
	return best, starting
}

func (c *Chooser) usual(tier int) float64 {
	if m := c.good[tier].median; m > 0 {
		return m.Seconds()
	}
	return c.every.median.Seconds()
}

// chosen turns a peer into a choice.
func (c *Chooser) chosen(now time.Time, p *peer) Choice {
	due := p.probeDue(now)
	if due {
		p.probe(now)
	}
	return Chosen{ID: p.candidate.ID, Probe: due, CrossRegion: p.tier == tierRegions}
}

// lastResort returns the least bad candidate: a suspected one, then an avoided one; the nearest and least loaded first.
// A candidate that refuses the priority is never chosen.
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
		if !p.check(now, c.slow(p.tier)) {
			rank += 2 * tierCount
		}
		score := p.score(now, c.usual(p.tier))
		if best == nil || rank < bestRank || rank == bestRank && score < bestScore {
			best, bestRank, bestScore = p, rank, score
		}
	}
	switch {
	case best != nil:
		return c.chosen(now, best)
	case refused:
		return None{Reason: call.ReasonShed, Level: call.PriorityOf(level)}
	default:
		return None{Reason: call.ReasonNoBackendServer}
	}
}

// roundRobin is the baseline that takes the candidates in turn and ignores every observation.
type roundRobin struct {
	next int
}

// Pick implements Policy.
func (r *roundRobin) Pick(c *Chooser, now time.Time, q Query) Choice {
	for range c.all {
		r.next = (r.next + 1) % len(c.all)
		if p := c.all[r.next]; !q.Exclude.Has(p.candidate.ID) {
			return Chosen{ID: p.candidate.ID, CrossRegion: p.tier == tierRegions}
		}
	}
	return None{Reason: call.ReasonNoBackendServer}
}
