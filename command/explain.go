package command

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

func init() { Commands.Register("explain", addExplain) }

func addExplain(app *kingpin.Application, env *Env) {
	cmd := app.Command("explain", "Trace settings back to the file and line that they came from.").
		HelpLong(`Examples:

  lovagelane explain service nursery timeout
  lovagelane explain --dir=examples/restinga-viva backend-servers nursery rn-1
  lovagelane explain --format=json request order-seedlings
  lovagelane explain --dir=examples/restinga-viva request POST /nursery/orders

A setting is named by the words of its section and its key; the first words alone name all settings below them. A request
is named by its method and its path with the service, and the rule for it is shown with what follows from it.

Exit codes: 0 found; 1 there is no such setting, or problems were found in the files; 2 wrong usage.`)
	words := cmd.Arg("setting", "The words of a section and a key, or: request METHOD PATH.").Required().Strings()
	dir := cmd.Flag("dir", "The directory of the two files.").Default(".").ExistingDir()
	format := formatFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return explain(env, *dir, *words, *format) })
}

func explain(env *Env, dir string, words []string, format string) error {
	cfg, err := readConfig(dir)
	if err != nil {
		return reportProblems(env, format, err)
	}
	if isRequest(words) {
		return explainRequest(env, cfg, words[1], words[2], format)
	}
	name := strings.Join(words, " ")
	settings := cfg.Explain(name)
	if len(settings) == 0 {
		return problem(fmt.Errorf("there is no setting %q: name a section of the files, as in service nursery", name))
	}
	if format == formatJSON {
		return writeJSON(env.Out, map[string]any{"settings": settings})
	}
	for _, s := range settings {
		if s.Key == "" {
			fmt.Fprintf(env.Out, "%s: [%s]\n", s.Line, s.Subject.Section)
			continue
		}
		fmt.Fprintf(env.Out, "%s: %s = %s (%s)\n", s.Line, s.Name(), s.Value, s.Source)
	}
	return nil
}
