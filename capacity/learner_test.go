package capacity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/capacity"
)

// Guards against a limit above the announced slots, or so low that no run could show that more would be better.
func TestLimitStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l capacity.Learner
		now, announced := at(0), 1
		l.SetSlots(now, announced)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				announced = rapid.IntRange(1, 300).Draw(t, "slots")
				l.SetSlots(now, announced)
			case 1:
				l.Finish(now, time.Second, capacity.Rejected{})
			case 2:
				l.Finish(now, time.Second, capacity.Wasted{})
			default:
				ran := time.Duration(rapid.IntRange(0, 5000).Draw(t, "ran")) * time.Millisecond
				for range 20 {
					l.Finish(now, ran, capacity.Completed{Route: "r"})
				}
			}
			l.Update(now, rapid.IntRange(0, 300).Draw(t, "running"), rapid.IntRange(0, 2).Draw(t, "waiting"))
			require.LessOrEqual(t, l.Limit(), announced)
			require.GreaterOrEqual(t, l.Limit(), min(announced, max(4, announced/8)))
		}
	})
}

// Guards against a backend server that rejects calls beyond half of its slots and is sent as many again.
func TestRejectionsLowerTheLimit(t *testing.T) {
	var l capacity.Learner
	l.SetSlots(at(0), 100)
	l.Update(at(0), 50, 0)
	for t := step; t < 5*time.Second; t += step {
		if t%(20*time.Millisecond) == 0 {
			l.Finish(at(t), 0, capacity.Rejected{})
		}
		l.Finish(at(t), 100*time.Millisecond, capacity.Completed{Route: "r"})
		l.Update(at(t), 50, 0)
	}
	require.LessOrEqual(t, l.Limit(), 45)
	l.SetSlots(at(5*time.Second), 1000)
	require.Equal(t, 125, l.Limit(), "the floor of the new slots")
}

// Guards against a surge that begins with a trial of a lower limit, since the time of the next one has passed in a calm.
func TestSurgeBeginsWithAllSlots(t *testing.T) {
	var l capacity.Learner
	l.SetSlots(at(0), 100)
	for now := time.Duration(0); now < 32*time.Second; now += step {
		l.Finish(at(now), 100*time.Millisecond, capacity.Completed{Route: "r"})
		if now < time.Second || now >= 30*time.Second {
			l.Update(at(now), 100, 50)
		} else {
			l.Update(at(now), 10, 0)
		}
		require.Equal(t, 100, l.Limit(), now)
	}
}

// Guards against a single long run that makes a backend server look slow.
func TestOneLongRunIsNoSlowServer(t *testing.T) {
	var l capacity.Learner
	l.SetSlots(at(0), 100)
	l.Update(at(0), 1, 0)
	now := 100 * time.Millisecond
	for ; now < 10*time.Second; now += 10 * time.Millisecond {
		if now%(100*time.Millisecond) == 0 {
			l.Finish(at(now), 100*time.Millisecond, capacity.Completed{Route: "r"})
		}
		l.Update(at(now), 1, 0)
	}
	for until := now + 300*time.Millisecond; now < until; now += 10 * time.Millisecond {
		l.Update(at(now), 1, 0)
	}
	require.InDelta(t, 0.1, l.ExpectedRunTime("r").Seconds(), 0.02)
}

// Guards against a backend server that stops answering and is reported as fast as before until its first late answer.
func TestRunsInFlightShowASlowServer(t *testing.T) {
	var l capacity.Learner
	l.SetSlots(at(0), 100)
	l.Update(at(0), 10, 0)
	now := time.Duration(0)
	for ; now < 10*time.Second; now += 10 * time.Millisecond {
		if now >= 100*time.Millisecond {
			l.Finish(at(now), 100*time.Millisecond, capacity.Completed{Route: "r"})
		}
		l.Update(at(now), 10, 0)
	}
	require.InDelta(t, 0.1, l.ExpectedRunTime("r").Seconds(), 0.02)
	for until := now + 500*time.Millisecond; now < until; now += 10 * time.Millisecond {
		l.Update(at(now), 10, 0)
	}
	require.Greater(t, l.ExpectedRunTime("r"), 200*time.Millisecond)
	require.Zero(t, l.ExpectedRunTime("unknown"))
}
