package command

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"lovagelane/fleet"
	"lovagelane/membership"
	"lovagelane/node"
)

func init() { Commands.Register("status", addStatus) }

// nodeFlags holds the flags by which a command finds and reaches the nodes.
type nodeFlags struct{ store, node, keys string }

// addNodeFlags adds the flags of nodeFlags to a command.
func addNodeFlags(cmd *kingpin.CmdClause) *nodeFlags {
	f := &nodeFlags{}
	cmd.Flag("store", "The base URL of the platform's store, which lists the nodes.").StringVar(&f.store)
	cmd.Flag("node", "The calls address of a node, for when the store is down.").StringVar(&f.node)
	cmd.Flag("keys", "The directory with the operator's key.").Required().ExistingDirVar(&f.keys)
	return f
}

// validate reports an error unless exactly one of --store and --node is set.
func (f *nodeFlags) validate() error {
	if (f.store == "") == (f.node == "") {
		return errors.New("state either --store, or --node when the store is down")
	}
	return nil
}

// openFleet validates the flags and returns the fleet with its members.
func (f *nodeFlags) openFleet(ctx context.Context) (*fleet.Fleet, []membership.Member, error) {
	if err := f.validate(); err != nil {
		return nil, nil, err
	}
	fl, err := fleet.New(f.keys)
	if err != nil {
		return nil, nil, problem(err)
	}
	members, err := fl.Members(ctx, f.store, f.node)
	if err != nil {
		return nil, nil, Exit{Code: CodeNotAccepted, Err: err}
	}
	return fl, members, nil
}

func addStatus(app *kingpin.Application, env *Env) {
	cmd := app.Command("status", "Show services, backend servers, places, versions, and who is draining or suspected.").
		HelpLong(`Examples:

  lovagelane status --store=http://10.0.0.9:8000 --keys=keys
  lovagelane status --node=10.0.1.7:7002 --keys=keys --format=json

Exit codes: 0 every node answered; 1 problems were found; 2 wrong usage; 3 a node or the store did not answer.`)
	nodes := addNodeFlags(cmd)
	format := formatFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return status(env, nodes, *format) })
}

// nodeRecord is the JSON form of a node's status.
type nodeRecord struct {
	ID               string `json:"id"`
	Service          string `json:"service"`
	AvailabilityZone string `json:"availability-zone"`
	Calls            string `json:"calls"`
	State            string `json:"state"`
	Version          uint64 `json:"configuration-version"`
	InFlight         int    `json:"in-flight"`
	Limit            uint16 `json:"limit"`
	Level            string `json:"admission-level"`
	Problem          string `json:"problem,omitempty"`
}

func status(env *Env, nodes *nodeFlags, format string) error {
	ctx := context.Background()
	fl, members, err := nodes.openFleet(ctx)
	if err != nil {
		return err
	}
	suspects := map[string]int{}
	records := []nodeRecord{}
	for _, a := range fleet.GetAll[node.Status](ctx, fl, members, fleet.PathStatus) {
		rec := nodeRecord{ID: a.Member.ID, Service: a.Member.Service, AvailabilityZone: a.Member.AvailabilityZone,
			Calls: a.Member.Calls, State: string(a.Member.State)}
		if a.Err != nil {
			rec.Problem = "does not answer"
		} else {
			rec.State, rec.Version = string(a.Value.Member.State), a.Value.ConfigurationVersion
			rec.InFlight, rec.Limit, rec.Level = a.Value.InFlight, a.Value.Load.Limit, a.Value.Level
			for _, m := range a.Value.Members {
				if m.Suspected {
					suspects[m.ID]++
				}
			}
		}
		records = append(records, rec)
	}
	for i := range records {
		if n := suspects[records[i].ID]; n > 0 && records[i].Problem == "" {
			records[i].Problem = fmt.Sprintf("suspected by %d nodes", n)
		}
	}
	slices.SortFunc(records, func(a, b nodeRecord) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.AvailabilityZone, b.AvailabilityZone), cmp.Compare(a.Calls, b.Calls))
	})
	return writeStatus(env, records, format)
}

func writeStatus(env *Env, records []nodeRecord, format string) error {
	unanswered := 0
	for _, r := range records {
		if r.Problem == "does not answer" {
			unanswered++
		}
	}
	if format == formatJSON {
		if err := writeJSON(env.Out, map[string]any{"nodes": records}); err != nil {
			return err
		}
	} else {
		w := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "SERVICE\tAVAILABILITY ZONE\tNODE\tSTATE\tVERSION\tIN FLIGHT\tLIMIT\tLEVEL\tPROBLEM")
		for _, r := range records {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", r.Service, r.AvailabilityZone, r.Calls, r.State, r.Version,
				r.InFlight, r.Limit, r.Level, r.Problem)
		}
		if err := w.Flush(); err != nil {
			return problem(err)
		}
	}
	if unanswered > 0 {
		return Exit{Code: CodeNotAccepted, Err: fmt.Errorf("%d of %d nodes do not answer", unanswered, len(records))}
	}
	return nil
}
