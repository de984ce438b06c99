package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"lovagelane/command"
	"lovagelane/event"
	"lovagelane/kernel"
	"lovagelane/node"
	"lovagelane/settings"
)

func main() {
	command.RunNode = runNode
	command.RunMesh = runMesh
	os.Exit(command.Run(os.Args[1:], &command.Env{Out: os.Stdout, Err: os.Stderr}))
}

// memoryLimitBytes is the soft memory limit of the Go runtime. Without it, a node whose bounded tables are all full uses
// about 200 MB, but its budget is 128 MB.
const memoryLimitBytes = 110 << 20

// runNode runs a node until SIGTERM or SIGINT and then drains it. A second signal stops the node immediately and aborts the
// calls in flight.
func runNode(s settings.Node) error {
	if _, ok := os.LookupEnv("GOMEMLIMIT"); !ok {
		debug.SetMemoryLimit(memoryLimitBytes)
	}
	n, err := node.Start(context.Background(), node.Options{Settings: s, Log: event.New(os.Stderr, kernel.SystemClock{})})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	drainCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group := kernel.NewGroup(context.Background())
	group.Go("signals", func(ctx context.Context) error {
		select {
		case <-signals:
		case <-ctx.Done():
			return nil
		}
		group.Go("second-signal", func(ctx context.Context) error {
			select {
			case <-signals:
				cancel()
			case <-ctx.Done():
			}
			return nil
		})
		if err := n.Drain(drainCtx); err != nil {
			_ = n.Stop()
			return err
		}
		return n.Stop()
	})
	if err := n.Wait(); err != nil {
		_ = group.Stop()
		return err
	}
	return group.Stop()
}
