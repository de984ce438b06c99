package allowance

import (
	"math"
	"time"
)

const (
	// ownerLease is how long an owner counts a part after the stamp with which it was lent. It is shorter than lenderLease, so
	// that clocks may differ in speed.
	ownerLease = 1200 * time.Millisecond
	// sweepInterval bounds how late the end of a lease is noticed. lenderLease allows for it.
	sweepInterval = 10 * time.Millisecond
	// maxPools bounds the groups of which a node is the owner. During a change of the number of nodes there are old and new ones.
	maxPools = 2 * maxGroups
	// poolIdleTime is how long a group without lent parts is kept.
	poolIdleTime = 30 * time.Second
	// spareLevel is the part of its burst that a bucket must hold before it gives tokens in advance, and maxSharePerAsk the part
	// of its tokens that one ask may take below that level.
	spareLevel     = 0.5
	maxSharePerAsk = 0.25
	// maxBacklog bounds the part of the time until a token is due that is caused by other refused requests, and maxWait the rest.
	maxBacklog = 5 * time.Second
	maxWait    = 10 * time.Minute
	// noShareWait is the time that nodes are told while nothing is lent to the owner.
	noShareWait = 400 * time.Millisecond
	// fillTime is how long a new pool does not tell nodes that a key is used up.
	fillTime = time.Second
	// majority is the part of all nodes that only one owner can have.
	majority = 0.5
)

// owner hands out the tokens of the groups that other nodes believe it to own.
type owner struct {
	incarnation uint64
	pools       map[Group]*pool
	// released is set once the process is about to end. It then grants nothing.
	released bool
}

// pool holds the allowances of the keys of a group.
type pool struct {
	// leases holds, by node, the stamp with which it has lent its part last.
	leases  map[string]Reading
	share   float64
	buckets map[string]*ownedBucket
	usedAt  time.Duration
	// filledFrom is when most nodes had lent their parts.
	filledFrom time.Duration
	// sweptAt is when expired leases were last searched for.
	sweptAt Reading
}

type ownedBucket struct {
	bucket
	// backlogUntil is when the requests refused so far would have been served, which spaces the times that nodes are told.
	backlogUntil time.Duration
}

// handle answers a valid ask.
func (o *owner) handle(now Reading, a *Ask, nodes map[string]struct{}, limits map[string]Limit) (Reply, bool) {
	stamp := Stamp{Incarnation: o.incarnation, At: now}
	if o.released {
		return Reply{Group: a.Group, Number: a.Number, Stamp: stamp, Unlent: true, Released: true}, true
	}
	p := o.pool(now, a.Group, limits)
	if p == nil {
		return Reply{}, false
	}
	p.usedAt = now.Steady
	if _, known := nodes[a.Node]; known && a.Lent != nil && a.Lent.Incarnation == o.incarnation && a.Lent.At.Steady <= now.Steady {
		p.leases[a.Node] = a.Lent.At
	}
	p.updateShare(now, nodes, limits)
	for _, r := range a.Returns {
		b := p.buckets[r.Key]
		if b == nil || r.Incarnation != o.incarnation {
			continue
		}
		p.advance(now, b, limits[r.Key])
		b.used.add(r.Slot, -float64(r.Tokens))
		if b.epoch == r.Epoch {
			b.level += float64(r.Tokens)
			p.advance(now, b, limits[r.Key])
		}
	}
	reply := Reply{Group: a.Group, Number: a.Number, Stamp: stamp, Unlent: p.share < majority || now.Steady-p.filledFrom < fillTime}
	for _, w := range a.Wants {
		reply.Grants = append(reply.Grants, p.grant(now, w, limits))
	}
	return reply, true
}

// pool returns the pool of a group, which is created with empty buckets.
func (o *owner) pool(now Reading, g Group, limits map[string]Limit) *pool {
	if p := o.pools[g]; p != nil {
		return p
	}
	if len(o.pools) >= maxPools {
		return nil
	}
	if o.pools == nil {
		o.pools = map[Group]*pool{}
	}
	p := &pool{leases: map[string]Reading{}, buckets: map[string]*ownedBucket{}}
	p.addKeys(now, g, limits)
	o.pools[g] = p
	return p
}

// addKeys adds an empty bucket for each key of the group that has none, and removes those of other keys.
func (p *pool) addKeys(now Reading, g Group, limits map[string]Limit) {
	for key := range limits {
		if p.buckets[key] == nil && groupOf(key, g.Count) == g {
			p.buckets[key] = &ownedBucket{bucket: bucket{at: now.Steady}}
		}
	}
	for key := range p.buckets {
		if _, ok := limits[key]; !ok {
			delete(p.buckets, key)
		}
	}
}

