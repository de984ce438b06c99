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
	for learn, want := range map[bool]int64{true: 100_000, false: 0} {
		n := &Node{settings: settings.Mesh{LearnCapacity: learn}, clock: kernel.SystemClock{}}
		n.capacity.learner.Finish(time.Now(), 100*time.Millisecond, capacity.Completed{Route: "read"})
		a := n.answerLocked(&job{m: callMessage{Route: "read"}}, outcomeBusy, "busy")
		require.Equal(t, want, a.Load.RunMicros)
	}
}
