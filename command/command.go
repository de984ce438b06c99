package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"lovagelane/kernel"
	"lovagelane/setting"
)

// Exit codes of all commands; the help text documents them.
const (
	// CodeOK means that the command did what it was asked for.
	CodeOK = 0
	// CodeProblem means that a problem was found or that something failed.
	CodeProblem = 1
	// CodeUsage means that the command line is wrong.
	CodeUsage = 2
	// CodeNotAccepted means that something could not be reached, or that a change was not accepted.
	CodeNotAccepted = 3
)

const help = `Overload control for service call graphs.

Exit codes: 0 done; 1 a problem was found; 2 wrong usage; 3 not reachable or not accepted.`

// longHelp shows the examples of the selected command below its flags.
const longHelp = `{{with .Context.SelectedCommand}}{{with .HelpLong}}{{. | Wrap 0}}{{end}}{{end}}`

// Env is what a command may use of the process.
type Env struct {
	// Out takes results, and Err takes what went wrong. No colours are written to either.
	Out, Err io.Writer
}

// Command adds one command to the command line.
type Command func(app *kingpin.Application, env *Env)

// Commands holds every command by name.
var Commands kernel.Registry[Command]

// Exit is an error that ends the process with a code.
type Exit struct {
	Code int
	Err  error
}

// Error returns the text of the cause.
func (e Exit) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e Exit) Unwrap() error { return e.Err }

// problem marks an error as one that the command found, as opposed to wrong usage.
func problem(err error) error {
	if err == nil {
		return nil
	}
	return Exit{Code: CodeProblem, Err: err}
}

// errReported is the cause for commands whose results already tell what is wrong.
var errReported = errors.New("problems were found")

// terminated carries the code with which kingpin wants to end the process, after it wrote help.
type terminated int

// Run runs the command line and returns the exit code.
func Run(args []string, env *Env) (code int) {
	app := kingpin.New("lovagelane", help)
	app.UsageTemplate(kingpin.DefaultUsageTemplate + longHelp)
	app.UsageWriter(env.Out).ErrorWriter(env.Err)
	app.HelpFlag.Help("Show help for the program or a command.").Short('h')
	// kingpin would go on and run the command after help if the process did not end there.
	app.Terminate(func(code int) { panic(terminated(code)) })
	defer func() {
		switch r := recover().(type) {
		case nil:
		case terminated:
			code = max(code, int(r))
		default:
			panic(r)
		}
	}()
	for _, name := range Commands.Names() {
		add, err := Commands.Lookup(name)
		if err != nil {
			panic(err) // The name was listed above.
		}
		add(app, env)
	}
	if len(args) == 0 {
		app.UsageWriter(env.Err)
		args, code = []string{"--help"}, CodeUsage
	}
	_, err := app.Parse(args)
	return exitCode(err, env)
}

func exitCode(err error, env *Env) int {
	var exit Exit
	var found setting.Problems
	switch {
	case err == nil:
		return CodeOK
	case errors.As(err, &found):
		fmt.Fprintln(env.Err, found)
		return CodeProblem
	case errors.As(err, &exit):
		if !errors.Is(exit.Err, errReported) {
			fmt.Fprintf(env.Err, "lovagelane: %v\n", exit.Err)
		}
		return exit.Code
	default:
		fmt.Fprintf(env.Err, "lovagelane: %v: %s\n", err, usageRemedy(err))
		return CodeUsage
	}
}

// usageRemedy tells what to do about a wrong command line.
func usageRemedy(err error) string {
	text := err.Error()
	if strings.Contains(text, "is a file") || strings.HasPrefix(text, "unexpected ") && strings.HasSuffix(text, ".ini") {
		return "name the directory of inventory.ini and rules.ini, not the files"
	}
	return "try lovagelane --help"
}

const (
	formatText = "text"
	formatJSON = "json"
)

// formatFlag adds the flag that chooses between text for people and JSON for scripts.
func formatFlag(cmd *kingpin.CmdClause) *string {
	return cmd.Flag("format", "Write text for people or json for scripts.").Default(formatText).Enum(formatText, formatJSON)
}

func writeJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return problem(encoder.Encode(v))
}
