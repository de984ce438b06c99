package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run. Its times count from the start of the case.
type record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, began: time.Now()}, nil
}

func (r *record) now() time.Duration { return time.Since(r.began) }

// add writes one line: the time, the event and its fields.
func (r *record) add(event, format string, args ...any) {
	line := fmt.Sprintf("%9.3f %-14s %s\n", r.now().Seconds(), event, fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.f.WriteString(line)
}
