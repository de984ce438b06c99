package kernel_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/kernel"
)

// Guards against a panic in one goroutine of a group that takes the process down or is lost.
func TestGroupReportsPanics(t *testing.T) {
	g := kernel.NewGroup(context.Background())
	g.Go("fails", func(context.Context) error { panic("boom") })
	require.ErrorContains(t, g.Wait(), "goroutine fails panicked: boom")
}

// Guards against Stop leaving goroutines behind or hiding a real error behind cancellation.
func TestGroupStops(t *testing.T) {
	g := kernel.NewGroup(context.Background())
	g.Go("waits", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	require.NoError(t, g.Stop())

	failed := errors.New("listen failed")
	g = kernel.NewGroup(context.Background())
	g.Go("fails", func(context.Context) error { return failed })
	require.ErrorIs(t, g.Stop(), failed)
}

// Guards against a process that can't end because a goroutine waits for something that does not come.
func TestGroupStopsWithinATime(t *testing.T) {
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

// Guards against an unknown plug-in name that is accepted or reported without the valid names.
func TestRegistryNamesItsPlugins(t *testing.T) {
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

// Guards against With changing the set that it was called on.
func TestSetWithKeepsTheOriginal(t *testing.T) {
	a := kernel.SetOf("rn")
	b := a.With("ce")
	require.False(t, a.Has("ce"))
	require.True(t, b.Has("ce") && b.Has("rn"))
	require.False(t, kernel.Set[string](nil).Has("rn"))
}
