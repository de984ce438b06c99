package ticket_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lovagelane/call"
	"lovagelane/ticket"
)

// measured is the number of entries over which the heap is divided.
const measured = 10_000

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkAttemptMemory measures the heap of an ended attempt without a kept body, with 590 senders.
func BenchmarkAttemptMemory(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	for b.Loop() {
		before := heap()
		t := ticket.NewAttempts("receiver")
		for i := range measured {
			a := call.Attempt{Sender: fmt.Sprintf("%032x", i%590), Receiver: "receiver", Seq: uint64(i + 1)}
			t.Receive(now, a)
			t.Finish(now, a, ticket.Answer{Status: 200, Outcome: call.OutcomeRan})
		}
		b.ReportMetric(float64(heap()-before)/measured, "B/attempt")
		runtime.KeepAlive(t)
	}
}

// BenchmarkTicketMemory measures the heap of a used ticket whose answer without a body is kept.
func BenchmarkTicketMemory(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	for b.Loop() {
		before := heap()
		o := ticket.NewOwner("owner", now)
		for i := range measured {
			o.Begin(now, ticket.Ticket{Owner: "owner", Seq: uint64(i + 1), Service: "maps"}, "maps", uint64(i))
			o.Finish(now, uint64(i+1), ticket.Answer{Status: 200, Outcome: call.OutcomeRan}, 0)
		}
		if o.Len() != measured {
			b.Fatalf("the table holds %d tickets", o.Len())
		}
		b.ReportMetric(float64(heap()-before)/measured, "B/ticket")
		runtime.KeepAlive(o)
	}
}
