package directory_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/directory"
)

func born(ms int64) directory.Incarnation { return directory.Incarnation{ID: "i", Born: ms} }

// Guards against a late announcement that revives a backend server which is leaving or has been replaced.
func TestTracker(t *testing.T) {
	type hear struct {
		b        directory.Incarnation
		sequence uint64
		leaving  bool
		want     directory.Heard
	}
	for name, steps := range map[string][]hear{
		"first announcement":     {{born(1), 1, false, directory.HeardServing}, {born(1), 2, false, directory.HeardNothing}},
		"ready after leaving":    {{born(1), 1, false, directory.HeardServing}, {born(1), 3, true, directory.HeardLeaving}, {born(1), 2, false, directory.HeardNothing}, {born(1), 4, false, directory.HeardNothing}},
		"old incarnation":        {{born(2), 1, false, directory.HeardServing}, {born(1), 9, false, directory.HeardNothing}},
		"same id, new start":     {{born(1), 7, true, directory.HeardLeaving}, {born(2), 1, false, directory.HeardServing}},
		"leaving without a beat": {{born(1), 0, true, directory.HeardLeaving}, {born(1), 1, false, directory.HeardNothing}},
		"other id, same birth":   {{born(1), 1, false, directory.HeardServing}, {directory.Incarnation{ID: "j", Born: 1}, 1, false, directory.HeardNothing}},
	} {
		var tracker directory.Tracker
		for i, s := range steps {
			require.Equal(t, s.want, tracker.Hear(s.b, s.sequence, s.leaving), "%s, step %d", name, i)
		}
	}
}

// Guards against a node that has started again and trusts a delayed announcement although the leaving is on record.
func TestTrackerKnowsRecordedLeavings(t *testing.T) {
	var tracker directory.Tracker
	require.False(t, tracker.Left(born(1)))
	require.Equal(t, directory.HeardLeaving, tracker.Hear(born(1), 1, false))
	require.Equal(t, directory.HeardServing, tracker.Hear(born(2), 1, false))
	require.True(t, tracker.Left(born(2)))
	_, state := tracker.Current()
	require.Equal(t, directory.Leaving, state)
}

// Guards against an announcement in any order that makes an incarnation serve after its leaving was heard.
func TestTrackerNeverRevives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker directory.Tracker
		left := map[directory.Incarnation]bool{}
		latest := int64(0)
		for range 50 {
			b := born(rapid.Int64Range(1, 4).Draw(t, "born"))
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
