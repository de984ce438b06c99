package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// sampleLoad records the load so that a report can be as old as the options say.
func (b *BackendServer) sampleLoad(ctx context.Context) error {
	ticker := time.NewTicker(loadSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			b.addSample(loadSample{at: b.clock.Now(), inFlight: b.InFlight()})
		}
	}
}

// addSample drops all samples older than the newest one that is old enough to be reported.
func (b *BackendServer) addSample(s loadSample) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.samples = append(b.samples, s)
	for len(b.samples) > 1 && s.at.Sub(b.samples[1].at) >= b.opt.LoadLag {
		b.samples = b.samples[1:]
	}
}

func (b *BackendServer) load() LoadReport {
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

// limitedListener resets connections beyond its limit, as a server with a full connection table does.
type limitedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// Accept returns the next connection that fits the table.
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

// Close closes the connection and frees its place in the table.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
