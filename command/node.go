package command

import (
	"errors"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"lovagelane/settings"
)

// RunNode runs a node until it receives a stop signal. Package main sets it, so that the operators' commands do not depend
// on the node's code.
var RunNode func(settings.Node) error

func init() { Commands.Register("node", addNode) }

func addNode(app *kingpin.Application, env *Env) {
	cmd := app.Command("node", "Run the node beside a backend server.").
		HelpLong(`Examples:

  lovagelane node --settings=node.ini
  LOVAGELANE_SETTINGS="$(cat node.ini)" lovagelane node
  lovagelane node --check --settings=node.ini

Without --settings, the environment variable LOVAGELANE_SETTINGS holds the text of the settings.

Exit codes: 0 stopped as planned; 1 the settings have problems or the node failed; 2 wrong usage.`)
	path := cmd.Flag("settings", "The file of the node's settings.").PlaceHolder("FILE").ExistingFile()
	checkOnly := cmd.Flag("check", "Check the settings and do not run.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error { return runNode(env, *path, *checkOnly) })
}

func runNode(env *Env, path string, checkOnly bool) error {
	n, err := settings.Load(path)
	if err != nil {
		return problem(err)
	}
	if checkOnly {
		fmt.Fprintf(env.Out, "ok: node of service %s in %s\n", n.Service, n.AvailabilityZone)
		return nil
	}
	if RunNode == nil {
		return problem(errors.New("this program was built without the node: build cmd/lovagelane"))
	}
	return problem(RunNode(n))
}
