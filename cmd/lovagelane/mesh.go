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

// memoryShare is the part of the memory that the settings state at which the garbage collector works harder.
const memoryShare = 0.6

// runMesh runs a mesh node until SIGTERM or SIGINT. SIGHUP has the settings read again.
func runMesh(path string, s settings.Mesh) error {
	if _, ok := os.LookupEnv("GOMEMLIMIT"); !ok && s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
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
	failed := make(chan error, 1)
	group.Go("node", func(context.Context) error {
		failed <- n.Wait()
		return nil
	})
	for {
		select {
		case err := <-failed:
			return err
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return n.Stop()
			}
			reload(path, s, log)
		}
	}
}

// reload reads the settings again. What they state holds for a whole run of the process, so a change takes effect at the
// next start; nothing is interrupted.
func reload(path string, old settings.Mesh, log *event.Log) {
	s, err := settings.LoadMesh(path)
	if err != nil {
		log.Error("settings-not-read", "error", err)
		return
	}
	log.Info("settings-read", "changed", s.String() != old.String(), "effect", "at the next start")
}
