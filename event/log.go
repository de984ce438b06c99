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
	// defaultBurst is the size of an event's token bucket, in lines.
	defaultBurst = 10
	// defaultRefillInterval is the time after which an event's bucket gains a token.
	defaultRefillInterval = time.Second
	// maxEvents bounds the event names with a bucket of their own. Further names share one bucket.
	maxEvents = 512
	// timeFormat is RFC 3339 with milliseconds.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// Log writes events as log lines, with a rate limit for each event name. A nil Log and the zero value write nothing.
type Log struct {
	clock  kernel.Clock
	logger *log.Logger

	mu      sync.Mutex
	buckets map[string]*tokenBucket
	// rates holds the rate limits that SetRate has set, in lines per second, by event name.
	rates map[string]int
}

// tokenBucket limits the lines of an event and counts the suppressed ones.
type tokenBucket struct {
	tokens int
	// maxTokens is the capacity, and refillInterval the time after which a token is added.
	maxTokens      int
	refillInterval time.Duration
	refilledAt     time.Time
	suppressed     int64
}

// New returns a Log that writes logfmt lines to w.
func New(w io.Writer, clock kernel.Clock) *Log {
	logger := log.NewWithOptions(w, log.Options{
		TimeFunction:    func(time.Time) time.Time { return clock.Now().UTC() },
		TimeFormat:      timeFormat,
		ReportTimestamp: true,
		Formatter:       log.LogfmtFormatter,
	})
	return &Log{clock: clock, logger: logger, buckets: map[string]*tokenBucket{}}
}

// SetRate sets the rate limit of each of the events, in lines per second. Call it before their first line.
func (l *Log) SetRate(rate int, events ...string) {
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

// Info writes an event that needs no action. The pairs are alternating keys and values.
func (l *Log) Info(event string, pairs ...any) { l.write(log.InfoLevel, event, pairs) }

// Warn writes an event that an operator should know of.
func (l *Log) Warn(event string, pairs ...any) { l.write(log.WarnLevel, event, pairs) }

// Error writes an event that requires action by an operator.
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
			v = formatValue(v)
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

// admit reports whether a line may be written, and returns the number of lines suppressed since the last written one.
func (l *Log) admit(event string) (suppressed int64, ok bool) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bucketFor(event, now).take(now)
}

func (l *Log) bucketFor(event string, now time.Time) *tokenBucket {
	b := l.buckets[event]
	if b == nil && len(l.buckets) >= maxEvents {
		event = "" // shared by all names beyond maxEvents
		b = l.buckets[event]
	}
	if b == nil {
		b = &tokenBucket{tokens: defaultBurst, maxTokens: defaultBurst, refillInterval: defaultRefillInterval, refilledAt: now}
		if rate := l.rates[event]; rate > 0 {
			b.tokens, b.maxTokens, b.refillInterval = rate, rate, time.Second/time.Duration(rate)
		}
		l.buckets[event] = b
	}
	return b
}

func (b *tokenBucket) take(now time.Time) (suppressed int64, ok bool) {
	if n := int64(now.Sub(b.refilledAt) / b.refillInterval); n > 0 {
		b.tokens = int(min(int64(b.tokens)+n, int64(b.maxTokens)))
		b.refilledAt = b.refilledAt.Add(time.Duration(n) * b.refillInterval)
	}
	if b.tokens == 0 {
		b.suppressed++
		return 0, false
	}
	b.tokens--
	suppressed, b.suppressed = b.suppressed, 0
	return suppressed, true
}

// formatValue formats values that the logfmt encoder would reject or write with full precision.
func formatValue(v any) any {
	switch v := v.(type) {
	case time.Time:
		return v.UTC().Format(timeFormat)
	case error, fmt.Stringer, string, bool, int, int64, uint64, float64, nil:
		return v
	default:
		return fmt.Sprint(v)
	}
}
