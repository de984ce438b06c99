package membership_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagelane/membership"
)

const validRow = `{"member":{"id":"a","service":"maps","state":"serving","calls":"10.0.0.1:80"},"lease-ms":1000}`

// Guards against an odd row of another writer that is taken as a member.
func TestDecodeRowRejectsOddRows(t *testing.T) {
	row, err := membership.DecodeRow("a", validRow)
	require.NoError(t, err)
	require.True(t, row.IsLive(time.Second))
	require.False(t, row.IsLive(time.Second+1))
	for name, value := range map[string]string{
		"no JSON":           "\xff{",
		"nested":            strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		"nested field":      `{"member":{"id":"a","service":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}}`,
		"another key":       strings.Replace(validRow, `"a"`, `"b"`, 1),
		"no port":           strings.Replace(validRow, "10.0.0.1:80", "10.0.0.1", 1),
		"port 0":            strings.Replace(validRow, ":80", ":0", 1),
		"negative port":     strings.Replace(validRow, ":80", ":-1", 1),
		"large port":        strings.Replace(validRow, ":80", ":65536", 1),
		"large lease":       strings.Replace(validRow, "1000", "9223372036854775807", 1),
		"lease beyond int":  strings.Replace(validRow, "1000", "1e400", 1),
		"negative lease":    strings.Replace(validRow, "1000", "-1", 1),
		"unknown state":     strings.Replace(validRow, "serving", "resting", 1),
		"long service":      strings.Replace(validRow, "maps", strings.Repeat("m", 1<<20), 1),
		"number as service": strings.Replace(validRow, `"maps"`, "7", 1),
	} {
		_, err := membership.DecodeRow("a", value)
		require.Error(t, err, name)
	}
}

// FuzzDecodeRow feeds arbitrary values: a row is rejected or within its bounds.
func FuzzDecodeRow(f *testing.F) {
	f.Add(validRow)
	f.Add(`{"member":{"id":"a"},"lease-ms":-9223372036854775808}`)
	f.Fuzz(func(t *testing.T, value string) {
		row, err := membership.DecodeRow("a", value)
		if err == nil {
			require.True(t, row.Member.Valid(), fmt.Sprint(row))
			require.False(t, row.IsLive(25*time.Hour))
		}
	})
}
