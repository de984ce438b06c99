package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/capacity"
	"lovagelane/kernel"
	"lovagelane/settings"
)

// Guards against a learned run time that is in no answer, refusals included, and against one in the answers of a node that isn't to
// learn.
func TestAnswersReportTheRunTime(t *testing.T) {
	for s, want := range map[settings.Mesh]int64{{LearnCapacity: true}: 100_000, {FollowRunTimes: true}: 100_000, {}: 0} {
		n := &Node{settings: s, clock: kernel.SystemClock{}}
		n.capacity.learner.Finish(time.Now(), 100*time.Millisecond, capacity.Completed{Route: "read"})
		a := n.answerLocked(&job{m: callMessage{Route: "read"}}, outcomeBusy, "busy")
		require.Equal(t, want, a.Load.RunMicros)
	}
}

// Guards against a node that is only to follow run times and holds calls back from its backend server.
func TestOnlyLearnCapacityLimitsCalls(t *testing.T) {
	for _, s := range []settings.Mesh{{LearnCapacity: true}, {FollowRunTimes: true}} {
		n := &Node{settings: s, clock: kernel.SystemClock{}}
		require.Equal(t, 100, n.learnedLimitLocked(100))
		now := time.Now()
		for i := range 100 {
			now = now.Add(20 * time.Millisecond)
			n.capacity.learner.Finish(now, 0, capacity.Rejected{})
			n.capacity.learner.Finish(now, 100*time.Millisecond, capacity.Completed{Route: "read"})
			n.capacity.learner.Update(now, 50, i%2)
		}
		require.Equal(t, s.LearnCapacity, n.learnedLimitLocked(100) < 100)
	}
}

// Guards against a log line at each tick of a node whose backend server hasn't announced itself.
func TestOnlyChangesOfTheLimitAreLogged(t *testing.T) {
	require.False(t, (&learnedCapacity{}).isLoggedChange(0))
	require.False(t, (&learnedCapacity{logged: 100}).isLoggedChange(90))
	require.True(t, (&learnedCapacity{logged: 100}).isLoggedChange(75))
}
