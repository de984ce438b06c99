package command

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"lovagelane/inventory"
)

func init() { Commands.Register("plan", addPlan) }

func addPlan(app *kingpin.Application, env *Env) {
	cmd := app.Command("plan", "Show what the files of a directory would change, by service and place.").
		HelpLong(`Examples:

  lovagelane plan --from=in-force .
  lovagelane plan --format=json --from=in-force . | jq '.changes[].subject.service'

Without --from, everything is shown as added. A renamed section is shown as removed and added.

Exit codes: 0 the plan is written, even when it is empty; 1 problems were found; 2 wrong usage.`)
	dir := cmd.Arg("directory", "The directory of the new files.").Default(".").ExistingDir()
	from := cmd.Flag("from", "The directory of the old files.").ExistingDir()
	format := formatFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return plan(env, *from, *dir, *format) })
}

func plan(env *Env, from, dir, format string) error {
	var old *inventory.Config
	if from != "" {
		var err error
		if old, err = readConfig(from); err != nil {
			return reported(env, format, err)
		}
	}
	next, err := readConfig(dir)
	if err != nil {
		return reported(env, format, err)
	}
	return writePlan(env, inventory.Plan(old, next), format)
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

// changeRecord is a change as scripts read it.
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
			r.Change, r.Key, r.Old, r.New = "changed", c.Key, present(c.Old), present(c.New)
		}
		records = append(records, r)
	}
	return records
}

func present(s inventory.Setting) *inventory.Setting {
	if s == (inventory.Setting{}) {
		return nil
	}
	return &s
}
