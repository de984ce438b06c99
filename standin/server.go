package standin

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"lovagelane/kernel"
)

// Error is the class of all errors of the stand-ins.
var Error = errs.Class("standin")

const (
	// idleTimeout exceeds the 15 s after which nodes close idle connections, so that the server is never the side that
	// closes them.
	idleTimeout  = time.Minute
	maxBodyBytes = 16 << 20
)

func newServer(h fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               h,
		Concurrency:           1 << 20,
		IdleTimeout:           idleTimeout,
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		Logger:                log.New(io.Discard, "", 0),
	}
}

// serve runs srv on ln until the group stops.
func serve(g *kernel.Group, name string, srv *fasthttp.Server, ln net.Listener) {
	g.Go(name, func(context.Context) error { return srv.Serve(ln) })
	g.Go(name+"-shutdown", func(ctx context.Context) error {
		<-ctx.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		// Connections still in use after a second stay open until the process exits.
		_ = srv.ShutdownWithContext(ctx)
		return nil
	})
}

func answerJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// dropConnection closes the connection without sending a response.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}
