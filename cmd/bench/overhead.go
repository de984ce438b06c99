package main

import (
	"context"
	"time"

	"lovagelane/kernel"
	"lovagelane/standin"
	"lovagelane/testbed"
)

const (
	// overheadRate is the number of calls a second that a node serves at the target size.
	overheadRate   = 100
	overheadTarget = 730 * time.Microsecond
)

// runOverhead offers the same load at the same time to the backend server directly and through two nodes: a node of
// another service and the serving node. A call between two services passes through the same two nodes.
func runOverhead(ctx context.Context, b *bench) error {
	services := []testbed.Service{
		{Name: "front", Zones: []string{"rn-1"}, Slots: 64, Connections: 400, Timeout: time.Second},
		{Name: "echo", Zones: []string{"rn-1"}, Slots: 64, Connections: 400, Timeout: time.Second,
			BackendFlags: []string{"--service-time=2ms", "--fixed"}},
	}
	return b.deploy(ctx, product, services, plainRules, func(ctx context.Context, deployment *testbed.Deployment) error {
		window := span{3 * time.Second, 40 * time.Second}
		rate := standin.Constant(overheadRate)
		var direct, through *standin.Results
		g := kernel.NewGroup(ctx)
		g.Go("direct", func(ctx context.Context) (err error) {
			kinds := []standin.Kind{{Name: "call", Method: "GET", Path: "/page", Weight: 1}}
			_, direct, err = b.load(ctx, []string{deployment.PlacesOf("echo")[0].BackendAddress}, kinds, rate, window)
			return err
		})
		g.Go("through", func(ctx context.Context) (err error) {
			kinds := []standin.Kind{{Name: "call", Method: "GET", Path: "/echo/page", Weight: 1}}
			_, through, err = b.load(ctx, callerAddresses(deployment.PlacesOf("front")), kinds, rate, window)
			return err
		})
		if err := g.Wait(); err != nil {
			return err
		}
		printResults("direct", direct)
		printResults("through two nodes", through)
		d, t := direct.Kind("call"), through.Kind("call")
		b.addRow("time of a call, median", "%.2f ms", ms(t.Quantile(50)), "direct call", ms(d.Quantile(50)), "", true)
		b.addRow("time of a call, p99", "%.2f ms", ms(t.Quantile(99)), "direct call", ms(d.Quantile(99)), "", true)
		b.addRow("time added, median", "%.2f ms", ms(t.Quantile(50)-d.Quantile(50)), "direct call", -1, "", true)
		added := t.Quantile(99) - d.Quantile(99)
		whole := t.AnsweredShare() == 1 && d.AnsweredShare() == 1
		b.addRow("time added, p99", "%.2f ms", ms(added), "direct call", -1, "at most 0.73 ms", whole && added <= overheadTarget)
		return nil
	})
}

const plainRules = `[class ordinary]
rank = 4
default = yes
`
