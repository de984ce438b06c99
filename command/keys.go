package command

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"lovagelane/keys"
)

func init() { Commands.Register("keys", addKeys) }

func addKeys(app *kingpin.Application, env *Env) {
	cmd := app.Command("keys", "Issue the keys of a new deployment.").
		HelpLong(`Examples:

  lovagelane keys keys/

It writes authority.pem, authority-key.pem, node.pem, node-key.pem, operator.pem, operator-key.pem and ticket-key. Nodes
need authority.pem, node.pem, node-key.pem and ticket-key; operators need authority.pem, operator.pem and
operator-key.pem. Keep authority-key.pem off the instances. The keys are valid for 365 days, the authority for 10 years.

Exit codes: 0 issued; 1 the keys could not be written; 2 wrong usage.`)
	dir := cmd.Arg("directory", "The directory to write to.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error {
		if err := keys.Issue(*dir); err != nil {
			return problem(err)
		}
		fmt.Fprintf(env.Out, "issued keys in %s\n", *dir)
		return nil
	})
}
