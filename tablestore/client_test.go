package tablestore_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"log"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"lovagelane/kernel"
	"lovagelane/tablestore"
)

// startServer serves every request with handler on loopback and returns the base URL.
func startServer(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fasthttp.Server{Handler: handler}
	g := kernel.NewGroup(t.Context())
	g.Go("server", func(context.Context) error { return s.Serve(ln) })
	t.Cleanup(func() {
		require.NoError(t, ln.Close())
		_ = s.Shutdown()
		_ = g.Stop()
	})
	return "http://" + ln.Addr().String()
}

func respondWith(status int, body string) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(status)
		ctx.SetBodyString(body)
	}
}

func closeConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

func newClient(t *testing.T, base string, timeout time.Duration) *tablestore.Client {
	t.Helper()
	c, err := tablestore.NewClient(base, timeout)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func errorKind(err error) string {
	var conflict *tablestore.ConflictError
	var unavailable *tablestore.UnavailableError
	var unknown *tablestore.UnknownError
	var protocol *tablestore.ProtocolError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &unavailable):
		return "unavailable"
	case errors.As(err, &unknown):
		return "unknown"
	case errors.As(err, &protocol):
		return "protocol"
	}
	return err.Error()
}

// Guards against a failure of the store that is reported as another kind of error, above all a write whose response was lost
// and that is reported as not applied.
func TestErrorKinds(t *testing.T) {
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, refused.Close())
	cases := []struct {
		name    string
		handler fasthttp.RequestHandler
		// read, write and put are the expected kinds of error for Row, Transact and PutObject.
		read, write, put string
	}{
		{"refused", nil, "unavailable", "unavailable", "unavailable"},
		{"503", respondWith(503, ""), "unavailable", "unavailable", "unavailable"},
		{"500", respondWith(500, ""), "unavailable", "unknown", "unavailable"},
		{"no answer", func(*fasthttp.RequestCtx) { time.Sleep(time.Second) }, "unavailable", "unknown", "unknown"},
		{"connection cut", closeConnection, "unavailable", "unknown", "unknown"},
		{"400", respondWith(400, "bad"), "protocol", "protocol", "protocol"},
		{"another server", respondWith(200, "<html>"), "protocol", "unknown", "done"},
		{"conflict", respondWith(412, `{"key":"current","version":7}`), "protocol", "conflict", "protocol"},
		{"not found", respondWith(404, ""), "done", "protocol", "protocol"},
		{"too large", respondWith(200, string(make([]byte, 2<<20))), "protocol", "unknown", "unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			base := "http://" + refused.Addr().String()
			if c.handler != nil {
				base = startServer(t, c.handler)
			}
			store := newClient(t, base, 100*time.Millisecond)
			_, _, err := store.Row(t.Context(), "config", "current")
			require.Equal(t, c.read, errorKind(err), "read: %v", err)
			_, err = store.Transact(t.Context(), "config", []tablestore.Write{{Key: "current", Value: "x"}})
			require.Equal(t, c.write, errorKind(err), "write: %v", err)
			_, err = store.PutObject(t.Context(), "abc", []byte("x"))
			require.Equal(t, c.put, errorKind(err))
		})
	}
}

