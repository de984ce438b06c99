package ticket_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lovagelane/call"
	"lovagelane/ticket"
)

// entryCount is the number of table entries in each measurement.
const entryCount = 10_000

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkAttemptMemory measures the heap bytes per ended attempt without a stored body, with 590 senders.
func BenchmarkAttemptMemory(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	for b.Loop() {
		before := heapBytes()
		t := ticket.NewAttempts("receiver")
		for i := range entryCount {
			a := call.Attempt{Sender: fmt.Sprintf("%032x", i%590), Receiver: "receiver", Seq: uint64(i + 1)}
			t.Receive(now, a)
			t.Finish(now, a, ticket.Answer{Status: 200, Outcome: call.OutcomeRan})
		}
		b.ReportMetric(float64(heapBytes()-before)/entryCount, "B/attempt")
		runtime.KeepAlive(t)
	}
}

// BenchmarkTicketMemory measures the heap bytes per used ticket with a stored answer that has no body.
func BenchmarkTicketMemory(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	for b.Loop() {
		before := heapBytes()
		o := ticket.NewOwnerTable("owner", now)
		for i := range entryCount {
			o.Begin(now, ticket.Ticket{Owner: "owner", Seq: uint64(i + 1), Service: "maps"}, "maps", uint64(i))
			o.Finish(now, uint64(i+1), ticket.Answer{Status: 200, Outcome: call.OutcomeRan}, 0)
		}
		if o.Len() != entryCount {
			b.Fatalf("the table holds %d tickets", o.Len())
		}
		b.ReportMetric(float64(heapBytes()-before)/entryCount, "B/ticket")
		runtime.KeepAlive(o)
	}
}
