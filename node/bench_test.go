package node_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// BenchmarkCall measures a call from a caller through an entry node and a serving node. BenchmarkDirectCall is the baseline
// without nodes.
func BenchmarkCall(b *testing.B) {
	d := newDeployment(b, chainInventory, chainRules)
	entry := d.startInstance("nursery", text("ok"))
	d.startInstance("payments", text("paid"))
	benchmarkCalls(b, "http://"+entry.Addresses().Callers+"/payments/quote")
}

func BenchmarkDirectCall(b *testing.B) {
	d := newDeployment(b, chainInventory, chainRules)
	payments := d.startInstance("payments", text("paid"))
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
