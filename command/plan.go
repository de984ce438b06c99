package command

import (
	"context"
	"errors"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"lovagelane/inventory"
	"lovagelane/tablestore"
)

func init() { Commands.Register("plan", addPlan) }

func addPlan(app *kingpin.Application, env *Env) {
	cmd := app.Command("plan", "Show what the files of a directory would change, by service and place.").
		HelpLong(`Examples:

  lovagelane plan --store=http://10.0.0.9:8000 .
  lovagelane plan --from=examples/pamoja .
  lovagelane plan --format=json --store=http://10.0.0.9:8000 . | jq '.changes[].subject.service'

With --store the files are compared with the accepted configuration, and with --from with those of a directory. With
neither, everything is shown as added. A renamed section is shown as removed and added.

Exit codes: 0 the plan is written, even when it is empty; 1 problems were found; 2 wrong usage; 3 the store did not answer.`)
	dir := cmd.Arg("directory", "The directory of the new files.").Default(".").ExistingDir()
	from := cmd.Flag("from", "The directory of the old files.").ExistingDir()
	store := cmd.Flag("store", "The base URL of the platform's store, to compare with the accepted configuration.").String()
	format := formatFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error {
		if *from != "" && *store != "" {
			return errors.New("--from and --store exclude each other")
		}
		return plan(env, *from, *store, *dir, *format)
	})
}

func plan(env *Env, from, store, dir, format string) error {
	updated, err := readConfig(dir)
	if err != nil {
		return reportProblems(env, format, err)
	}
	if store != "" {
		return planAgainstStore(env, store, updated, format)
	}
	var old *inventory.Config
	if from != "" {
		if old, err = readConfig(from); err != nil {
			return reportProblems(env, format, err)
		}
	}
	return writePlan(env, inventory.Plan(old, updated), format)
}

func planAgainstStore(env *Env, url string, updated *inventory.Config, format string) error {
	store, err := tablestore.NewClient(url, 0)
	if err != nil {
		return problem(err)
	}
	defer store.Close()
	old, version, err := acceptedConfig(context.Background(), store)
	if err != nil {
		return Exit{Code: CodeNotAccepted, Err: err}
	}
	changes := inventory.Plan(old, updated)
	if format == formatJSON {
		return writeJSON(env.Out, map[string]any{"base": version, "changes": changeRecords(changes)})
	}
	if err := writePlan(env, changes, format); err != nil {
		return err
	}
	fmt.Fprintf(env.Out, "planned against version %d: apply with --base=%d\n", version, version)
	return nil
}

func writePlan(env *Env, changes []inventory.Change, format string) error {
	if format == formatJSON {
		return writeJSON(env.Out, map[string]any{"changes": changeRecords(changes)})
	}
	for _, c := range changes {
		fmt.Fprintln(env.Out, c)
	}
	if len(changes) == 0 {
		fmt.Fprintln(env.Out, "no changes")
	}
	return nil
}

// changeRecord is the JSON form of a change.
type changeRecord struct {
	Change   string              `json:"change"`
	Subject  inventory.Subject   `json:"subject"`
	Key      string              `json:"key,omitempty"`
	Old      *inventory.Setting  `json:"old,omitempty"`
	New      *inventory.Setting  `json:"new,omitempty"`
	Settings []inventory.Setting `json:"settings,omitempty"`
}

func changeRecords(changes []inventory.Change) []changeRecord {
	records := []changeRecord{}
	for _, c := range changes {
		r := changeRecord{Subject: c.Of()}
		switch c := c.(type) {
		case inventory.Added:
			r.Change, r.Settings = "added", c.Settings
		case inventory.Removed:
			r.Change, r.Settings = "removed", c.Settings
		case inventory.Changed:
			r.Change, r.Key, r.Old, r.New = "changed", c.Key, nilIfZero(c.Old), nilIfZero(c.New)
		}
		records = append(records, r)
	}
	return records
}

func nilIfZero(s inventory.Setting) *inventory.Setting {
	if s == (inventory.Setting{}) {
		return nil
	}
	return &s
}
