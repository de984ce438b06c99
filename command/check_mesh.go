package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"lovagelane/kernel"
	"lovagelane/mesh"
	"lovagelane/preflight"
	"lovagelane/routing"
	"lovagelane/settings"
)

// checkMesh checks the configuration of a mesh deployment and compares it with the version in force.
func checkMesh(ctx context.Context, env *Env, f *checkFlags) error {
	newDeployment, err := mesh.Deployments.Lookup(f.deployment)
	if err != nil {
		return fmt.Errorf("--deployment: %w", err)
	}
	address := strings.TrimSuffix(strings.TrimPrefix(f.store, "http://"), "/")
	if address != "" && !kernel.IsDialable(address) {
		return fmt.Errorf("--store=%s is not an address: write host and port, as in 10.0.0.9:8000", f.store)
	}
	d, err := newDeployment(settings.Mesh{Deployment: f.deployment, Store: address})
	if err != nil {
		return problem(err)
	}
	defer d.Store().Close()
	text, err := os.ReadFile(f.path)
	if err != nil {
		return Exit{Code: CodeUsage, Err: err}
	}
	environment, err := readEnvironment(ctx, d, f)
	if err != nil {
		return err
	}
	report := meshReport{file: f.path, path: d.ConfigPath, inForce: environment.InForce}
	cfg, err := d.ReadConfig(text)
	var problems routing.Problems
	switch {
	case errors.As(err, &problems):
		report.findings = preflight.Refused(problems)
	case err != nil:
		return problem(err)
	default:
		report.cfg, report.findings = cfg, preflight.Check(cfg, environment)
	}
	if err := report.write(env, f.format); err != nil {
		return err
	}
	if report.findings.HasErrors() {
		return problem(errReported)
	}
	return nil
}

// readEnvironment reads the version in force from the file or the store that the flags name, and the backend servers that the
// store lists.
func readEnvironment(ctx context.Context, d mesh.Deployment, f *checkFlags) (preflight.Environment, error) {
	e := preflight.Environment{NodeLimits: mesh.NodeLimits()}
	var text []byte
	var err error
	source := f.from
	switch {
	case f.from != "":
		if text, err = os.ReadFile(f.from); err != nil {
			return e, Exit{Code: CodeUsage, Err: err}
		}
	case f.store != "":
		source = f.store
		var known bool
		if text, known, err = mesh.StoredConfig(ctx, d); err != nil {
			return e, storeError(f.store, err)
		}
		counts, err := mesh.BackendServers(ctx, d)
		if err != nil {
			return e, storeError(f.store, err)
		}
		// Before the first nodes have started, the store tells nothing about backend servers.
		if len(counts) > 0 {
			e.BackendServers = counts
		}
		if !known {
			return e, nil
		}
	default:
		return e, nil
	}
	if e.InForce, err = d.ReadConfig(text); err != nil {
		return e, Exit{Code: CodeUsage, Err: fmt.Errorf("the version in force, from %s, is not valid: %w", source, err)}
	}
	return e, nil
}

func storeError(address string, err error) error {
	if errors.Is(err, mesh.ErrUnavailable) {
		err = errors.New("it is not available: check the address, or compare with a file by --from")
	}
	return Exit{Code: CodeNotAccepted, Err: fmt.Errorf("the store at %s can't be read: %w", address, err)}
}

// meshReport is the result of a check of the configuration of a mesh deployment.
type meshReport struct {
	file     string
	path     func(routing.Place) string
	findings preflight.Findings
	// cfg is nil if the configuration is not valid, and inForce if there is nothing to compare with.
	cfg, inForce *routing.Config
}

func (r meshReport) changes() []preflight.Change {
	if r.cfg == nil || r.inForce == nil {
		return nil
	}
	return preflight.Changes(r.inForce, r.cfg)
}

