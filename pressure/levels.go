package pressure

import (
	"time"

	"lovagelane/call"
)

// Levels holds the admission level of each operation as learned from answers; the caller serializes access to it.
type Levels struct{}

// Admit reports whether the call graph behind an operation admits the priority.
func (l *Levels) Admit(now time.Time, operation string, p call.Priority) bool { return true }

// Learn records the strictest level that an answer to the operation brought.
func (l *Levels) Learn(now time.Time, operation string, level call.Priority) {}

// Level returns the level in force for an operation and its age.
func (l *Levels) Level(now time.Time, operation string) (call.Priority, time.Duration) {
	return call.LeastImportant, 0
}
