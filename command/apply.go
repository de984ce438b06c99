package command

import (
	"context"
	"errors"
	"fmt"
	"os/user"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lovagelane/fleet"
	"lovagelane/inventory"
	"lovagelane/membership"
	"lovagelane/rollout"
	"lovagelane/tablestore"
)

const (
	// applyWait is how long apply waits for the configuration to be in force; the target is 14 s.
	applyWait = 30 * time.Second
	// applyPoll is the pause between two rounds of questions to the nodes.
	applyPoll = 250 * time.Millisecond
)

func init() { Commands.Register("apply", addApply) }

// applyFlags are what the operator states.
type applyFlags struct {
	dir, store, keys, by, format string
	base                         int64
	wait                         time.Duration
}

func addApply(app *kingpin.Application, env *Env) {
	cmd := app.Command("apply", "Put the files of a directory in force everywhere.").
		HelpLong(`Examples:

  lovagelane apply --store=http://10.0.0.9:8000 --keys=keys .
  lovagelane apply --base=41 --format=json --store=http://10.0.0.9:8000 .

With --base the change is refused when another operator's change was accepted since that version. Without --keys
the command ends when the store has accepted the change and does not watch it come into force.

Exit codes: 0 accepted, and with --keys in force on every node that answers; 1 problems were found;
2 wrong usage; 3 not accepted, not known whether accepted, or not in force in time.`)
	f := &applyFlags{}
	cmd.Arg("directory", "The directory of the two files.").Default(".").ExistingDirVar(&f.dir)
	cmd.Flag("store", "The base URL of the platform's store.").Required().StringVar(&f.store)
	cmd.Flag("keys", "The directory with the operator's key.").ExistingDirVar(&f.keys)
	cmd.Flag("base", "The version that the change was planned against.").Default("-1").Int64Var(&f.base)
	cmd.Flag("by", "Who applies the change.").Default(userName()).StringVar(&f.by)
	cmd.Flag("wait", "How long to wait for it to be in force.").Default(applyWait.String()).DurationVar(&f.wait)
	format := formatFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error {
		f.format = *format
		return apply(env, f)
	})
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// applied is the result as scripts read it.
type applied struct {
	Accepted bool           `json:"accepted"`
	Version  uint64         `json:"version"`
	ApplyID  string         `json:"apply-id"`
	Changes  []changeRecord `json:"changes"`
	InForce  int            `json:"nodes-in-force"`
	Waiting  []string       `json:"nodes-not-in-force"`
	Took     string         `json:"took"`
}

func apply(env *Env, f *applyFlags) error {
	cfg, err := readConfig(f.dir)
	if err != nil {
		return err
	}
	store, err := tablestore.NewClient(f.store, 0)
	if err != nil {
		return problem(err)
	}
	defer store.Close()
	ctx := context.Background()
	base, changes, err := compare(ctx, store, cfg, f.base)
	if err != nil {
		return Exit{Code: CodeNotAccepted, Err: err}
	}
	began := time.Now()
	accepted, err := rollout.Apply(ctx, store, cfg.Files(), f.by, base)
	if err != nil {
		return Exit{Code: CodeNotAccepted, Err: notAccepted(ctx, store, err)}
	}
	result := applied{Accepted: true, Version: accepted.Version, ApplyID: accepted.ApplyID, Changes: changeRecords(changes),
		Waiting: []string{}}
	if f.keys != "" {
		if err := watchRollout(ctx, f, &result); err != nil {
			return Exit{Code: CodeNotAccepted, Err: err}
		}
	}
	result.Took = time.Since(began).Round(time.Millisecond).String()
	return writeApplied(env, f, result, changes)
}

// compare returns the version to build on and what the files change against the accepted one.
func compare(ctx context.Context, store tablestore.Store, cfg *inventory.Config, base int64) (uint64, []inventory.Change, error) {
	old, version, err := acceptedConfig(ctx, store)
	if err != nil && !errors.Is(err, errTextMissing) {
		return 0, nil, fmt.Errorf("not accepted, nothing changed: %w", err)
	}
	changes := inventory.Plan(old, cfg)
	if base >= 0 {
		version = uint64(base)
	}
	return version, changes, nil
}

// acceptedConfig returns the accepted configuration and its version, or nil and 0 when the store holds none.
func acceptedConfig(ctx context.Context, store tablestore.Store) (*inventory.Config, uint64, error) {
	current, ok, err := rollout.Current(ctx, store)
	if err != nil || !ok {
		return nil, 0, err
	}
	cfg, err := readText(ctx, store, current)
	return cfg, current.Version, err
}

