package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lovagelane/kernel"
	"lovagelane/standin"
)

// drainTimeout bounds the wait for calls in flight after SIGINT or SIGTERM.
const drainTimeout = 10 * time.Second

func main() {
	app := kingpin.New("standin", "Stand-ins for the platform, backend servers and callers.")
	commands := map[string]func(context.Context) error{}
	addPlatform(app, commands)
	addBackendServer(app, commands)
	addCaller(app, commands)
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app.FatalIfError(commands[name](ctx), "%s", name)
}

func addPlatform(app *kingpin.Application, commands map[string]func(context.Context) error) {
	cmd := app.Command("platform", "Table service and object store.")
	listen := cmd.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").String()
	commands[cmd.FullCommand()] = func(ctx context.Context) error {
		ln, err := net.Listen("tcp", *listen)
		if err != nil {
			return err
		}
		g := kernel.NewGroup(ctx)
		standin.NewPlatform(kernel.SystemClock{}).Serve(g, ln)
		return g.Wait()
	}
}

func addBackendServer(app *kingpin.Application, commands map[string]func(context.Context) error) {
	cmd := app.Command("backend-server", "Backend server with a hard limit on parallel work.")
	var opt standin.BackendOptions
	listen := cmd.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").String()
	calls := cmd.Flag("call", "Call made while working on a path, as in /orders=payments:POST:/pay.").Strings()
	cmd.Flag("service", "Name of the service.").StringVar(&opt.Service)
	cmd.Flag("slots", "Calls worked on at once.").Default("8").IntVar(&opt.Slots)
	cmd.Flag("queue-limit", "Calls that may wait; 0 means no limit.").IntVar(&opt.QueueLimit)
	cmd.Flag("connections", "Size of the connection table; 0 means no limit.").IntVar(&opt.Connections)
	cmd.Flag("service-time", "Mean time of a call.").Default("10ms").DurationVar(&opt.ServiceTime)
	cmd.Flag("fixed", "Every call takes the service time.").BoolVar(&opt.Fixed)
	cmd.Flag("straggler-share", "Share of the calls that take longer.").FloatVar(&opt.StragglerShare)
	cmd.Flag("straggler-factor", "How many times longer these take.").Default("50").FloatVar(&opt.StragglerFactor)
	cmd.Flag("cold-start", "Time after the start with bad health and slow work.").DurationVar(&opt.ColdStart)
	cmd.Flag("load-lag", "Age of the load report.").Default("3s").DurationVar(&opt.LoadLag)
	cmd.Flag("node", "Address of the node's backend listener.").StringVar(&opt.Node)
	cmd.Flag("parallel", "Make the calls of a path at once.").BoolVar(&opt.Parallel)
	cmd.Flag("retries", "Resends of a call that failed, at once.").IntVar(&opt.Retries)
	cmd.Flag("seed", "Seed of the random source.").Default("1").Uint64Var(&opt.Seed)
	cmd.Flag("journal", "File to which each start of work is appended.").StringVar(&opt.Journal)
	cmd.Flag("echo", "Answer with the request body.").BoolVar(&opt.Echo)
	commands[cmd.FullCommand()] = func(ctx context.Context) error {
		for _, s := range *calls {
			c, err := standin.ParsePlannedCall(s)
			if err != nil {
				return err
			}
			opt.Calls = append(opt.Calls, c)
		}
		return runBackendServer(ctx, opt, *listen)
	}
}

// runBackendServer runs a backend server. On SIGINT or SIGTERM it drains: it refuses new calls and returns when the calls
// in flight have finished or drainTimeout has passed.
func runBackendServer(ctx context.Context, opt standin.BackendOptions, listen string) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	b := standin.NewBackendServer(opt, kernel.SystemClock{})
	g := kernel.NewGroup(context.Background())
	b.Serve(g, ln)
	select {
	case <-ctx.Done():
	case <-g.Context().Done():
		return g.Wait()
	}
	drain := true
	b.SetFaults(standin.BackendFaults{Drain: &drain})
	for deadline := time.Now().Add(drainTimeout); b.InFlight() > 0 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	return g.Stop()
}

func addCaller(app *kingpin.Application, commands map[string]func(context.Context) error) {
	cmd := app.Command("caller", "Open-loop load; prints the results as JSON.")
	c := &standin.Caller{}
	kinds := cmd.Flag("kind", "Kind of request, as in orders:POST:/nursery/orders:weight=5:non-idempotent.").Required().
		Strings()
	profile := cmd.Flag("profile", "Rates, as in 0s=100,10s=500/50:4s.").Default("0s=100").String()
	timeout := cmd.Flag("timeout", "The caller's timeout.").Default("2s").Duration()
	retries := cmd.Flag("retries", "Resends of a request that was not answered, at once.").Int()
	tryTimeout := cmd.Flag("try-timeout", "Timeout of one send; 0 means the whole timeout.").Duration()
	cmd.Flag("address", "Callers listener of a node.").Required().StringsVar(&c.Addresses)
	cmd.Flag("duration", "How long to offer load.").Default("10s").DurationVar(&c.Duration)
	cmd.Flag("seed", "Seed of the random source.").Default("1").Uint64Var(&c.Seed)
	cmd.Flag("name", "Name of the caller.").Default("caller").StringVar(&c.Name)
	cmd.Flag("state-resends", "Send Lovagelane-Resend with each resend.").BoolVar(&c.StateResends)
	commands[cmd.FullCommand()] = func(ctx context.Context) error {
		p, err := standin.ParseProfile(*profile)
		if err != nil {
			return err
		}
		c.Profile = p
		for _, text := range *kinds {
			k, err := standin.ParseKind(text)
			if err != nil {
				return err
			}
			k.Timeout, k.Retries, k.TryTimeout = *timeout, *retries, *tryTimeout
			c.Kinds = append(c.Kinds, k)
		}
		results, err := c.Run(ctx)
		if err != nil {
			return err
		}
		return printResults(results)
	}
}

func printResults(results *standin.Results) error {
	type row struct {
		*standin.KindResults
		P50 string `json:"p50"`
		P99 string `json:"p99"`
	}
	var rows []row
	for _, k := range results.Kinds() {
		rows = append(rows, row{k, k.Quantile(50).String(), k.Quantile(99).String()})
	}
	b, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Println(strings.TrimSpace(string(b)))
	return err
}
