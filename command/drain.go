package command

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lovagelane/fleet"
)

// drainTimeout bounds the wait for calls in flight. It is slightly longer than a node's own drain timeout.
const drainTimeout = 310 * time.Second

func init() { Commands.Register("drain", addDrain) }

func addDrain(app *kingpin.Application, env *Env) {
	cmd := app.Command("drain", "Take a backend server out of service without cutting off a call.").
		HelpLong(`Examples:

  lovagelane drain --keys=keys 10.0.1.7:7002

The command returns when no call is in flight there; the instance can then be stopped.

Exit codes: 0 drained; 1 problems were found; 2 wrong usage; 3 the node did not answer or calls are still in flight.`)
	address := cmd.Arg("node", "The calls address of the node beside the backend server.").Required().String()
	keysDir := cmd.Flag("keys", "The directory with the operator's key.").Required().ExistingDir()
	cmd.Action(func(*kingpin.ParseContext) error { return drain(env, *address, *keysDir) })
}

func drain(env *Env, address, keysDir string) error {
	fl, err := fleet.New(keysDir)
	if err != nil {
		return problem(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := fl.Request(ctx, address, http.MethodPost, fleet.PathDrain, nil); err != nil {
		return Exit{Code: CodeNotAccepted, Err: err}
	}
	fmt.Fprintf(env.Out, "drained: %s takes no calls and none is in flight, it can be stopped\n", address)
	return nil
}
