package command

import (
	"errors"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"lovagelane/inifile"
)

func init() { Commands.Register("check", addCheck) }

func addCheck(app *kingpin.Application, env *Env) {
	cmd := app.Command("check", "Check inventory.ini and rules.ini, and list every problem with its line and the remedy.").
		HelpLong(`Examples:

  lovagelane check examples/pamoja
  lovagelane check --format=json . | jq '.problems[].remedy'

Exit codes: 0 no problem; 1 problems were found; 2 wrong usage.`)
	dir := cmd.Arg("directory", "The directory of the two files; not the files themselves.").Default(".").ExistingDir()
	format := formatFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return check(env, *dir, *format) })
}

func check(env *Env, dir, format string) error {
	cfg, err := readConfig(dir)
	var problems inifile.Problems
	if format == formatText && errors.As(err, &problems) {
		fmt.Fprintln(env.Out, problems)
		return problem(errReported)
	}
	if err != nil {
		return reportProblems(env, format, err)
	}
	if format == formatJSON {
		return writeProblems(env, nil)
	}
	fmt.Fprintf(env.Out, "ok: %d services, %d requests, no problems\n", len(cfg.Services()), len(cfg.RequestRules()))
	return nil
}
