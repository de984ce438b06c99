package standin

import (
	"strconv"
	"strings"
	"time"
)

// Profile is the rate of arrivals over time; the steps are in the order of their times.
type Profile struct{ Steps []Step }

// Step sets the rate, in requests a second, from a time after the start on. With a period it swings: the rate holds for
// the first half of each period and Low for the second half.
type Step struct {
	From      time.Duration
	Rate, Low float64
	Period    time.Duration
}

// Constant returns a profile with one rate.
func Constant(rate float64) Profile { return Profile{Steps: []Step{{Rate: rate}}} }

// Rate returns the rate at a time after the start.
func (p Profile) Rate(at time.Duration) float64 {
	rate := 0.0
	for _, s := range p.Steps {
		if at < s.From {
			break
		}
		rate = s.Rate
		if s.Period > 0 && (at-s.From)%s.Period >= s.Period/2 {
			rate = s.Low
		}
	}
	return rate
}

// ParseProfile reads steps such as 0s=100,10s=500,20s=500/50:4s; the last one swings between 500 and 50 every 4 s.
func ParseProfile(text string) (Profile, error) {
	var p Profile
	for part := range strings.SplitSeq(text, ",") {
		s, err := parseStep(part)
		if err != nil {
			return Profile{}, err
		}
		if n := len(p.Steps); n > 0 && s.From <= p.Steps[n-1].From {
			return Profile{}, Error.New("step %q is out of order: give the steps by rising time", part)
		}
		p.Steps = append(p.Steps, s)
	}
	return p, nil
}

func parseStep(text string) (Step, error) {
	bad := Error.New("step %q is malformed: write it as 10s=500 or 10s=500/50:4s", text)
	from, rates, ok := strings.Cut(strings.TrimSpace(text), "=")
	if !ok {
		return Step{}, bad
	}
	var s Step
	var err error
	if s.From, err = time.ParseDuration(from); err != nil {
		return Step{}, bad
	}
	high, swing, swings := strings.Cut(rates, "/")
	if s.Rate, err = strconv.ParseFloat(high, 64); err != nil {
		return Step{}, bad
	}
	if !swings {
		return s, nil
	}
	low, period, _ := strings.Cut(swing, ":")
	if s.Low, err = strconv.ParseFloat(low, 64); err != nil {
		return Step{}, bad
	}
	if s.Period, err = time.ParseDuration(period); err != nil || s.Period <= 0 {
		return Step{}, bad
	}
	return s, nil
}
