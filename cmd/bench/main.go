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

// defaultSeed is fixed so that runs are comparable.
const defaultSeed = 20261204

// part is one benchmark of the suite.
type part struct {
	name, description string
	run               func(ctx context.Context, b *bench) error
	// optIn means that the part runs only if the command line names it.
	optIn bool
}

var parts = []part{
	{name: "overhead", description: "time that nodes add to a call", run: runOverhead},
	{name: "overload", description: "goodput at 2x and 5x capacity", run: runOverload},
	{name: "recovery", description: "time to recover after a surge with callers that retry hard", run: runRecovery},
	{name: "swing", description: "service at the crest of a 10x swing", run: runSwing},
	{name: "stragglers", description: "short calls among stragglers", run: runStragglers},
	{name: "slowed", description: "tail latency with one backend server in six slowed", run: runSlowed},
	{name: "capacity", description: "backend servers of unlike speeds, one of which slows down beyond 60% of its slots", run: runCapacity},
	{name: "control", description: "control cost of a node", run: runControl},
	{name: "events", description: "control cost of changes and failures", run: runEvents, optIn: true},
	{name: "calls", description: "processor time of a call on the calling and the serving node", run: runCalls, optIn: true},
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
	b := &bench{bin: filepath.Dir(bin), seed: *seed, nodeCounts: *sizes}
	fmt.Printf("seed %d\n\n", *seed)
	failed := false
	for _, p := range parts {
		if len(*chosen) == 0 && p.optIn || len(*chosen) > 0 && !slices.Contains(*chosen, p.name) {
			continue
		}
		start := time.Now()
		fmt.Printf("## %s: %s\n\n", p.name, p.description)
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
