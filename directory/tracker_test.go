package directory_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagelane/directory"
)

func start(ms int64) directory.Incarnation { return directory.Incarnation{ID: "i", StartMillis: ms} }

// Guards against a late announcement that makes a leaving or replaced backend server serve again.
func TestTracker(t *testing.T) {
	type announcement struct {
		b        directory.Incarnation
		sequence uint64
		leaving  bool
		want     directory.Transition
	}
	for name, steps := range map[string][]announcement{
		"first announcement":          {{start(1), 1, false, directory.BecameServing}, {start(1), 2, false, directory.NoTransition}},
		"ready after leaving":         {{start(1), 1, false, directory.BecameServing}, {start(1), 3, true, directory.BecameLeaving}, {start(1), 2, false, directory.NoTransition}, {start(1), 4, false, directory.NoTransition}},
		"old incarnation":             {{start(2), 1, false, directory.BecameServing}, {start(1), 9, false, directory.NoTransition}},
		"same id, new start":          {{start(1), 7, true, directory.BecameLeaving}, {start(2), 1, false, directory.BecameServing}},
		"leaving without a heartbeat": {{start(1), 0, true, directory.BecameLeaving}, {start(1), 1, false, directory.NoTransition}},
		"other id, same start":        {{start(1), 1, false, directory.BecameServing}, {directory.Incarnation{ID: "j", StartMillis: 1}, 1, false, directory.NoTransition}},
	} {
		var tracker directory.Tracker
		for i, s := range steps {
			require.Equal(t, s.want, tracker.Observe(s.b, s.sequence, s.leaving), "%s, step %d", name, i)
		}
	}
}

// Guards against a restarted node that accepts a delayed announcement although the store records the departure.
func TestTrackerAppliesRecordedDepartures(t *testing.T) {
	var tracker directory.Tracker
	require.False(t, tracker.MarkLeaving(start(1)))
	require.Equal(t, directory.BecameLeaving, tracker.Observe(start(1), 1, false))
	require.Equal(t, directory.BecameServing, tracker.Observe(start(2), 1, false))
	require.True(t, tracker.MarkLeaving(start(2)))
	_, state := tracker.Current()
	require.Equal(t, directory.Leaving, state)
}

// Guards against a departure without a known start, recorded with a later one, that lets earlier starts of its id serve, hides a
// later start, or concerns another id.
func TestTrackerDepartureCoversEarlierStarts(t *testing.T) {
	var tracker directory.Tracker
	other := directory.Incarnation{ID: "j", StartMillis: 1}
	require.Equal(t, directory.BecameServing, tracker.Observe(other, 1, false))
	require.False(t, tracker.MarkLeaving(start(5)))
	_, state := tracker.Current()
	require.Equal(t, directory.Serving, state)
	require.Equal(t, directory.BecameLeaving, tracker.Observe(start(3), 1, false))
	require.Equal(t, directory.BecameServing, tracker.Observe(start(6), 1, false))
	require.True(t, tracker.MarkLeaving(start(7)))
}

// Guards against an incarnation that serves again after it announced its departure, with announcements in any order.
func TestTrackerNeverServesAfterLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker directory.Tracker
		departed := map[directory.Incarnation]bool{}
		latest := int64(0)
		for range 50 {
			b := start(rapid.Int64Range(1, 4).Draw(t, "born"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				tracker.Observe(b, rapid.Uint64Range(1, 9).Draw(t, "sequence"), true)
				departed[b] = departed[b] || b.StartMillis >= latest
				latest = max(latest, b.StartMillis)
			case 1, 2:
				tracker.Observe(b, rapid.Uint64Range(1, 9).Draw(t, "sequence"), false)
				latest = max(latest, b.StartMillis)
			case 3:
				tracker.MarkUnreachable()
			}
			current, state := tracker.Current()
			if state == directory.Serving {
				require.False(t, departed[current], "%v serves after its departure", current)
				require.Equal(t, latest, current.StartMillis)
			}
		}
	})
}
