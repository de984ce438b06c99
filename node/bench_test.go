package node_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// BenchmarkCall measures a call from a caller through an entry node and a serving node; BenchmarkDirectCall is its
// baseline without nodes.
func BenchmarkCall(b *testing.B) {
	w := newWorld(b, chainInventory, chainRules)
	entry := w.station("nursery", text("ok"))
	w.station("payments", text("paid"))
	benchmarkCalls(b, "http://"+entry.Addresses().Callers+"/payments/quote")
}

func BenchmarkDirectCall(b *testing.B) {
	w := newWorld(b, chainInventory, chainRules)
	payments := w.station("payments", text("paid"))
	benchmarkCalls(b, "http://"+payments.address+"/quote")
}

func benchmarkCalls(b *testing.B, url string) {
	client := &fasthttp.Client{}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	b.ReportAllocs()
	for b.Loop() {
		require.NoError(b, client.Do(req, resp))
		require.Equal(b, fasthttp.StatusOK, resp.StatusCode())
	}
}