// errTextMissing means that the store lost a text. Apply goes on without it, because applying again is the remedy.
var errTextMissing = errors.New("the store has lost the text")

// readText returns an accepted configuration, or nil when this release finds problems in it.
func readText(ctx context.Context, store tablestore.Store, a rollout.Accepted) (*inventory.Config, error) {
	text, found, err := store.Object(ctx, a.Hash)
	if err != nil {
		return nil, fmt.Errorf("the text of version %d cannot be read: %w", a.Version, err)
	}
	if !found {
		return nil, fmt.Errorf("%w of version %d: apply that version's files again", errTextMissing, a.Version)
	}
	files, err := rollout.Decode(text)
	if err != nil {
		return nil, err
	}
	cfg, _ := inventory.Parse(files)
	return cfg, nil
}

// notAccepted adds to a stale base who changed what since then.
func notAccepted(ctx context.Context, store tablestore.Store, err error) error {
	var stale *rollout.StaleError
	if !errors.As(err, &stale) {
		return err
	}
	text := err.Error()
	for _, a := range stale.Since {
		text += fmt.Sprintf("\n  version %d by %s, apply id %s", a.Version, a.By, a.ApplyID)
		changes, err := changesOf(ctx, store, a)
		if err != nil {
			text += fmt.Sprintf("\n    its changes cannot be read: %v", err)
		}
		for _, c := range changes {
			text += "\n    " + c.String()
		}
	}
	return errors.New(text)
}

// changesOf returns what an accepted configuration changed against the version before it.
func changesOf(ctx context.Context, store tablestore.Store, a rollout.Accepted) ([]inventory.Change, error) {
	var old *inventory.Config
	before, found, err := rollout.Version(ctx, store, a.Version-1)
	if err != nil {
		return nil, err
	}
	if found {
		if old, err = readText(ctx, store, before); err != nil {
			return nil, err
		}
	}
	cfg, err := readText(ctx, store, a)
	if err != nil {
		return nil, err
	}
	if cfg == nil {
		return nil, errors.New("this release does not understand its text: use the release that applied it")
	}
	return inventory.Plan(old, cfg), nil
}

// watchRollout waits until every node that answers has the version in force.
func watchRollout(ctx context.Context, f *applyFlags, result *applied) error {
	fl, err := fleet.Open(f.keys)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, f.wait)
	defer cancel()
	members, err := fl.Members(ctx, f.store, "")
	if err != nil {
		return fmt.Errorf("accepted as version %d, but not watched: %w", result.Version, err)
	}
	fl.Notify(ctx, members)
	for {
		result.InForce, result.Waiting = inForce(fleet.AskAll[fleet.Version](ctx, fl, members, fleet.PathVersion), result.Version)
		if len(result.Waiting) == 0 || ctx.Err() != nil {
			return nil
		}
		pause := time.NewTimer(applyPoll)
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
	}
}

func inForce(answers []fleet.Answer[fleet.Version], version uint64) (int, []string) {
	count, waiting := 0, []string{}
	for _, a := range answers {
		switch {
		case a.Err != nil:
			waiting = append(waiting, nodeName(a.Member)+" does not answer")
		case a.Value.ConfigurationVersion < version:
			waiting = append(waiting, fmt.Sprintf("%s has version %d", nodeName(a.Member), a.Value.ConfigurationVersion))
		default:
			count++
		}
	}
	return count, waiting
}

func nodeName(m membership.Member) string {
	return fmt.Sprintf("%s/%s %s", m.Service, m.AvailabilityZone, m.Calls)
}

func writeApplied(env *Env, f *applyFlags, result applied, changes []inventory.Change) error {
	if f.format == formatJSON {
		if err := writeJSON(env.Out, result); err != nil {
			return err
		}
	} else {
		for _, c := range changes {
			fmt.Fprintln(env.Out, c)
		}
		fmt.Fprintf(env.Out, "accepted as version %d, apply id %s\n", result.Version, result.ApplyID)
		if f.keys != "" {
			fmt.Fprintf(env.Out, "in force on %d nodes after %s\n", result.InForce, result.Took)
		}
		for _, w := range result.Waiting {
			fmt.Fprintf(env.Out, "not in force: %s\n", w)
		}
	}
	if len(result.Waiting) > 0 {
		return Exit{Code: CodeNotAccepted, Err: errReported}
	}
	return nil
}
