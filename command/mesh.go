package command

import (
	"errors"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"lovagelane/settings"
)

// RunMesh runs a node of a deployment that uses its own protocols. Package main sets it.
var RunMesh func(path string, s settings.Mesh) error

func init() { Commands.Register("mesh", addMesh) }

func addMesh(app *kingpin.Application, env *Env) {
	cmd := app.Command("mesh", "Run the node beside a backend server in a deployment that brings its own protocols.").
		HelpLong(`Examples:

  lovagelane mesh --settings=mesh.ini
  lovagelane mesh --check --settings=mesh.ini

Exit codes: 0 stopped as planned; 1 the settings have problems or the node failed; 2 wrong usage.`)
	path := cmd.Flag("settings", "The file of the node's settings.").PlaceHolder("FILE").Required().String()
	checkOnly := cmd.Flag("check", "Check the settings and do not run.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error { return runMesh(env, *path, *checkOnly) })
}

func runMesh(env *Env, path string, checkOnly bool) error {
	s, err := settings.LoadMesh(path)
	if err != nil {
		return problem(err)
	}
	if checkOnly {
		fmt.Fprintf(env.Out, "ok: node of service %s in %s\n", s.Service, s.AvailabilityZone)
		return nil
	}
	if RunMesh == nil {
		return problem(errors.New("this program was built without the node: build cmd/lovagelane"))
	}
	return problem(RunMesh(path, s))
}
