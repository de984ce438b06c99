package event

import (
	"encoding/json"
	"sync"
)

const (
	// maxRankedKeys bounds the keys with counters of their own. The counters of all others are summed up.
	maxRankedKeys = 128
	// maxKeyCounters bounds the counters of a key. What exceeds it is counted in the counter other.
	maxKeyCounters = 32
	// otherKey is the key, and the counter, that sums up the rest.
	otherKey = "other"
)

// Ranking holds counters by key, where there may be more keys than can be kept apart: those with most counts have counters of
// their own, and the counters of a key that is replaced are added to the key other. Its zero value is ready to use.
type Ranking struct {
	mu   sync.Mutex
	keys map[string]*ranked
	rest map[string]int64
}

// ranked holds the counters of a key. Its weight is the number of counts, beginning with those of the key that it replaced, so
// that a key that is new and frequent isn't replaced at once.
type ranked struct {
	weight   int64
	counters map[string]int64
}

// Add adds n to a counter of a key.
func (r *Ranking) Add(key, counter string, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.keys == nil {
		r.keys, r.rest = map[string]*ranked{}, map[string]int64{}
	}
	k := r.keys[key]
	if k == nil {
		k = &ranked{weight: r.makeRoom(), counters: map[string]int64{}}
		r.keys[key] = k
	}
	k.weight++
	add(k.counters, counter, n)
}

// makeRoom replaces the key with the fewest counts if there are too many, and returns the weight that a new one begins with.
func (r *Ranking) makeRoom() int64 {
	if len(r.keys) < maxRankedKeys {
		return 0
	}
	least := ""
	for key, k := range r.keys {
		if least == "" || k.weight < r.keys[least].weight {
			least = key
		}
	}
	replaced := r.keys[least]
	delete(r.keys, least)
	for counter, n := range replaced.counters {
		add(r.rest, counter, n)
	}
	return replaced.weight
}

func add(counters map[string]int64, counter string, n int64) {
	if _, ok := counters[counter]; !ok && len(counters) >= maxKeyCounters {
		counter = otherKey
	}
	counters[counter] += n
}

// Counters returns the counters of the keys that have their own, and of the key other if keys were replaced.
func (r *Ranking) Counters() map[string]map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make(map[string]map[string]int64, len(r.keys)+1)
	for key, k := range r.keys {
		counters := all[key]
		if counters == nil {
			counters = make(map[string]int64, len(k.counters))
			all[key] = counters
		}
		for counter, n := range k.counters {
			counters[counter] += n
		}
	}
	if len(r.rest) > 0 {
		counters := all[otherKey]
		if counters == nil {
			counters = make(map[string]int64, len(r.rest))
			all[otherKey] = counters
		}
		for counter, n := range r.rest {
			counters[counter] += n
		}
	}
	return all
}

// String returns the counters as JSON.
func (r *Ranking) String() string {
	b, err := json.Marshal(r.Counters())
	if err != nil {
		panic(err) // A map of maps of numbers can be encoded.
	}
	return string(b)
}
