package inventory_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"lovagelane/inventory"
)

// readCase reads the input files of a test directory and the expected problems.
func readCase(t testing.TB, dir string) (files []inventory.File, want string) {
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, e := range entries {
		text, err := os.ReadFile(filepath.Join(dir, e.Name()))
		require.NoError(t, err)
		if e.Name() == "problems.txt" {
			want = string(text)
			continue
		}
		files = append(files, inventory.File{Name: e.Name(), Text: string(text)})
	}
	return files, want
}

// caseDirs returns the directories of the test cases. Each contains input files and the expected problems in problems.txt.
func caseDirs(t testing.TB) []string {
	dirs, err := filepath.Glob("testdata/problems/*")
	require.NoError(t, err)
	require.NotEmpty(t, dirs)
	return dirs
}

// Guards against an error in the files that is accepted, reported without its line, or hides other errors.
func TestProblems(t *testing.T) {
	for _, dir := range caseDirs(t) {
		t.Run(filepath.Base(dir), func(t *testing.T) {
			files, want := readCase(t, dir)
			cfg, problems := inventory.Parse(files)
			require.Nil(t, cfg)
			var got strings.Builder
			for _, p := range problems {
				got.WriteString(p.Error() + "\n")
			}
			require.Equal(t, want, got.String())
		})
	}
}
