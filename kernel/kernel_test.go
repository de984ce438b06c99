package kernel_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/kernel"
)

// Guards against a panic in one goroutine of a group that crashes the process or is not reported.
func TestGroupReturnsPanicsAsErrors(t *testing.T) {
	g := kernel.NewGroup(context.Background())
	g.Go("fails", func(context.Context) error { panic("boom") })
	require.ErrorContains(t, g.Wait(), "goroutine fails panicked: boom")
}

// Guards against Stop leaking goroutines, or returning nil for an error other than cancellation.
func TestGroupStopWaitsAndReturnsTheError(t *testing.T) {
	g := kernel.NewGroup(context.Background())
	g.Go("waits", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	require.NoError(t, g.Stop())

	failed := errors.New("listen failed")
	g = kernel.NewGroup(context.Background())
	g.Go("fails", func(context.Context) error { return failed })
	require.ErrorIs(t, g.Stop(), failed)
}

// Guards against a process that cannot exit because a goroutine ignores cancellation, and against StopWithin losing the
// error of a goroutine that returns in time.
func TestGroupStopWithinLimitsTheWait(t *testing.T) {
	g := kernel.NewGroup(context.Background())
	release := make(chan struct{})
	defer close(release)
	g.Go("hangs", func(context.Context) error { <-release; return nil })
	require.NoError(t, g.StopWithin(10*time.Millisecond))
	g = kernel.NewGroup(context.Background())
	failed := errors.New("listen failed")
	g.Go("fails", func(context.Context) error { return failed })
	require.ErrorIs(t, g.StopWithin(time.Minute), failed)
}

// Guards against accepting an unknown or duplicate plug-in name, and against an error that does not list the valid names.
func TestRegistryLookupListsValidNames(t *testing.T) {
	var r kernel.Registry[int]
	r.Register("fixed", 1)
	r.Register("learned", 2)
	got, err := r.Lookup("learned")
	require.NoError(t, err)
	require.Equal(t, 2, got)
	_, err = r.Lookup("lerned")
	require.ErrorContains(t, err, "use one of fixed, learned")
	require.Panics(t, func() { r.Register("fixed", 3) })
}

// Guards against With modifying its receiver, and against a nil set that cannot be read.
func TestSetWithDoesNotChangeReceiver(t *testing.T) {
	a := kernel.SetOf("rn")
	b := a.With("ce")
	require.False(t, a.Has("ce"))
	require.True(t, b.Has("ce") && b.Has("rn"))
	require.False(t, kernel.Set[string](nil).Has("rn"))
}
