package command

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"lovagelane/inifile"
)

func init() { Commands.Register("check", addCheck) }

// checkFlags holds the arguments and flags of the check command.
type checkFlags struct{ path, deployment, store, from, format string }

func addCheck(app *kingpin.Application, env *Env) {
	cmd := app.Command("check", "Check inventory.ini and rules.ini, or the configuration of a mesh deployment, and list every problem "+
		"with its place and the remedy.").
		HelpLong(`Examples:

  lovagelane check examples/pamoja
  lovagelane check --format=json . | jq '.problems[].remedy'
  lovagelane check --deployment=operators-platform next.json
  lovagelane check --deployment=operators-platform --from=current.json next.json
  lovagelane check --deployment=operators-platform --store=10.0.0.9:8000 next.json

With --deployment the path is a file with the configuration as operators write it into the store. Errors are what nodes
refuse and entries that can never match; warnings are entries without effect and limits that contradict each other. With
--from or --store it also shows what differs from the version in force; keys of accounts are only counted. With --store,
it compares the configuration with the backend servers that the store lists as well.

Exit codes: 0 no problem, or warnings only; 1 errors were found; 2 wrong usage, or a file could not be read;
3 the store did not answer.`)
	f := &checkFlags{}
	cmd.Arg("path", "The directory of the two files; with --deployment, the file of the configuration.").Default(".").
		ExistingFileOrDirVar(&f.path)
	cmd.Flag("deployment", "The mesh deployment whose configuration is checked, as in the settings of its nodes.").StringVar(&f.deployment)
	cmd.Flag("from", "The file of the version in force.").ExistingFileVar(&f.from)
	cmd.Flag("store", "The address of the operators' store, to compare with the version in force.").StringVar(&f.store)
	format := formatFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error {
		f.format = *format
		return check(context.Background(), env, f)
	})
}

func check(ctx context.Context, env *Env, f *checkFlags) error {
	info, err := os.Stat(f.path)
	switch {
	case err != nil:
		return err
	case f.from != "" && f.store != "":
		return errors.New("--from and --store exclude each other")
	case f.deployment != "" && info.IsDir():
		return fmt.Errorf("'%s' is a directory, but --deployment needs the file of the configuration", f.path)
	case f.deployment != "":
		return checkMesh(ctx, env, f)
	case f.from != "" || f.store != "":
		return errors.New("--from and --store need --deployment, and plan compares directories")
	case !info.IsDir():
		return fmt.Errorf("'%s' is a file", info.Name())
	}
	return checkDir(env, f.path, f.format)
}

// checkDir checks inventory.ini and rules.ini of a directory.
func checkDir(env *Env, dir, format string) error {
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
