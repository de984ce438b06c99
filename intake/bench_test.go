package intake_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"lovagelane/intake"
	"lovagelane/kernel"
	"lovagelane/memory"
)

// BenchmarkSmallRequest measures what a small request and its answer cost on a kept connection.
func BenchmarkSmallRequest(b *testing.B) {
	g := kernel.NewGroup(context.Background())
	s := &intake.Server{Group: g, MaxConnections: 8, MaxPipelined: 16, MaxHeaderBytes: 20 << 10, MaxBodyBytes: 1 << 20, ReadTimeout: time.Minute,
		IdleTimeout: time.Minute, WriteTimeout: time.Minute, Budget: memory.New(100 << 20), MaxConnectionBytes: 1 << 20,
		Handler:    func(x *intake.Exchange) { x.Response.SetBodyString("answer") },
		Unreadable: func(*fasthttp.Response, error) {}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	g.Go("serve", func(context.Context) error { return s.Serve(ln) })
	c, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(b, err)
	defer func() { require.NoError(b, c.Close()) }()
	r := bufio.NewReader(c)
	text := request("GET", "/a", "X-Request-Id: 12345678")
	var resp fasthttp.Response
	b.ReportAllocs()
	for b.Loop() {
		_, err := io.WriteString(c, text)
		require.NoError(b, err)
		require.NoError(b, resp.Read(r))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.Shutdown(ctx)
	require.NoError(b, g.Stop())
}
