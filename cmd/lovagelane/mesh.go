package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"lovagelane/event"
	"lovagelane/kernel"
	"lovagelane/mesh"
	_ "lovagelane/platform" // Registers the operators' platform.
	"lovagelane/settings"
)

// memoryLimitShare is the soft memory limit of the Go runtime as a share of the memory in the settings.
const memoryLimitShare = 0.6

// runMesh runs a mesh node until SIGTERM or SIGINT. On SIGHUP it reads the settings again.
func runMesh(path string, s settings.Mesh) error {
	if _, ok := os.LookupEnv("GOMEMLIMIT"); !ok && s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMB) * (1 << 20)))
	}
	group := kernel.NewGroup(context.Background())
	buffer := event.NewBuffer(group, os.Stdout)
	defer buffer.Flush()
	log := event.New(buffer, kernel.SystemClock{})
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	n, err := mesh.Start(context.Background(), mesh.Options{Settings: s, Log: log})
	if err != nil {
		return err
	}
	stopped := make(chan error, 1)
	group.Go("node", func(context.Context) error {
		stopped <- n.Wait()
		return nil
	})
	for {
		select {
		case err := <-stopped:
			return err
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return n.Stop()
			}
			rereadSettings(path, s, log)
		}
	}
}

// rereadSettings reads the settings again and logs whether they changed. Settings are fixed while the process runs, so a
// change takes effect at the next start, and the running node is not interrupted.
func rereadSettings(path string, old settings.Mesh, log *event.Log) {
	s, err := settings.LoadMesh(path)
	if err != nil {
		log.Error("settings-not-read", "error", err)
		return
	}
	log.Info("settings-read", "changed", s.String() != old.String(), "effect", "at the next start")
}
