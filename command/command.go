package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"lovagelane/inifile"
	"lovagelane/kernel"
)

// Exit codes of all commands; the help text documents them.
const (
	// CodeOK means that the command succeeded.
	CodeOK = 0
	// CodeProblem means that the command found a problem or failed.
	CodeProblem = 1
	// CodeUsage means that the command line is invalid.
	CodeUsage = 2
	// CodeNotAccepted means that a node or the store was unreachable, or that a change was not accepted.
	CodeNotAccepted = 3
)

const help = `Overload control for service call graphs.

Exit codes: 0 done; 1 a problem was found; 2 wrong usage; 3 not reachable or not accepted.`

// longHelp is the usage template that prints the examples of the selected command below its flags.
const longHelp = `{{with .Context.SelectedCommand}}{{with .HelpLong}}{{. | Wrap 0}}{{end}}{{end}}`

// Env holds the output streams of a command.
type Env struct {
	// Out receives results and Err receives error messages. Neither receives colour codes.
	Out, Err io.Writer
}

// Command adds one command to the application.
type Command func(app *kingpin.Application, env *Env)

// Commands is the registry of all commands by name.
var Commands kernel.Registry[Command]

// Exit is an error that carries the exit code of the process.
type Exit struct {
	Code int
	Err  error
}

// Error returns the text of the cause.
func (e Exit) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e Exit) Unwrap() error { return e.Err }

// problem wraps an error so that the process exits with CodeProblem instead of CodeUsage.
func problem(err error) error {
	if err == nil {
		return nil
	}
	return Exit{Code: CodeProblem, Err: err}
}

// errReported is the cause when the command's output already lists the problems, so that Run prints nothing more.
var errReported = errors.New("problems were found")

// terminateCode is the panic value that carries kingpin's exit code after it has printed help.
type terminateCode int

// Run parses and runs a command line and returns the exit code.
func Run(args []string, env *Env) (code int) {
	app := kingpin.New("lovagelane", help)
	app.UsageTemplate(kingpin.DefaultUsageTemplate + longHelp)
	app.UsageWriter(env.Out).ErrorWriter(env.Err)
	app.HelpFlag.Help("Show help for the program or a command.").Short('h')
	// Unless Terminate stops it, kingpin runs the command after printing its help.
	app.Terminate(func(code int) { panic(terminateCode(code)) })
	defer func() {
		switch r := recover().(type) {
		case nil:
		case terminateCode:
			code = max(code, int(r))
		default:
			panic(r)
		}
	}()
	for _, name := range Commands.Names() {
		add, err := Commands.Lookup(name)
		if err != nil {
			panic(err) // Unreachable: Names returned this name.
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
	var problems inifile.Problems
	switch {
	case err == nil:
		return CodeOK
	case errors.As(err, &problems):
		fmt.Fprintln(env.Err, problems)
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

// usageRemedy returns the remedy for an invalid command line.
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

// formatFlag adds the flag that selects text or JSON output.
func formatFlag(cmd *kingpin.CmdClause) *string {
	return cmd.Flag("format", "Write text for people or json for scripts.").Default(formatText).Enum(formatText, formatJSON)
}

func writeJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return problem(encoder.Encode(v))
}
