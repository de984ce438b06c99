package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// BucketWidth is the width of the buckets of goodput over time.
	BucketWidth = 100 * time.Millisecond

	maxLatency      = 10 * time.Minute
	latencyDigits   = 3
	reasonShed      = "shed"
	reasonQueueFull = "queue-full"
)

// End is how a request ended for its caller.
type End int

const (
	// Answered means that the whole answer came in time.
	Answered End = iota
	// Shed means that it was refused under overload.
	Shed
	// Refused means that it was refused for another reason.
	Refused
	// Failed means that it ran and its answer is an error.
	Failed
	// Unknown means that it may or may not have run.
	Unknown
	// Late means that no answer came within the caller's timeout.
	Late
)

// Result is the end of one request.
type Result struct {
	Kind    string
	Request string
	End     End
	Reason  string
	// NotRun means that every send of the request was refused as "not run".
	NotRun bool
	// Straggler tells that the work behind the answer was drawn to take longer.
	Straggler bool
	// Sends counts the sends, without the ones that only fetched a ticket.
	Sends   int
	Latency time.Duration
	// Arrived and Done are the times after the start of the load at which the request arrived and ended.
	Arrived, Done time.Duration
}

// KindResults add up the results of one kind of request.
type KindResults struct {
	Kind     string         `json:"kind"`
	Sent     int            `json:"sent"`
	Answered int            `json:"answered"`
	Shed     int            `json:"shed"`
	Refused  int            `json:"refused"`
	Failed   int            `json:"failed"`
	Unknown  int            `json:"unknown"`
	Late     int            `json:"late"`
	Sends    int            `json:"sends"`
	Reasons  map[string]int `json:"reasons"`
	// Goodput counts answered requests by the bucket in which they ended.
	Goodput []int `json:"goodput"`
	// Arrived and ArrivedAnswered count requests, and those of them that were answered, by the bucket of their arrival.
	Arrived         []int `json:"arrived"`
	ArrivedAnswered []int `json:"arrived-answered"`

	latencies *hdrhistogram.Histogram
}

// Quantile returns a quantile, in [0, 100], of the latency of answered requests without stragglers.
func (k *KindResults) Quantile(q float64) time.Duration {
	if k.latencies == nil {
		return 0
	}
	return time.Duration(k.latencies.ValueAtQuantile(q)) * time.Microsecond
}

// Share returns the share of the sent requests that were answered.
func (k *KindResults) Share() float64 {
	if k.Sent == 0 {
		return 0
	}
	return float64(k.Answered) / float64(k.Sent)
}

// Results add up the results of a load.
type Results struct {
	mu    sync.Mutex
	kinds map[string]*KindResults
	order []string
	// notRun holds the results of requests of which every send was refused as "not run".
	notRun []Result
}

// NewResults returns results for these kinds, in this order.
func NewResults(kinds []string) *Results {
	r := &Results{kinds: map[string]*KindResults{}}
	for _, k := range kinds {
		if r.kinds[k] != nil {
			continue
		}
		r.order = append(r.order, k)
		r.kinds[k] = &KindResults{Kind: k, Reasons: map[string]int{},
			latencies: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
	}
	return r
}

// Add adds the end of one request of a kind that the results were made for.
func (r *Results) Add(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[res.Kind]
	k.Sent++
	k.Sends += res.Sends
	count(&k.Arrived, res.Arrived)
	if res.Reason != "" {
		k.Reasons[res.Reason]++
	}
	if res.NotRun {
		r.notRun = append(r.notRun, res)
	}
	switch res.End {
	case Answered:
		k.Answered++
		k.addGoodput(res)
	case Shed:
		k.Shed++
	case Refused:
		k.Refused++
	case Failed:
		k.Failed++
	case Unknown:
		k.Unknown++
	case Late:
		k.Late++
	}
}

func (k *KindResults) addGoodput(res Result) {
	count(&k.Goodput, res.Done)
	count(&k.ArrivedAnswered, res.Arrived)
	if res.Straggler {
		// Latencies are those of ordinary work, so that they show what stragglers do to it.
		return
	}
	// A latency beyond the histogram's range cannot occur, since a caller's timeout is far shorter.
	_ = k.latencies.RecordValue(max(1, res.Latency.Microseconds()))
}

// count adds one to the bucket of a time.
func count(buckets *[]int, at time.Duration) {
	i := int(at / BucketWidth)
	for len(*buckets) <= i {
		*buckets = append(*buckets, 0)
	}
	(*buckets)[i]++
}

// sum adds up the buckets between two times.
func sum(buckets []int, from, to time.Duration) int {
	n := 0
	for i := int(from / BucketWidth); i < int(to/BucketWidth) && i < len(buckets); i++ {
		n += buckets[i]
	}
	return n
}

// Kinds returns the results by kind.
func (r *Results) Kinds() []*KindResults {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*KindResults
	for _, name := range r.order {
		all = append(all, r.kinds[name])
	}
	return all
}

// Kind returns the results of one kind, or nil when there is none with that name.
func (r *Results) Kind(name string) *KindResults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kinds[name]
}

// NotRun returns the results of requests of which every send was refused as "not run".
func (r *Results) NotRun() []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.notRun)
}

// Goodput returns the answered requests a second of all kinds between two times after the start.
func (r *Results) Goodput(from, to time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, k := range r.kinds {
		n += sum(k.Goodput, from, to)
	}
	return float64(n) / (to - from).Seconds()
}

// AnsweredShare returns the share of the requests that arrived between two times which were answered, 1 when none
// arrived. Unlike the goodput, it does not vary with the randomness of arrivals.
func (r *Results) AnsweredShare(from, to time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	arrived, answered := 0, 0
	for _, k := range r.kinds {
		arrived += sum(k.Arrived, from, to)
		answered += sum(k.ArrivedAnswered, from, to)
	}
	if arrived == 0 {
		return 1
	}
	return float64(answered) / float64(arrived)
}
