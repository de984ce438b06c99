package standin

import (
	"strconv"
	"strings"
	"time"
)

// Profile defines the arrival rate over time; the steps are sorted by From.
type Profile struct{ Steps []Step }

// Step sets the arrival rate, in requests per second, starting at From after the start of the load. If Period is set, the
// rate is a square wave: Rate in the first half of each period and Low in the second half.
type Step struct {
	From      time.Duration
	Rate, Low float64
	Period    time.Duration
}

// Constant returns a profile with a constant rate.
func Constant(rate float64) Profile { return Profile{Steps: []Step{{Rate: rate}}} }

// Rate returns the arrival rate at a time after the start; it is 0 before the first step.
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

// ParseProfile parses steps such as 0s=100,10s=500,20s=500/50:4s. The last of these alternates between 500 and 50 with a
// period of 4 s.
func ParseProfile(text string) (Profile, error) {
	var p Profile
	for part := range strings.SplitSeq(text, ",") {
		s, err := parseStep(part)
		if err != nil {
			return Profile{}, err
		}
		if n := len(p.Steps); n > 0 && s.From <= p.Steps[n-1].From {
			return Profile{}, Error.New("step %q is out of order: sort the steps by increasing time", part)
		}
		p.Steps = append(p.Steps, s)
	}
	return p, nil
}

func parseStep(text string) (Step, error) {
	malformed := Error.New("step %q is malformed: write it as 10s=500 or 10s=500/50:4s", text)
	from, rates, ok := strings.Cut(strings.TrimSpace(text), "=")
	if !ok {
		return Step{}, malformed
	}
	var s Step
	var err error
	if s.From, err = time.ParseDuration(from); err != nil {
		return Step{}, malformed
	}
	high, lowAndPeriod, alternates := strings.Cut(rates, "/")
	if s.Rate, err = strconv.ParseFloat(high, 64); err != nil {
		return Step{}, malformed
	}
	if !alternates {
		return s, nil
	}
	low, period, _ := strings.Cut(lowAndPeriod, ":")
	if s.Low, err = strconv.ParseFloat(low, 64); err != nil {
		return Step{}, malformed
	}
	if s.Period, err = time.ParseDuration(period); err != nil || s.Period <= 0 {
		return Step{}, malformed
	}
	return s, nil
}
