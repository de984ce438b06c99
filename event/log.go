package event

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"lovagelane/kernel"
)

const (
	// burst is the number of lines of one event that are written at once.
	burst = 10
	// refill is the time after which one more line of the event may be written.
	refill = time.Second
	// maxEvents bounds the table of event names; further names share one bound.
	maxEvents = 512
	// timeFormat is RFC 3339 with milliseconds.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// Log writes events; a nil Log and its zero value write nothing.
type Log struct {
	clock  kernel.Clock
	logger *log.Logger

	mu     sync.Mutex
	bounds map[string]*bound
	// rates holds the lines a second of events that have a rate of their own.
	rates map[string]int
}

// bound is a token bucket that counts the lines that it held back.
type bound struct {
	tokens int
	// burst is the largest number of tokens, and refill the time in which one more comes.
	burst      int
	refill     time.Duration
	filled     time.Time
	suppressed int64
}

// New returns a log that writes logfmt lines to w.
func New(w io.Writer, clock kernel.Clock) *Log {
	logger := log.NewWithOptions(w, log.Options{
		TimeFunction:    func(time.Time) time.Time { return clock.Now().UTC() },
		TimeFormat:      timeFormat,
		ReportTimestamp: true,
		Formatter:       log.LogfmtFormatter,
	})
	return &Log{clock: clock, logger: logger, bounds: map[string]*bound{}}
}

// Allow gives events a bound of their own, in lines a second; call it before the first line.
func (l *Log) Allow(rate int, events ...string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rates == nil {
		l.rates = map[string]int{}
	}
	for _, event := range events {
		l.rates[event] = rate
	}
}

// Info writes an event that needs no action; pairs are alternating keys and values.
func (l *Log) Info(event string, pairs ...any) { l.write(log.InfoLevel, event, pairs) }

// Warn writes an event that an operator should know of.
func (l *Log) Warn(event string, pairs ...any) { l.write(log.WarnLevel, event, pairs) }

// Error writes an event that needs an operator.
func (l *Log) Error(event string, pairs ...any) { l.write(log.ErrorLevel, event, pairs) }

func (l *Log) write(level log.Level, event string, pairs []any) {
	if l == nil || l.logger == nil {
		return
	}
	suppressed, ok := l.admit(event)
	if !ok {
		return
	}
	line := make([]any, 0, len(pairs)+5)
	line = append(line, "event", event)
	for i, v := range pairs {
		if i%2 == 1 {
			v = text(v)
		}
		line = append(line, v)
	}
	if len(pairs)%2 == 1 {
		line = append(line, "missing")
	}
	if suppressed > 0 {
		line = append(line, "suppressed", suppressed)
	}
	l.logger.Log(level, nil, line...)
}

// admit returns the number of lines that were held back since the last one that got through.
func (l *Log) admit(event string) (suppressed int64, ok bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.boundOf(event, now).take(now)
}

func (l *Log) boundOf(event string, now time.Time) *bound {
	b := l.bounds[event]
	if b == nil && len(l.bounds) >= maxEvents {
		event = "" // shared by all further names
		b = l.bounds[event]
	}
	if b == nil {
		b = &bound{tokens: burst, burst: burst, refill: refill, filled: now}
		if rate := l.rates[event]; rate > 0 {
			b.tokens, b.burst, b.refill = rate, rate, time.Second/time.Duration(rate)
		}
		l.bounds[event] = b
	}
	return b
}

func (b *bound) take(now time.Time) (suppressed int64, ok bool) {
	if n := int64(now.Sub(b.filled) / b.refill); n > 0 {
		b.tokens = int(min(int64(b.tokens)+n, int64(b.burst)))
		b.filled = b.filled.Add(time.Duration(n) * b.refill)
	}
	if b.tokens == 0 {
		b.suppressed++
		return 0, false
	}
	b.tokens--
	suppressed, b.suppressed = b.suppressed, 0
	return suppressed, true
}

// text gives values a readable form that the logfmt encoder would refuse or write in full precision.
func text(v any) any {
	switch v := v.(type) {
	case time.Time:
		return v.UTC().Format(timeFormat)
	case error, fmt.Stringer, string, bool, int, int64, uint64, float64, nil:
		return v
	default:
		return fmt.Sprint(v)
	}
}
