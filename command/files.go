package command

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"lovagelane/inventory"
	"lovagelane/setting"
)

// readFiles reads the operators' files in a directory under their base names, so that lines read the same wherever the
// files are checked out. A missing file is left to inventory.Parse to report.
func readFiles(dir string) ([]inventory.File, error) {
	var files []inventory.File
	for _, name := range []string{inventory.InventoryFile, inventory.RulesFile} {
		text, err := os.ReadFile(filepath.Join(dir, name))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, problem(err)
		}
		files = append(files, inventory.File{Name: name, Text: string(text)})
	}
	return files, nil
}

// readConfig reads a checked configuration, or returns setting.Problems whose lines name the files with their directory.
func readConfig(dir string) (*inventory.Config, error) {
	files, err := readFiles(dir)
	if err != nil {
		return nil, err
	}
	cfg, problems := inventory.Parse(files)
	if len(problems) == 0 {
		return cfg, nil
	}
	for i := range problems {
		problems[i].Line.File = filepath.Join(dir, problems[i].Line.File)
	}
	return nil, problem(setting.Problems(problems))
}

// reported writes the problems that an error holds as JSON when a script asked for it, and leaves other errors to Run.
func reported(env *Env, format string, err error) error {
	var found setting.Problems
	if format != formatJSON || !errors.As(err, &found) {
		return err
	}
	if err := writeProblems(env, found); err != nil {
		return err
	}
	return problem(errReported)
}

func writeProblems(env *Env, found setting.Problems) error {
	return writeJSON(env.Out, struct {
		OK       bool             `json:"ok"`
		Problems setting.Problems `json:"problems"`
	}{len(found) == 0, append(setting.Problems{}, found...)})
}
