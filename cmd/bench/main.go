package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// defaultSeed makes runs comparable.
const defaultSeed = 20261204

// part is a sub-benchmark.
type part struct {
	name, what string
	run        func(ctx context.Context, b *bench) error
	// named means that the part only runs when it is named.
	named bool
}

var parts = []part{
	{name: "overhead", what: "time that nodes add to a call", run: runOverhead},
	{name: "overload", what: "goodput at 2x and 5x capacity", run: runOverload},
	{name: "recovery", what: "time to recover after a surge with callers that retry hard", run: runRecovery},
	{name: "swing", what: "service at the crest of a 10x swing", run: runSwing},
	{name: "stragglers", what: "short calls among stragglers", run: runStragglers},
	{name: "slowed", what: "tail latency with one backend server in six slowed", run: runSlowed},
	{name: "control", what: "control cost of a node", run: runControl},
	{name: "events", what: "control cost of changes and failures", run: runEvents, named: true},
	{name: "calls", what: "processor time of a call on the calling and the serving node", run: runCalls, named: true},
}

func main() {
	var names []string
	for _, p := range parts {
		names = append(names, p.name)
	}
	app := kingpin.New("bench", "Measures the targets of the design against baselines.")
	chosen := app.Arg("part", "Parts to run: "+strings.Join(names, ", ")+". Default: all but those that must be named: events, calls.").Enums(names...)
	seed := app.Flag("seed", "Seed of the load.").Default(fmt.Sprint(defaultSeed)).Uint64()
	sizes := app.Flag("size", "Numbers of nodes in the parts control and events.").Default("10", "20").Ints()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	bin, err := os.Executable()
	app.FatalIfError(err, "find the programs")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	b := &bench{bin: filepath.Dir(bin), seed: *seed, sizes: *sizes}
	fmt.Printf("seed %d\n\n", *seed)
	failed := false
	for _, p := range parts {
		if len(*chosen) == 0 && p.named || len(*chosen) > 0 && !slices.Contains(*chosen, p.name) {
			continue
		}
		start := time.Now()
		fmt.Printf("## %s: %s\n\n", p.name, p.what)
		b.rows = nil
		err := p.run(ctx, b)
		b.printRows(os.Stdout)
		if err != nil {
			failed = true
			fmt.Printf("not finished: %v\n\n", err)
		}
		fmt.Printf("took %.0f s\n\n", time.Since(start).Seconds())
		if ctx.Err() != nil {
			break
		}
	}
	if failed {
		os.Exit(1)
	}
}
