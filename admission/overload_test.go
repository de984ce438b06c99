package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/admission"
)

// Guards against overload that costs goodput or sheds an important class that fits the capacity.
func TestOverloadKeepsGoodputAndClasses(t *testing.T) {
	const slots, mean = 35, 20 * time.Millisecond
	capacity := slots / mean.Seconds()
	for _, over := range []float64{2, 5} {
		important := &stream{op: "pay", caller: "a", rank: 1, rate: constant(0.4 * capacity), mean: mean, patience: time.Second}
		bulk := &stream{op: "map", caller: "b", rank: 5, rate: constant((over - 0.4) * capacity), mean: mean, patience: time.Second}
		s := simulate(t, 1, admission.Config{Slots: slots}, backend{}, 8*time.Second, important, bulk)
		i, b := s.sum(important, time.Second, 7*time.Second), s.sum(bulk, time.Second, 7*time.Second)
		require.GreaterOrEqual(t, float64(i.good+b.good)/6, 0.9*capacity, "goodput at %vx", over)
		require.GreaterOrEqual(t, float64(i.good), 0.99*float64(i.offered), "important class at %vx", over)
	}
}

// Guards against a level that stays strict after the overload, so that calls are refused while slots are idle.
func TestLevelComesBackByItself(t *testing.T) {
	const slots, mean = 35, 20 * time.Millisecond
	capacity := slots / mean.Seconds()
	bulk := &stream{op: "map", caller: "b", rank: 5, rate: between(time.Second, 3*time.Second, 5*capacity, 0.6*capacity), mean: mean, patience: time.Second}
	s := simulate(t, 1, admission.Config{Slots: slots}, backend{}, 6*time.Second, bulk)
	after := s.sum(bulk, 4500*time.Millisecond, 5900*time.Millisecond)
	require.Equal(t, after.offered, after.good)
}
