package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// BucketWidth is the width of the time buckets in which arrivals and answered requests are counted.
	BucketWidth = 100 * time.Millisecond

	maxLatency                = 10 * time.Minute
	latencySignificantFigures = 3
	reasonShed                = "shed"
	reasonQueueFull           = "queue-full"
)

// Outcome is the result of a request from the caller's point of view.
type Outcome int

const (
	// Answered means that the complete answer arrived within the timeout.
	Answered Outcome = iota
	// Shed means that the request was refused because of overload.
	Shed
	// Refused means that the request was refused for another reason.
	Refused
	// Failed means that the request ran and was answered with an error.
	Failed
	// Unknown means that the request may or may not have run.
	Unknown
	// TimedOut means that no answer arrived within the caller's timeout.
	TimedOut
)

// Result is the result of one request, including its resends.
type Result struct {
	Kind    string
	Request string
	Outcome Outcome
	Reason  string
	// NotRun is set if every send of the request was refused with the outcome "not-run".
	NotRun bool
	// Straggler is set if the answered call was randomly selected to take longer.
	Straggler bool
	// Sends counts the sends, except those that only obtained a ticket.
	Sends   int
	Latency time.Duration
	// Arrived and Done are the times, relative to the start of the load, at which the request arrived and finished.
	Arrived, Done time.Duration
}

// KindResults aggregates the results of one kind of request.
type KindResults struct {
	Kind     string         `json:"kind"`
	Sent     int            `json:"sent"`
	Answered int            `json:"answered"`
	Shed     int            `json:"shed"`
	Refused  int            `json:"refused"`
	Failed   int            `json:"failed"`
	Unknown  int            `json:"unknown"`
	TimedOut int            `json:"late"`
	Sends    int            `json:"sends"`
	Reasons  map[string]int `json:"reasons"`
	// Goodput counts answered requests per bucket of their completion time.
	Goodput []int `json:"goodput"`
	// Arrived and ArrivedAnswered count all requests and the answered ones per bucket of their arrival time.
	Arrived         []int `json:"arrived"`
	ArrivedAnswered []int `json:"arrived-answered"`

	latencies *hdrhistogram.Histogram
}

// Quantile returns the q-th percentile, with q in [0, 100], of the latency of answered requests that are not stragglers.
func (k *KindResults) Quantile(q float64) time.Duration {
	if k.latencies == nil {
		return 0
	}
	return time.Duration(k.latencies.ValueAtQuantile(q)) * time.Microsecond
}

// AnsweredShare returns the fraction of the sent requests that were answered, or 0 if none was sent.
func (k *KindResults) AnsweredShare() float64 {
	if k.Sent == 0 {
		return 0
	}
	return float64(k.Answered) / float64(k.Sent)
}

// Results aggregates the results of a load by kind.
type Results struct {
	mu    sync.Mutex
	kinds map[string]*KindResults
	order []string
	// notRun holds the results of requests whose sends were all refused with the outcome "not-run".
	notRun []Result
}

// NewResults returns empty results for the given kinds, in this order.
func NewResults(kinds []string) *Results {
	r := &Results{kinds: map[string]*KindResults{}}
	for _, k := range kinds {
		if r.kinds[k] != nil {
			continue
		}
		r.order = append(r.order, k)
		r.kinds[k] = &KindResults{Kind: k, Reasons: map[string]int{},
			latencies: hdrhistogram.New(1, maxLatency.Microseconds(), latencySignificantFigures)}
	}
	return r
}

// Add adds the result of one request. Its kind must be one of those given to NewResults.
func (r *Results) Add(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[res.Kind]
	k.Sent++
	k.Sends += res.Sends
	incrementBucket(&k.Arrived, res.Arrived)
	if res.Reason != "" {
		k.Reasons[res.Reason]++
	}
	if res.NotRun {
		r.notRun = append(r.notRun, res)
	}
	switch res.Outcome {
	case Answered:
		k.Answered++
		k.recordAnswered(res)
	case Shed:
		k.Shed++
	case Refused:
		k.Refused++
	case Failed:
		k.Failed++
	case Unknown:
		k.Unknown++
	case TimedOut:
		k.TimedOut++
	}
}

func (k *KindResults) recordAnswered(res Result) {
	incrementBucket(&k.Goodput, res.Done)
	incrementBucket(&k.ArrivedAnswered, res.Arrived)
	if res.Straggler {
		// The latency histogram excludes stragglers, so that it shows their effect on all other requests.
		return
	}
	// The latency is always within the histogram's range, since the caller's timeout is far shorter than maxLatency.
	_ = k.latencies.RecordValue(max(1, res.Latency.Microseconds()))
}

// incrementBucket increments the bucket that contains at.
func incrementBucket(buckets *[]int, at time.Duration) {
	i := int(at / BucketWidth)
	for len(*buckets) <= i {
		*buckets = append(*buckets, 0)
	}
	(*buckets)[i]++
}

// sumBuckets returns the sum of the buckets between two times.
func sumBuckets(buckets []int, from, to time.Duration) int {
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

// NotRun returns the results of the requests whose sends were all refused with the outcome "not-run".
func (r *Results) NotRun() []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.notRun)
}

// Goodput returns the rate of answered requests per second of all kinds that finished between two times after the start.
func (r *Results) Goodput(from, to time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, k := range r.kinds {
		n += sumBuckets(k.Goodput, from, to)
	}
	return float64(n) / (to - from).Seconds()
}

// AnsweredShare returns the fraction of the requests arriving between two times that were answered, or 1 if none
// arrived. Unlike the goodput, it does not depend on the random number of arrivals.
func (r *Results) AnsweredShare(from, to time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	arrived, answered := 0, 0
	for _, k := range r.kinds {
		arrived += sumBuckets(k.Arrived, from, to)
		answered += sumBuckets(k.ArrivedAnswered, from, to)
	}
	if arrived == 0 {
		return 1
	}
	return float64(answered) / float64(arrived)
}