// Guards against requests that do not follow the protocol in docs/design.md, section 8.
func TestRequests(t *testing.T) {
	var got string
	reply := ""
	store := newClient(t, startServer(t, func(ctx *fasthttp.RequestCtx) {
		got = string(ctx.Method()) + " " + string(ctx.RequestURI()) + " " + string(ctx.PostBody())
		ctx.SetBodyString(reply)
	}), 0)

	reply = `{"key":"current","value":"v","version":3,"revision":9,"age-ms":1500}`
	row, ok, err := store.Row(t.Context(), "config", "current")
	require.NoError(t, err)
	require.True(t, ok)
	require.Equal(t, tablestore.Row{Key: "current", Value: "v", Version: 3, Revision: 9, AgeMillis: 1500}, row)
	require.Equal(t, 1500*time.Millisecond, row.Age())
	require.Equal(t, "GET /tables/config/rows/current ", got)

	reply = `{"revision":4,"rows":[{"key":"a","deleted":true}]}`
	mark, rows, err := store.Rows(t.Context(), "members", tablestore.Mark{Revision: 2})
	require.NoError(t, err)
	require.Equal(t, tablestore.Mark{Revision: 4}, mark)
	require.Equal(t, []tablestore.Row{{Key: "a", Deleted: true}}, rows)
	require.Equal(t, "GET /tables/members/rows?since=2 ", got)

	reply = `{"revision":5,"versions":{"a":1}}`
	commit, err := store.Transact(t.Context(), "members", []tablestore.Write{
		{Key: "a", Value: "v", IfVersion: kernel.Some(uint64(0))}, {Key: "b", Delete: true, IfEra: kernel.Some(uint64(3))},
	})
	require.NoError(t, err)
	require.Equal(t, tablestore.Commit{Revision: 5, Versions: map[string]uint64{"a": 1}}, commit)
	require.Equal(t, `POST /tables/members/transactions `+
		`{"writes":[{"key":"a","value":"v","if-version":0},{"key":"b","if-era":3,"delete":true}]}`, got)

	reply = "text"
	_, err = store.PutObject(t.Context(), "abc", []byte("x"))
	require.NoError(t, err)
	require.Equal(t, "PUT /objects/abc x", got)
	data, ok, err := store.Object(t.Context(), "abc")
	require.NoError(t, err)
	require.True(t, ok)
	require.Equal(t, "text", string(data))
}

// Guards against a write that the HTTP client retries on its own and that then conflicts with its first attempt.
func TestWritesAreNotRepeated(t *testing.T) {
	n := 0
	store := newClient(t, startServer(t, func(ctx *fasthttp.RequestCtx) { n++; closeConnection(ctx) }), 0)
	_, err := store.Transact(t.Context(), "config", nil)
	require.Equal(t, "unknown", errorKind(err))
	require.Equal(t, 1, n)
}

// Guards against a shutdown that waits for a response which never arrives.
func TestCloseAbortsRequests(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	base := startServer(t, func(*fasthttp.RequestCtx) { close(arrived); <-release })
	t.Cleanup(func() { close(release) })
	store := newClient(t, base, time.Hour)
	g := kernel.NewGroup(t.Context())
	g.Go("request", func(ctx context.Context) error {
		_, _, err := store.Row(ctx, "config", "current")
		return err
	})
	<-arrived
	store.Close()
	require.Equal(t, "unavailable", errorKind(g.Wait()))
}

// Guards against an invalid base URL that fails only at the first request.
func TestNewClientChecksTheURL(t *testing.T) {
	for _, base := range []string{"", "10.0.0.1:8000", "ftp://x", "http://"} {
		_, err := tablestore.NewClient(base, 0)
		require.ErrorContains(t, err, "write it as http://10.0.0.1:8000", base)
	}
}

// Guards against rows that are missing from a listing after a mark that isn't in the table's present history.
func TestListingStartsOverInAnotherHistory(t *testing.T) {
	cases := []struct {
		name, era string
		revision  uint64
		since     tablestore.Mark
		want      []string
	}{
		{"the same history", "3", 7, tablestore.Mark{Era: 3, Revision: 5}, []string{"5"}},
		{"a later era", "4", 7, tablestore.Mark{Era: 3, Revision: 5}, []string{"5", "0"}},
		{"the first era that is stated", "1", 7, tablestore.Mark{Revision: 5}, []string{"5", "0"}},
		{"no era, a lower revision", "", 4, tablestore.Mark{Revision: 5}, []string{"5", "0"}},
		{"no era, a higher revision", "", 7, tablestore.Mark{Revision: 5}, []string{"5"}},
		{"an era that can't be read", "x", 7, tablestore.Mark{Revision: 5}, []string{"5"}},
		{"the beginning", "4", 7, tablestore.Mark{}, []string{"0"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var asked []string
			store := newClient(t, startServer(t, func(ctx *fasthttp.RequestCtx) {
				asked = append(asked, string(ctx.QueryArgs().Peek("since")))
				if c.era != "" {
					ctx.Response.Header.Set("Store-Era", c.era)
				}
				ctx.SetBodyString(fmt.Sprintf(`{"revision":%d}`, c.revision))
			}), 0)
			mark, _, err := store.Rows(t.Context(), "members", c.since)
			require.NoError(t, err)
			require.Equal(t, c.revision, mark.Revision)
			require.Equal(t, c.want, asked)
		})
	}
}

