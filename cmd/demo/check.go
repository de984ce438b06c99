package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"lovagelane/standin"
	"lovagelane/testbed"
)

const (
	// minImportantShare is the minimum share of payments and orders that must be answered during overload.
	minImportantShare = 0.99
	// minShedShare is the share of map reloads and weather that must be shed for the load to count as overload.
	minShedShare = 0.3
	// minWeatherGain is the minimum increase in the answered share of weather after its move to a more important class.
	minWeatherGain = 0.2
)

// check is the result of one check.
type check struct {
	ok             bool
	what, measured string
}

func (d *demo) check(ok bool, what, measured string) {
	d.checks = append(d.checks, check{ok, what, measured})
}

func (d *demo) hasFailedCheck() bool {
	for _, c := range d.checks {
		if !c.ok {
			return true
		}
	}
	return false
}

func (d *demo) printChecks() {
	fmt.Println()
	for _, c := range d.checks {
		word := "ok    "
		if !c.ok {
			word = "FAILED"
		}
		fmt.Printf("%s  %s (%s)\n", word, c.what, strings.TrimSpace(c.measured))
	}
	fmt.Printf("ended after %.1f s\n", time.Since(d.started).Seconds())
}

func (d *demo) printTable(title string, results *standin.Results) {
	fmt.Printf("\n%s\n", title)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "request\tclass\tsent\tserved\tshed\trefused\tfailed\tunknown\tlate\tp50 ms\tp99 ms\t")
	for i, k := range results.Kinds() {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", k.Kind, kinds[i].class, k.Sent, k.Answered, k.Shed,
			k.Refused, k.Failed, k.Unknown, k.TimedOut, ms(k.Quantile(50)), ms(k.Quantile(99)))
	}
	_ = w.Flush()
	for _, k := range results.Kinds() {
		if reasons := k.Reasons; len(reasons) > 0 {
			fmt.Printf("  %s: %v\n", k.Kind, reasons)
		}
	}
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

func answeredShare(r *standin.Results, kind string) float64 { return r.Kind(kind).AnsweredShare() }

// checkUsualLoad checks that orders were answered and that each one ran in three services.
func (d *demo) checkUsualLoad(usual *standin.Results, starts map[string][]standin.StartCounts) {
	orders := usual.Kind(kindOrders).Answered
	d.check(orders > 0 && answeredShare(usual, kindOrders) >= minImportantShare, "orders are answered under the usual load",
		percent(answeredShare(usual, kindOrders)))
	servicesReached := 0
	for service, path := range map[string]string{"nursery": "/orders", "imagery": "/proofs", "payments": "/holds"} {
		if countOrders(starts[service], path, "order-usual-") >= orders {
			servicesReached++
		}
	}
	d.check(servicesReached == 3, "each answered order passed through three services",
		fmt.Sprintf("%d orders, %d services", orders, servicesReached))
}

// countOrders returns the number of orders on a path whose keys have a prefix. It counts an order once for each backend
// server that ran it.
func countOrders(all []standin.StartCounts, path, prefix string) int {
	n := 0
	for _, counts := range all {
		for key := range counts.Orders {
			if strings.HasPrefix(key, path+" "+prefix) {
				n++
			}
		}
	}
	return n
}

func (d *demo) checkOverload(before, after *standin.Results) {
	for _, phase := range []struct {
		name    string
		results *standin.Results
	}{{"before the change", before}, {"after the change", after}} {
		for _, name := range []string{kindPayments, kindOrders} {
			s := answeredShare(phase.results, name)
			d.check(s >= minImportantShare, name+" are answered in overload "+phase.name, percent(s))
		}
	}
	maps, weather, uploads := answeredShare(before, kindMaps), answeredShare(before, kindWeather), answeredShare(before, kindUploads)
	mapsResults := before.Kind(kindMaps)
	weatherResults := before.Kind(kindWeather)
	shed := float64(mapsResults.Shed+weatherResults.Shed) / float64(mapsResults.Sent+weatherResults.Sent)
	d.check(shed >= minShedShare, "lower classes are shed in overload", percent(shed)+" of map reloads and weather")
	d.check(weather <= maps, "weather (rank 10) is shed before map reloads (rank 8)",
		fmt.Sprintf("answered %s and %s", percent(weather), percent(maps)))
	d.check(maps <= uploads, "map reloads (rank 8) are shed before uploads (rank 4)",
		fmt.Sprintf("answered %s and %s", percent(maps), percent(uploads)))
	movedShare := answeredShare(after, kindWeather)
	d.check(movedShare >= weather+minWeatherGain, "the changed class takes effect",
		fmt.Sprintf("weather answered %s, then %s", percent(weather), percent(movedShare)))
}

// checkNoOrderRanTwice checks that no order started more than once in a service, over all its backend servers.
func (d *demo) checkNoOrderRanTwice(starts map[string][]standin.StartCounts) {
	orders, duplicates := 0, 0
	for _, all := range starts {
		counts := map[string]int{}
		for _, r := range all {
			for key, n := range r.Orders {
				counts[key] += n
			}
		}
		for _, n := range counts {
			orders++
			if n > 1 {
				duplicates++
			}
		}
	}
	d.check(orders > 0 && duplicates == 0, "no order ran twice", fmt.Sprintf("%d of %d starts", duplicates, orders))
}

// checkRefusedNotRun checks that a request whose sends were all refused as "not run" did not run in any service.
func (d *demo) checkRefusedNotRun(starts map[string][]standin.StartCounts, results ...*standin.Results) {
	pathsByRequest := map[string][]string{}
	for _, all := range starts {
		for _, r := range all {
			for key := range r.Requests {
				path, id, _ := strings.Cut(key, " ")
				pathsByRequest[id] = append(pathsByRequest[id], path)
			}
		}
	}
	refused := 0
	var violations []string
	for _, r := range results {
		for _, res := range r.NotRun() {
			refused++
			if paths := pathsByRequest[res.Request]; len(paths) > 0 {
				violations = append(violations, fmt.Sprintf("%s %s refused as %s ran as %v", res.Kind, res.Request, res.Reason, paths))
			}
		}
	}
	d.check(len(violations) == 0, `nothing refused as "not run" ran`,
		fmt.Sprintf("%d of %d refused %s", len(violations), refused, strings.Join(violations, "; ")))
}

func (d *demo) checkProcessesStopped(result testbed.StopResult) {
	d.check(len(result.Running)+len(result.Killed)+len(result.Failed) == 0, "every process stopped by itself",
		fmt.Sprintf("%d processes; killed %v, failed %v, running %v", result.Processes, result.Killed, result.Failed, result.Running))
}
