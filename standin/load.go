package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// sampleLoad records the load periodically, so that reports can lag by the configured LoadLag.
func (b *BackendServer) sampleLoad(ctx context.Context) error {
	ticker := time.NewTicker(loadSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			b.addLoadSample(loadSample{at: b.clock.Now(), inFlight: b.InFlight()})
		}
	}
}

// addLoadSample appends a sample and removes those older than the newest sample that is at least LoadLag old.
func (b *BackendServer) addLoadSample(s loadSample) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.samples = append(b.samples, s)
	for len(b.samples) > 1 && s.at.Sub(b.samples[1].at) >= b.opt.LoadLag {
		b.samples = b.samples[1:]
	}
}

func (b *BackendServer) loadReport() LoadReport {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := LoadReport{Slots: b.opt.Slots}
	switch {
	case b.reportInFlight >= 0:
		r.InFlight = b.reportInFlight
	case b.opt.LoadLag <= 0:
		r.InFlight = b.InFlight()
	default:
		for _, s := range b.samples {
			if now.Sub(s.at) >= b.opt.LoadLag {
				r.InFlight = s.inFlight
			}
		}
	}
	return r
}

// limitedListener resets connections beyond its limit, like a server whose connection table is full.
type limitedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// Accept returns the next connection within the limit and resets those beyond it.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = c.Close()
	}
}

type limitedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close closes the connection, which then no longer counts towards the limit.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
