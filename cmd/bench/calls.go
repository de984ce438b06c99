package main

import (
	"context"
	"fmt"
	"time"

	"lovagelane/kernel"
	"lovagelane/standin"
	"lovagelane/testbed"
)

const (
	callsWarmUp = 3 * time.Second
	callsWindow = 10 * time.Second
	// targetCallRate is the number of calls a second that a node serves at the target size. It also makes that many.
	targetCallRate = 100
)

// runCalls offers constant rates to a node of another service and fits a line through the processor times of the calling
// and of the serving node. The calling node also accepts the request of the external caller; a node between two services
// accepts that request from its backend server.
func runCalls(ctx context.Context, b *bench) error {
	services := []testbed.Service{
		{Name: "front", Zones: []string{"rn-1"}, Slots: 64, Connections: 400, Timeout: time.Second},
		{Name: "echo", Zones: []string{"rn-1"}, Slots: 64, Connections: 400, Timeout: time.Second,
			BackendFlags: []string{"--service-time=2ms", "--fixed"}},
	}
	rates := []float64{0, 50, 100, 200, 400}
	return b.deploy(ctx, product, services, plainRules, func(ctx context.Context, deployment *testbed.Deployment) error {
		places := []*testbed.Place{deployment.PlacesOf("front")[0], deployment.PlacesOf("echo")[0]}
		used := [2][]float64{}
		fmt.Println("| calls a second | calling node, ms a second | memory MB | serving node, ms a second | memory MB |")
		fmt.Println("|---|---|---|---|---|")
		for _, rate := range rates {
			var cpu, memory [2]float64
			if err := b.measureCalls(ctx, places, rate, &cpu, &memory); err != nil {
				return err
			}
			fmt.Printf("| %.0f | %.2f | %.1f | %.2f | %.1f |\n", rate, cpu[0], memory[0], cpu[1], memory[1])
			for i := range used {
				used[i] = append(used[i], cpu[i])
			}
		}
		fmt.Println()
		calling, idle := leastSquares(rates, used[0])
		serving, _ := leastSquares(rates, used[1])
		b.addRow("processor time of a call, calling node", "%.3f ms", calling, "-", -1, "", true)
		b.addRow("processor time of a call, serving node", "%.3f ms", serving, "-", -1, "", true)
		b.addRow("processor of a node at the target rate, both roles", "%.1f%% of a core", (calling+serving)*targetCallRate/10, "-", -1,
			"", true)
		b.addRow("processor of the calling node without calls", "%.2f%% of a core", idle/10, "-", -1, "", true)
		return nil
	})
}

// measureCalls offers a rate. It stores each node's processor time in ms per second in cpu, and its memory in MB in memory.
func (b *bench) measureCalls(ctx context.Context, places []*testbed.Place, rate float64, cpu, memory *[2]float64) error {
	load := make(chan error, 1)
	if rate == 0 {
		load <- nil
	} else {
		offerLoad := func(ctx context.Context) error {
			kinds := []standin.Kind{{Name: "call", Method: "GET", Path: "/echo/page", Weight: 1}}
			// Request ids derive from the seed, and nodes treat a recently seen request id as a resend.
			rateBench := &bench{seed: b.seed + uint64(rate)}
			_, r, err := rateBench.load(ctx, callerAddresses(places[:1]), kinds, standin.Constant(rate),
				span{0, callsWarmUp + callsWindow + callsWarmUp/2})
			if err == nil && r.Kind("call").AnsweredShare() < 1 {
				printResults(fmt.Sprintf("%.0f a second", rate), r)
			}
			return err
		}
		g := kernel.NewGroup(ctx)
		g.Go("load", func(ctx context.Context) error { load <- offerLoad(ctx); return nil })
	}
	if err := sleep(ctx, callsWarmUp); err != nil {
		return err
	}
	var before [2]time.Duration
	for i, p := range places {
		var err error
		if before[i], _, err = processUsage(p.Node.PID()); err != nil {
			return err
		}
	}
	start := time.Now()
	if err := sleep(ctx, callsWindow); err != nil {
		return err
	}
	for i, p := range places {
		after, resident, err := processUsage(p.Node.PID())
		if err != nil {
			return err
		}
		cpu[i] = (after - before[i]).Seconds() * 1000 / time.Since(start).Seconds()
		memory[i] = resident
	}
	return <-load
}
