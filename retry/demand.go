package retry

import (
	"math"
	"slices"
	"time"
)

const (
	// demandHalfLife is the time after which a repeat that was asked for counts half in the rate of such repeats. It is short, so that
	// little is kept back soon after a shortage.
	demandHalfLife = 500 * time.Millisecond
	// maxKinds bounds the kinds of requests of a service that are told apart. Nothing is kept back for others.
	maxKinds = 64
	// maxExpected bounds the time for which repeats are expected, which is cut to the length of the window as well.
	maxExpected = time.Hour
)

// demand is how many repeats were asked for at a service, whether they were allowed or not, by kind of request.
type demand []kindDemand

// kindDemand is the demand of the requests of a kind and rank, or of those among them that are late.
type kindDemand struct {
	kind string
	rank int
	late bool
	// level is that of the last saving.
	level int
	// asked counts by the buckets of the window.
	asked [windowBuckets + 1]float64
	// recent is the number asked for, of which each counts half after demandHalfLife.
	recent float64
	at     time.Time
}

// expected is a rate of repeats, in a second, that is expected for some time.
type expected struct {
	perSecond float64
	lasts     time.Duration
}

// add counts a repeat that is asked for.
func (d *demand) add(now time.Time, bucket int, saving Saving, cost float64) {
	i := slices.IndexFunc(*d, func(k kindDemand) bool { return k.alike(saving) })
	if i < 0 {
		*d = slices.DeleteFunc(*d, func(k kindDemand) bool { return k.inWindow() == 0 })
		if len(*d) == maxKinds {
			return
		}
		i = len(*d)
		*d = append(*d, kindDemand{kind: saving.Kind, rank: saving.Rank, late: saving.Late})
	}
	k := &(*d)[i]
	k.age(now)
	k.level = saving.level()
	k.recent += cost
	k.asked[bucket] += cost
}

func (k *kindDemand) alike(s Saving) bool {
	return k.kind == s.Kind && k.rank == s.Rank && k.late == s.Late
}

// clearBucket forgets what was asked for in a bucket.
func (d demand) clearBucket(bucket int) {
	for i := range d {
		d[i].asked[bucket] = 0
	}
}

// before returns the repeats that are to find budget before one of another kind does. What has lasted for a time goes on for x times as
// long with probability 1/(1+x) if nothing is known of its length. Budget is kept for the time for which that exceeds the relative value
// of the latter, since until then it is worth more to the repeats that save more.
func (d demand) before(now time.Time, saving Saving) []expected {
	var all []expected
	level := saving.level()
	for i := range d {
		k := &d[i]
		if k.level >= level || k.alike(saving) {
			continue
		}
		k.age(now)
		asked := k.inWindow()
		if k.recent == 0 || asked == 0 {
			continue
		}
		perSecond := k.recent * math.Ln2 / demandHalfLife.Seconds()
		lasts := min(asked/perSecond*(valueRatio(k.level, level)-1), maxExpected.Seconds())
		all = append(all, expected{perSecond: perSecond, lasts: time.Duration(lasts * float64(time.Second))})
	}
	return all
}

// inWindow returns how many repeats were asked for in the window.
func (k *kindDemand) inWindow() float64 {
	sum := 0.0
	for _, count := range k.asked {
		sum += count
	}
	return sum
}

// age lowers the weight of what was asked for so far.
func (k *kindDemand) age(now time.Time) {
	if elapsed := now.Sub(k.at); elapsed > 0 && !k.at.IsZero() {
		k.recent *= math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
	}
	k.at = now
}
