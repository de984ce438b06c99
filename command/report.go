package command

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lovagelane/burn"
	"lovagelane/fleet"
)

func init() { Commands.Register("report", addReport) }

func addReport(app *kingpin.Application, env *Env) {
	cmd := app.Command("report", "Report service-level burn: how fast, burnt by what, where, and what protected it.").
		HelpLong(`Examples:

  lovagelane report --store=http://10.0.0.9:8000 --keys=keys
  lovagelane report --node=10.0.1.7:7002 --keys=keys --html=burn.html

Nodes keep their counts in memory only. The report says since when each node has data and which ones did not answer.

Exit codes: 0 every node answered; 1 the key is broken or the page could not be written; 2 wrong usage; 3 a node or the
store did not answer.`)
	nodes := addNodeFlags(cmd)
	page := cmd.Flag("html", "Also write the report as one HTML page to this file.").String()
	cmd.Action(func(*kingpin.ParseContext) error { return report(env, nodes, *page) })
}

func report(env *Env, nodes *nodeFlags, page string) error {
	ctx := context.Background()
	fl, members, err := nodes.openFleet(ctx)
	if err != nil {
		return err
	}
	var answers []burn.NodeAnswer
	for _, a := range fleet.GetAll[burn.Snapshot](ctx, fl, members, fleet.PathBurn) {
		answers = append(answers, burn.NodeAnswer{Address: a.Member.Calls, Snapshot: a.Value, Err: a.Err})
	}
	rep := burn.NewReport(burn.MergeAnswers(answers), time.Now())
	if err := rep.WriteText(env.Out); err != nil {
		return problem(err)
	}
	if page != "" {
		if err := writePage(rep, page); err != nil {
			return problem(err)
		}
	}
	if n := len(rep.Missing); n > 0 {
		return Exit{Code: CodeNotAccepted, Err: fmt.Errorf("%d of %d nodes do not answer", n, len(members))}
	}
	return nil
}

func writePage(rep burn.Report, path string) error {
	w, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("%w: choose a file that can be written", err)
	}
	if err := rep.WriteHTML(w); err != nil {
		_ = w.Close()
		return err
	}
	return w.Close()
}
