package slots

import "lovagelane/kernel"

const (
	// capWindow is the number of ended runs after which a cap moves. With fewer, one long run more or less would move it.
	capWindow = 32
	// lateShare is the share of runs that end too late from which a cap falls. Below it they are the long ones of any mix.
	lateShare = 0.15
	// capFall is by how much of the share of late runs a cap falls.
	capFall = 0.7
	// nearRise is the part by which a cap rises near the limit from which it fell last, and farRise elsewhere.
	nearRise = 0.02
	farRise  = 0.08
	// nearBelow and nearAbove bound what is near, as multiples of the limit from which the cap fell last.
	nearBelow = 0.85
	nearAbove = 1.15
	// leastCap is the part of the slots below which no cap falls, so that a cap is lifted again once runs end in time.
	leastCap = 0.05
	// maxCaps bounds the routes that have caps.
	maxCaps = 4096
)

// Caps bounds how many calls of each sheddable route run at once by how many of them end in time. When a service further
// below is short of room, runs here wait for it and fail at their deadline, and all their work is lost; with fewer of them
// at once the rest are in time. The caller serializes access to it; its zero value caps nothing.
type Caps struct {
	routes *kernel.Table[string, routeCap]
}

type routeCap struct {
	limit   float64
	running int
	// most is the largest number that ran at once in the window.
	most  int
	ended int
	late  int
	// falls counts the falls of the limit. A run that was admitted before the last one says nothing of the limit since.
	falls int
	// fellFrom is the limit before the last fall.
	fellFrom float64
}

// Admit reports whether one more call of a route may run, and counts it as running if so. Ended needs the number that it
// returns.
func (c *Caps) Admit(route string, slots int) (admission int, ok bool) {
	if c.routes == nil {
		c.routes = kernel.NewTable[string, routeCap](maxCaps)
	}
	r := c.routes.Put(route)
	if r.limit == 0 || r.limit > float64(slots) {
		r.limit = float64(slots)
	}
	if r.running >= max(1, int(r.limit)) {
		return 0, false
	}
	r.running++
	r.most = max(r.most, r.running)
	return r.falls, true
}

// Cancelled takes back an admission whose call did not run, or ended without showing anything.
func (c *Caps) Cancelled(route string) {
	if r := c.find(route); r != nil && r.running > 0 {
		r.running--
	}
}

// Ended takes the end of a run; late says that it failed after most of its time had passed.
func (c *Caps) Ended(route string, admission, slots int, late bool) {
	r := c.find(route)
	if r == nil {
		return
	}
	if r.running > 0 {
		r.running--
	}
	if admission != r.falls {
		return
	}
	r.ended++
	if late {
		r.late++
	}
	if r.ended < capWindow {
		return
	}
	share := float64(r.late) / float64(r.ended)
	if share > lateShare {
		// A cap that was not reached does not bind, so it falls from what was reached.
		r.fellFrom = min(r.limit, float64(r.most))
		r.limit = r.fellFrom * (1 - capFall*share)
		r.falls++
	} else {
		r.limit += max(1, r.rise()*r.limit)
	}
	r.limit = max(leastCap*float64(slots), 1, min(r.limit, float64(slots)))
	r.ended, r.late, r.most = 0, 0, r.running
}

// rise returns the part by which the cap rises: slowly where it fell last, since a shortage that lasts shows there.
func (r *routeCap) rise() float64 {
	if r.limit > nearBelow*r.fellFrom && r.limit < nearAbove*r.fellFrom {
		return nearRise
	}
	return farRise
}

// Limit returns the cap of a route, or 0 when there is none.
func (c *Caps) Limit(route string) int {
	if r := c.find(route); r != nil {
		return int(r.limit)
	}
	return 0
}

func (c *Caps) find(route string) *routeCap {
	if c.routes == nil {
		return nil
	}
	return c.routes.Get(route)
}
