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
	// defaultApplyWait bounds the wait for the configuration to be in force on all nodes; the target is 14 s.
	defaultApplyWait = 30 * time.Second
	// applyPollInterval is the pause between two polls of the nodes.
	applyPollInterval = 250 * time.Millisecond
)

func init() { Commands.Register("apply", addApply) }

// applyFlags holds the arguments and flags of the apply command.
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
	cmd.Flag("wait", "How long to wait for it to be in force.").Default(defaultApplyWait.String()).DurationVar(&f.wait)
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

// applyResult is the JSON output of the apply command.
type applyResult struct {
	Accepted bool           `json:"accepted"`
	Version  uint64         `json:"version"`
	ApplyID  string         `json:"apply-id"`
	Changes  []changeRecord `json:"changes"`
	InForce  int            `json:"nodes-in-force"`
	Pending  []string       `json:"nodes-not-in-force"`
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
	start := time.Now()
	accepted, err := rollout.Apply(ctx, store, cfg.Files(), f.by, base)
	if err != nil {
		return Exit{Code: CodeNotAccepted, Err: addConflicts(ctx, store, err)}
	}
	result := applyResult{Accepted: true, Version: accepted.Version, ApplyID: accepted.ApplyID, Changes: changeRecords(changes),
		Pending: []string{}}
	if f.keys != "" {
		if err := watchRollout(ctx, f, &result); err != nil {
			return Exit{Code: CodeNotAccepted, Err: err}
		}
	}
	result.Took = time.Since(start).Round(time.Millisecond).String()
	return writeApplyResult(env, f, result, changes)
}

// compare returns the base version for the change and the differences from the accepted configuration. A
// non-negative base replaces the accepted version as the base version.
func compare(ctx context.Context, store tablestore.Store, cfg *inventory.Config, base int64) (uint64, []inventory.Change, error) {
	old, version, err := acceptedConfig(ctx, store)
	if err != nil && !errors.Is(err, errConfigMissing) {
		return 0, nil, fmt.Errorf("not accepted, nothing changed: %w", err)
	}
	changes := inventory.Plan(old, cfg)
	if base >= 0 {
		version = uint64(base)
	}
	return version, changes, nil
}

// acceptedConfig returns the accepted configuration and its version, or nil and 0 if the store has none.
func acceptedConfig(ctx context.Context, store tablestore.Store) (*inventory.Config, uint64, error) {
	current, ok, err := rollout.Current(ctx, store)
	if err != nil || !ok {
		return nil, 0, err
	}
	cfg, err := loadConfig(ctx, store, current)
	return cfg, current.Version, err
}

// errConfigMissing means that the store has lost the text of a configuration. Apply ignores this error, because applying
// the files again is the remedy.
var errConfigMissing = errors.New("the store has lost the text")

// loadConfig reads an accepted configuration from the store. It returns nil if this release finds problems in it.
func loadConfig(ctx context.Context, store tablestore.Store, a rollout.Accepted) (*inventory.Config, error) {
	text, found, err := store.Object(ctx, a.Hash)
	if err != nil {
		return nil, fmt.Errorf("the text of version %d cannot be read: %w", a.Version, err)
	}
	if !found {
		return nil, fmt.Errorf("%w of version %d: apply that version's files again", errConfigMissing, a.Version)
	}
	files, err := rollout.Decode(text)
	if err != nil {
		return nil, err
	}
	cfg, _ := inventory.Parse(files)
	return cfg, nil
}

// addConflicts extends a rollout.StaleError with the author and the changes of each version accepted since the base.
func addConflicts(ctx context.Context, store tablestore.Store, err error) error {
	var stale *rollout.StaleError
	if !errors.As(err, &stale) {
		return err
	}
	text := err.Error()
	for _, a := range stale.Since {
		text += fmt.Sprintf("\n  version %d by %s, apply id %s", a.Version, a.By, a.ApplyID)
		changes, err := changesInVersion(ctx, store, a)
		if err != nil {
			text += fmt.Sprintf("\n    its changes cannot be read: %v", err)
		}
		for _, c := range changes {
			text += "\n    " + c.String()
		}
	}
	return errors.New(text)
}

// changesInVersion returns the differences between an accepted configuration and the version before it.
func changesInVersion(ctx context.Context, store tablestore.Store, a rollout.Accepted) ([]inventory.Change, error) {
	var old *inventory.Config
	before, found, err := rollout.AcceptedVersion(ctx, store, a.Previous())
	if err != nil {
		return nil, err
	}
	if found {
		if old, err = loadConfig(ctx, store, before); err != nil {
			return nil, err
		}
	}
	cfg, err := loadConfig(ctx, store, a)
	if err != nil {
		return nil, err
	}
	if cfg == nil {
		return nil, errors.New("this release cannot parse this version: use the release that applied it")
	}
	return inventory.Plan(old, cfg), nil
}

// watchRollout polls the nodes until all of them have the version in force or the wait time has passed.
func watchRollout(ctx context.Context, f *applyFlags, result *applyResult) error {
	fl, err := fleet.New(f.keys)
	if err != nil {
		return fmt.Errorf("accepted as version %d, but not watched: %w", result.Version, err)
	}
	ctx, cancel := context.WithTimeout(ctx, f.wait)
	defer cancel()
	members, err := fl.Members(ctx, f.store, "")
	if err != nil {
		return fmt.Errorf("accepted as version %d, but not watched: %w", result.Version, err)
	}
	fl.Notify(ctx, members)
	for {
		result.InForce, result.Pending = countInForce(fleet.GetAll[fleet.Version](ctx, fl, members, fleet.PathVersion), result.Version)
		if len(result.Pending) == 0 || ctx.Err() != nil {
			return nil
		}
		pause := time.NewTimer(applyPollInterval)
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
	}
}

func countInForce(answers []fleet.Answer[fleet.Version], version uint64) (int, []string) {
	count, pending := 0, []string{}
	for _, a := range answers {
		switch {
		case a.Err != nil:
			pending = append(pending, nodeName(a.Member)+" does not answer")
		case a.Value.ConfigurationVersion < version:
			pending = append(pending, fmt.Sprintf("%s has version %d", nodeName(a.Member), a.Value.ConfigurationVersion))
		default:
			count++
		}
	}
	return count, pending
}

func nodeName(m membership.Member) string {
	return fmt.Sprintf("%s/%s %s", m.Service, m.AvailabilityZone, m.Calls)
}

func writeApplyResult(env *Env, f *applyFlags, result applyResult, changes []inventory.Change) error {
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
		for _, pending := range result.Pending {
			fmt.Fprintf(env.Out, "not in force: %s\n", pending)
		}
	}
	if len(result.Pending) > 0 {
		return Exit{Code: CodeNotAccepted, Err: errReported}
	}
	return nil
}