func (r meshReport) write(env *Env, format string) error {
	if format == formatJSON {
		return writeJSON(env.Out, r.record())
	}
	for _, f := range r.findings {
		fmt.Fprintf(env.Out, "%s: %s: %s: %s\n", r.position(f.Place), f.Severity, f.What, f.Remedy)
	}
	if r.cfg == nil {
		return nil
	}
	if len(r.findings) == 0 {
		fmt.Fprintf(env.Out, "ok: version %d, %d routes, %d services, %d accounts, no problems\n", r.cfg.Version(), len(r.cfg.Routes()),
			len(r.cfg.Services()), r.cfg.Accounts().Len())
	}
	if r.inForce == nil {
		return nil
	}
	changes := r.changes()
	if len(changes) == 0 {
		fmt.Fprintf(env.Out, "no changes from version %d\n", r.inForce.Version())
		return nil
	}
	fmt.Fprintf(env.Out, "changes from version %d to version %d:\n", r.inForce.Version(), r.cfg.Version())
	for _, c := range changes {
		fmt.Fprintln(env.Out, c)
	}
	return nil
}

// position returns the file with the line and column of a place, or with its path.
func (r meshReport) position(at routing.Place) string {
	if at.Line > 0 {
		return fmt.Sprintf("%s:%d:%d", r.file, at.Line, at.Column)
	}
	return r.file + ": " + r.path(at)
}

// findingRecord is the JSON form of a finding.
type findingRecord struct {
	Severity preflight.Severity `json:"severity"`
	At       placeRecord        `json:"at"`
	Subject  *preflight.Subject `json:"subject,omitempty"`
	Key      routing.Field      `json:"key,omitempty"`
	What     string             `json:"what"`
	Remedy   string             `json:"remedy"`
}

// placeRecord is the JSON form of a place.
type placeRecord struct {
	File   string `json:"file"`
	Path   string `json:"path,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
}

// meshChangeRecord is the JSON form of a change.
type meshChangeRecord struct {
	Change    string              `json:"change"`
	Subject   preflight.Subject   `json:"subject"`
	Key       routing.Field       `json:"key,omitempty"`
	Old       string              `json:"old,omitempty"`
	New       string              `json:"new,omitempty"`
	Added     int                 `json:"added,omitempty"`
	Withdrawn int                 `json:"withdrawn,omitempty"`
	Settings  []preflight.Setting `json:"settings,omitempty"`
}

// meshRecord is the JSON form of a report. Changes is null if there is nothing to compare.
type meshRecord struct {
	OK       bool               `json:"ok"`
	Problems []findingRecord    `json:"problems"`
	Version  uint64             `json:"version,omitempty"`
	Base     uint64             `json:"base,omitempty"`
	Changes  []meshChangeRecord `json:"changes"`
}

func (r meshReport) record() meshRecord {
	rec := meshRecord{OK: !r.findings.HasErrors(), Problems: []findingRecord{}}
	for _, f := range r.findings {
		at := placeRecord{File: r.file, Path: r.path(f.Place), Line: f.Place.Line, Column: f.Place.Column}
		fr := findingRecord{Severity: f.Severity, At: at, Key: f.Place.Field, What: f.What, Remedy: f.Remedy}
		if f.Place.Kind != "" {
			fr.Subject = &preflight.Subject{Kind: f.Place.Kind, Name: f.Place.Name}
		}
		rec.Problems = append(rec.Problems, fr)
	}
	if r.cfg != nil {
		rec.Version = r.cfg.Version()
	}
	if r.inForce != nil {
		rec.Base = r.inForce.Version()
	}
	if r.cfg != nil && r.inForce != nil {
		rec.Changes = []meshChangeRecord{}
	}
	for _, c := range r.changes() {
		cr := meshChangeRecord{Subject: c.Of()}
		switch c := c.(type) {
		case preflight.Added:
			cr.Change, cr.Settings = "added", c.Settings
		case preflight.Removed:
			cr.Change, cr.Settings = "removed", c.Settings
		case preflight.Changed:
			cr.Change, cr.Key, cr.Old, cr.New = "changed", c.Key, c.Old, c.New
		case preflight.KeysChanged:
			cr.Change, cr.Key, cr.Added, cr.Withdrawn = "changed", routing.FieldKeys, c.Added, c.Withdrawn
		}
		rec.Changes = append(rec.Changes, cr)
	}
	return rec
}
