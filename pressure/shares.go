package pressure

import "time"

// Shares tells which requests of a caller exceed its fair share of a class; the caller serializes access to it.
type Shares struct{}

// Value returns the value for a request: base (0..127) within the caller's fair share, base+128 beyond it.
func (s *Shares) Value(now time.Time, class, caller string, base uint8) uint8 { return base & 127 }
