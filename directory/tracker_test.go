package directory_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/directory"
)

func start(ms int64) directory.Incarnation { return directory.Incarnation{ID: "i", Born: ms} }

// Guards against a late announcement that makes a leaving or replaced backend server serve again.
func TestTracker(t *testing.T) {
	type announcement struct {
		b        directory.Incarnation
		sequence uint64
		leaving  bool
		want     directory.Heard
	}
	for name, steps := range map[string][]announcement{
		"first announcement":     {{start(1), 1, false, directory.HeardServing}, {start(1), 2, false, directory.HeardNothing}},
		"ready after leaving":    {{start(1), 1, false, directory.HeardServing}, {start(1), 3, true, directory.HeardLeaving}, {start(1), 2, false, directory.HeardNothing}, {start(1), 4, false, directory.HeardNothing}},
		"old incarnation":        {{start(2), 1, false, directory.HeardServing}, {start(1), 9, false, directory.HeardNothing}},
		"same id, new start":     {{start(1), 7, true, directory.HeardLeaving}, {start(2), 1, false, directory.HeardServing}},
		"leaving without a beat": {{start(1), 0, true, directory.HeardLeaving}, {start(1), 1, false, directory.HeardNothing}},
		"other id, same birth":   {{start(1), 1, false, directory.HeardServing}, {directory.Incarnation{ID: "j", Born: 1}, 1, false, directory.HeardNothing}},
	} {
		var tracker directory.Tracker
		for i, s := range steps {
			require.Equal(t, s.want, tracker.Hear(s.b, s.sequence, s.leaving), "%s, step %d", name, i)
		}
	}
}

// Guards against a restarted node that accepts a delayed announcement although the store records the leaving.
func TestTrackerAppliesRecordedLeavings(t *testing.T) {
	var tracker directory.Tracker
	require.False(t, tracker.Left(start(1)))
	require.Equal(t, directory.HeardLeaving, tracker.Hear(start(1), 1, false))
	require.Equal(t, directory.HeardServing, tracker.Hear(start(2), 1, false))
	require.True(t, tracker.Left(start(2)))
	_, state := tracker.Current()
	require.Equal(t, directory.Leaving, state)
}

// Guards against an incarnation that serves again after it announced its leaving, with announcements in any order.
func TestTrackerNeverServesAfterLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker directory.Tracker
		left := map[directory.Incarnation]bool{}
		latest := int64(0)
		for range 50 {
			b := start(rapid.Int64Range(1, 4).Draw(t, "born"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				tracker.Hear(b, rapid.Uint64Range(1, 9).Draw(t, "sequence"), true)
				left[b] = left[b] || b.Born >= latest
				latest = max(latest, b.Born)
			case 1, 2:
				tracker.Hear(b, rapid.Uint64Range(1, 9).Draw(t, "sequence"), false)
				latest = max(latest, b.Born)
			case 3:
				tracker.Lost()
			}
			current, state := tracker.Current()
			if state == directory.Serving {
				require.False(t, left[current], "%v serves after its leaving", current)
				require.Equal(t, latest, current.Born)
			}
		}
	})
}
