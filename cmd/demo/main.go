package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lovagelane/testbed"
)

func main() {
	app := kingpin.New("demo", "Overloads a small deployment on loopback and checks what must hold.")
	seed := app.Flag("seed", "Seed of the load.").Default("1").Uint64()
	settings := app.Flag("node-setting", "Further setting of the nodes, such as limiter=none, to see a baseline fail.").Strings()
	keep := app.Flag("keep", "Keep the directory with settings and logs.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *seed, *settings, *keep); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// run runs the demo. It stops every process, also if a step fails or Ctrl-C interrupts it.
func run(ctx context.Context, seed uint64, settings []string, keep bool) error {
	bin, err := os.Executable()
	if err != nil {
		return err
	}
	d := &demo{seed: seed, started: time.Now()}
	if err = d.start(ctx, testbed.Options{Bin: filepath.Dir(bin), NodeSettings: settings}); err == nil {
		err = d.runPhases(ctx)
	}
	if d.deployment == nil {
		return err
	}
	result := d.deployment.Stop()
	d.checkProcessesStopped(result)
	d.printChecks()
	if err == nil && d.hasFailedCheck() {
		err = errors.New("a check failed")
	}
	if err != nil || keep {
		fmt.Println("settings and logs are in", d.deployment.Dir())
		return err
	}
	return d.deployment.Remove()
}