// Guards against a list that can't be read because of one odd row, which another writer may leave.
func TestOddRowDoesNotHideTheOthers(t *testing.T) {
	store := newClient(t, startServer(t, respondWith(200, `{"revision":4,"rows":[
		{"key":"a","value":"v"},{"key":"odd","version":1e999},7,{"key":{"deep":[[]]}},{"key":"b","version":18446744073709551616},
		{"key":"c","value":"w"}]}`)), 0)
	mark, rows, err := store.Rows(t.Context(), "members", tablestore.Mark{})
	require.NoError(t, err)
	require.Equal(t, tablestore.Mark{Revision: 4}, mark)
	var readable, odd []string
	for _, row := range rows {
		if row.Err != nil {
			odd = append(odd, row.Key)
		} else {
			readable = append(readable, row.Key+"="+row.Value)
		}
	}
	require.Equal(t, []string{"a=v", "c=w"}, readable)
	require.Equal(t, []string{"odd", "", "", "b"}, odd)
}

// Guards against a store behind TLS that can't be reached, or whose certificate is not checked.
func TestStoreBehindTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, &template, &template, &key.PublicKey, key)
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "authority.pem")
	require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	t.Setenv("SSL_CERT_FILE", file)

	ln, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}})
	require.NoError(t, err)
	s := &fasthttp.Server{Handler: respondWith(fasthttp.StatusOK, `{"revision":7}`), Logger: log.New(io.Discard, "", 0)}
	g := kernel.NewGroup(t.Context())
	g.Go("server", func(context.Context) error { return s.Serve(ln) })
	t.Cleanup(func() { _ = s.Shutdown() })

	port := ln.Addr().(*net.TCPAddr).Port
	for range 2 {
		mark, _, err := newClient(t, fmt.Sprintf("https://127.0.0.1:%d", port), 0).Rows(t.Context(), "t", tablestore.Mark{})
		require.NoError(t, err)
		require.EqualValues(t, 7, mark.Revision)
	}
	_, _, err = newClient(t, fmt.Sprintf("https://localhost:%d", port), 0).Rows(t.Context(), "t", tablestore.Mark{})
	var otherName x509.HostnameError
	require.ErrorAs(t, err, &otherName, "the certificate is for an address")
}

// Guards against a malformed answer of the store that counts as a committed write, as a missing row, or as the promise that nothing was
// written.
func TestMalformedAnswersAreErrors(t *testing.T) {
	for name, answer := range map[string]string{
		"status 000":      "HTTP/1.1 000 OK\r\nContent-Length: 15\r\n\r\n{\"revision\": 7}",
		"blank in a name": "HTTP/1.1 200 OK\r\nX Own: 1\r\nContent-Length: 15\r\n\r\n{\"revision\": 7}",
		"not found":       "HTTP/1.1 404 Not Found\r\nX Own: 1\r\nContent-Length: 0\r\n\r\n",
		"unavailable":     "HTTP/1.1 503 Service Unavailable\r\nX Own: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := newClient(t, startServer(t, func(ctx *fasthttp.RequestCtx) {
				ctx.HijackSetNoResponse(true)
				ctx.Hijack(func(conn net.Conn) {
					_, _ = io.WriteString(conn, answer)
					_ = conn.Close()
				})
			}), 0)
			_, err := c.Transact(t.Context(), "t", []tablestore.Write{{Key: "k", Value: "v"}})
			require.Equal(t, "unknown", errorKind(err))
			_, err = c.PutObject(t.Context(), "o", []byte("text"))
			require.Equal(t, "unknown", errorKind(err))
			_, _, err = c.Row(t.Context(), "t", "k")
			require.Equal(t, "unavailable", errorKind(err))
			_, _, err = c.Rows(t.Context(), "t", tablestore.Mark{})
			require.Equal(t, "unavailable", errorKind(err))
			_, _, err = c.Object(t.Context(), "o")
			require.Equal(t, "unavailable", errorKind(err))
		})
	}
}
