package fairshare

import (
	"math"
	"slices"
	"time"

	"lovagelane/kernel"
)

const (
	// maxAccounts bounds the table of accounts. Beyond it, the least recently used account is forgotten.
	maxAccounts = 4096
	// demandTimeConstant is the time in which the weight of past demand falls to 1/e.
	demandTimeConstant = time.Second
	// levelInterval is the period at which the fair share is computed anew for the same room.
	levelInterval = 100 * time.Millisecond
	// minDemand is the demand, in slots, below which an account is forgotten.
	minDemand = 1e-4
)

// Level returns the max-min fair share of room: the largest demand that is served in full, and what every larger one gets. It
// returns +Inf if all demands fit. It sorts demands in place.
func Level(room float64, demands []float64) float64 {
	slices.Sort(demands)
	for i, demand := range demands {
		share := room / float64(len(demands)-i)
		if demand > share {
			return max(share, 0)
		}
		room -= demand
	}
	return math.Inf(1)
}

// Usage measures the work that each account asks for of one thing that may be short, as a service in a region. The zero value
// is ready to use. The caller serializes access to it.
type Usage struct {
	accounts *kernel.LRU[string, demand]
	level    float64
	// levelRoom and levelAt are the room and the time for which level was computed.
	levelRoom float64
	levelAt   time.Time
	scratch   []float64
}

// demand is a decaying sum of slot-seconds.
type demand struct {
	work float64
	at   time.Time
}

// slots returns the demand as the number of slots that it keeps busy.
func (d demand) slots(now time.Time) float64 {
	return d.work * math.Exp(-max(now.Sub(d.at), 0).Seconds()/demandTimeConstant.Seconds()) / demandTimeConstant.Seconds()
}

// Record counts work, in slot-seconds, that an account asks for, also if it is refused.
func (u *Usage) Record(now time.Time, account string, work float64) {
	if u.accounts == nil {
		u.accounts = kernel.NewLRU[string, demand](maxAccounts)
	}
	d := u.accounts.GetOrAdd(account)
	*d = demand{work: d.slots(now)*demandTimeConstant.Seconds() + max(work, 0), at: now}
}

// Demand returns the recent demand of an account in slots.
func (u *Usage) Demand(now time.Time, account string) float64 {
	if u.accounts == nil {
		return 0
	}
	d := u.accounts.Get(account)
	if d == nil {
		return 0
	}
	return d.slots(now)
}

// Excess returns the part of an account's demand, from 0 to 1, that is beyond its fair share of room, in slots. Requests in this
// proportion are to be refused first.
func (u *Usage) Excess(now time.Time, account string, room float64) float64 {
	asked := u.Demand(now, account)
	if level := u.levelOf(now, room); asked > level {
		return 1 - level/asked
	}
	return 0
}

func (u *Usage) levelOf(now time.Time, room float64) float64 {
	if u.accounts == nil {
		return math.Inf(1)
	}
	if room == u.levelRoom && !u.levelAt.IsZero() && now.Sub(u.levelAt) < levelInterval {
		return u.level
	}
	u.scratch = u.scratch[:0]
	u.accounts.Retain(func(_ string, d *demand) bool {
		asked := d.slots(now)
		u.scratch = append(u.scratch, asked)
		return asked >= minDemand
	})
	u.level, u.levelRoom, u.levelAt = Level(room, u.scratch), room, now
	return u.level
}
