package command

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"lovagelane/inifile"
	"lovagelane/inventory"
)

// readFiles reads inventory.ini and rules.ini from a directory. The files carry only their base names, so that positions
// do not depend on where the files are checked out. inventory.Parse reports missing files.
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

// readConfig reads and validates a configuration. It returns inifile.Problems whose positions include the directory.
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
	return nil, problem(inifile.Problems(problems))
}

// reportProblems writes inifile.Problems as JSON if that is the output format. Run prints all other errors.
func reportProblems(env *Env, format string, err error) error {
	var problems inifile.Problems
	if format != formatJSON || !errors.As(err, &problems) {
		return err
	}
	if err := writeProblems(env, problems); err != nil {
		return err
	}
	return problem(errReported)
}

func writeProblems(env *Env, problems inifile.Problems) error {
	return writeJSON(env.Out, struct {
		OK       bool             `json:"ok"`
		Problems inifile.Problems `json:"problems"`
	}{len(problems) == 0, append(inifile.Problems{}, problems...)})
}