// setLimits replaces the limits. The buckets first get their tokens up to now under the old ones.
func (o *owner) setLimits(now Reading, nodes map[string]struct{}, old, limits map[string]Limit) {
	for g, p := range o.pools {
		p.updateShare(now, nodes, old)
		p.advanceAll(now, old)
		p.addKeys(now, g, limits)
		p.advanceAll(now, limits)
	}
}

// expire ends leases and removes pools that nobody uses.
func (o *owner) expire(now Reading, nodes map[string]struct{}, limits map[string]Limit) {
	for g, p := range o.pools {
		p.updateShare(now, nodes, limits)
		if len(p.leases) == 0 && now.Steady-p.usedAt > poolIdleTime {
			delete(o.pools, g)
		}
	}
}

// updateShare ends expired leases. If the lent share changes, the buckets get their tokens up to now under the smaller one.
func (p *pool) updateShare(now Reading, nodes map[string]struct{}, limits map[string]Limit) {
	if now.longestSince(p.sweptAt) >= sweepInterval {
		p.sweep(now, nodes)
	}
	share := float64(len(p.leases)) / float64(max(len(nodes), 1))
	if share == p.share {
		return
	}
	old := p.share
	p.share = min(old, share)
	p.advanceAll(now, limits)
	p.share = share
	if old < majority && share >= majority {
		p.filledFrom = now.Steady
	}
}

func (p *pool) sweep(now Reading, nodes map[string]struct{}) {
	p.sweptAt = now
	for node, stamp := range p.leases {
		_, known := nodes[node]
		if !known || now.longestSince(stamp) >= ownerLease {
			delete(p.leases, node)
		}
	}
}

func (p *pool) advanceAll(now Reading, limits map[string]Limit) {
	for key, b := range p.buckets {
		p.advance(now, b, limits[key])
	}
}

func (p *pool) advance(now Reading, b *ownedBucket, l Limit) {
	b.advance(now.Steady, l, p.share, p.capacity(l))
}

// capacity returns the size of the bucket of a key. With the parts of most nodes it holds a whole token, which the parts of the
// others, each of less than a token, can't add up to.
func (p *pool) capacity(l Limit) float64 {
	capacity := l.Burst * p.share
	if p.share > majority {
		return max(capacity, 1)
	}
	return capacity
}

// grant takes tokens for a want. A key that the node does not know is not limited by it: the asking node has a newer
// configuration.
func (p *pool) grant(now Reading, w Want, limits map[string]Limit) Grant {
	g := Grant{Key: w.Key}
	b := p.buckets[w.Key]
	if b == nil {
		g.Tokens = w.Tokens
		return g
	}
	l := limits[w.Key]
	p.advance(now, b, l)
	wanted := w.Tokens
	available := b.available(l, p.share)
	spare := math.Floor(float64(available) - spareLevel*p.capacity(l))
	switch {
	case spare >= float64(w.Tokens):
		wanted += min(w.Spare, int(spare)-w.Tokens)
	default:
		// Nodes that ask at the same time shall each get some.
		wanted = min(wanted, max(1, int(float64(available)*maxSharePerAsk)))
	}
	g.Tokens = min(wanted, available)
	g.Slot = b.take(now.Steady, g.Tokens)
	g.Epoch = b.epoch
	if g.Tokens < w.Tokens {
		wait := b.backlog(now.Steady, float64(w.Tokens-g.Tokens+w.Refused), l.Rate*p.share)
		if l.Most > 0 && p.share > 0 {
			wait = max(wait, b.used.wait(now.Steady, l.Most*p.share))
		}
		g.WaitMS = min(wait.Milliseconds()+1, maxWait.Milliseconds())
	}
	return g
}

// backlog adds refused requests to the backlog and returns the time until a token is due for the last of them.
func (b *ownedBucket) backlog(now time.Duration, refused, rate float64) time.Duration {
	if rate <= 0 {
		return noShareWait
	}
	perToken := float64(time.Second) / rate
	due := time.Duration(min(max(1-b.level, 0)*perToken, float64(maxWait)))
	b.backlogUntil = max(b.backlogUntil, now+due) + time.Duration(min((refused-1)*perToken, float64(maxBacklog)))
	b.backlogUntil = min(b.backlogUntil, now+due+maxBacklog)
	return b.backlogUntil - now
}
