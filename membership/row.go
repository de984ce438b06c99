package membership

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"lovagelane/kernel"
)

// maxLease bounds the lease that a row may state.
const maxLease = 24 * time.Hour

// Row is the value of a row in the members table of the store, encoded as JSON.
type Row struct {
	Member Member `json:"member"`
	// LeaseMillis is the age up to which a node that does not know the member yet treats it as live.
	LeaseMillis int64 `json:"lease-ms"`
}

// DecodeRow decodes and checks the value of a row, which another writer may have left.
func DecodeRow(key, value string) (Row, error) {
	var r Row
	if err := json.Unmarshal([]byte(value), &r); err != nil {
		return Row{}, err
	}
	switch {
	case r.Member.ID != key:
		return Row{}, fmt.Errorf("the row is of the member %.40q", r.Member.ID)
	case !r.Member.Valid():
		return Row{}, errors.New("a field of the member is out of range")
	case r.LeaseMillis < 0 || r.LeaseMillis > maxLease.Milliseconds():
		return Row{}, fmt.Errorf("the lease of %d ms is out of range", r.LeaseMillis)
	}
	for _, address := range []string{r.Member.Calls, r.Member.Control, r.Member.Callers} {
		if address != "" && !kernel.IsDialable(address) {
			return Row{}, fmt.Errorf("the address %.60q has no host or no port from 1 to 65535", address)
		}
	}
	return r, nil
}

// IsLive reports whether the lease of the row covers its age.
func (r Row) IsLive(age time.Duration) bool {
	return age <= time.Duration(r.LeaseMillis)*time.Millisecond
}
