package command

import (
	"errors"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"lovagelane/setting"
)

func init() { Commands.Register("check", addCheck) }

func addCheck(app *kingpin.Application, env *Env) {
	cmd := app.Command("check", "Check inventory.ini and rules.ini, and list every problem with its line and the remedy.").
		HelpLong(`Examples:

  lovagelane check examples/pamoja
  lovagelane check --format=json . | jq '.problems[].remedy'

Exit codes: 0 no problem; 1 problems were found; 2 wrong usage.`)
	dir := cmd.Arg("directory", "The directory of the two files.").Default(".").ExistingDir()
	format := formatFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return check(env, *dir, *format) })
}

func check(env *Env, dir, format string) error {
	cfg, err := readConfig(dir)
	var found setting.Problems
	if err != nil && !errors.As(err, &found) {
		return err
	}
	if format == formatJSON {
		err = writeJSON(env.Out, struct {
			OK       bool             `json:"ok"`
			Problems setting.Problems `json:"problems"`
		}{len(found) == 0, append(setting.Problems{}, found...)})
		if err != nil {
			return err
		}
	} else {
		for _, p := range found {
			fmt.Fprintln(env.Out, p.Error())
		}
	}
	if len(found) > 0 {
		return problem(errReported)
	}
	if format == formatText {
		fmt.Fprintf(env.Out, "ok: %d services, %d requests, no problems\n", len(cfg.Services()), len(cfg.Requests()))
	}
	return nil
}
