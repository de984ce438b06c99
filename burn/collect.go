package burn

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"lovagelane/kernel"
)

const (
	// Path is where a node's admin listener serves its counts.
	Path = "/burn"
	// collectWorkers bounds the nodes that are asked at the same moment.
	collectWorkers = 16
	// collectTimeout is the time that one node has to answer.
	collectTimeout = 5 * time.Second
	// maxAnswer bounds the answer of one node in bytes; 512 full series with small counts take 3.3 MB.
	maxAnswer = 16 << 20
)

// Collect asks the nodes at the addresses (host:port or URL) for their counts and returns the report, with one error
// for each node that did not answer.
func Collect(ctx context.Context, addresses []string) (Report, []error) {
	transport := &http.Transport{DisableKeepAlives: true}
	s, failed := CollectWith(ctx, &http.Client{Transport: transport}, addresses)
	return NewReport(s, time.Now()), failed
}

// CollectWith asks the nodes with the client, which may have its own TLS settings.
func CollectWith(ctx context.Context, client *http.Client, addresses []string) (Snapshot, []error) {
	addresses = slices.Clone(addresses)
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	var (
		mu     sync.Mutex
		parts  []Snapshot
		failed []error
		seen   = kernel.Set[string]{}
	)
	pool := kernel.NewPool(collectWorkers, len(addresses))
	for _, address := range addresses {
		pool.Submit(func() {
			s, err := fetch(ctx, client, address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = append(failed,
					fmt.Errorf("%s: %w: check that the node runs and its admin listener can be reached", address, err))
				s = Snapshot{Missing: []Missing{{Address: address, Problem: err.Error()}}}
			} else if id := s.Nodes[0].ID; seen.Has(id) {
				return // the node has two addresses in the list
			} else {
				seen[id] = struct{}{}
			}
			// Merging as answers arrive keeps few of them in memory.
			if parts = append(parts, s); len(parts) == collectWorkers {
				parts = []Snapshot{Merge(parts...)}
			}
		})
	}
	pool.Stop()
	return Merge(parts...), failed
}

func fetch(ctx context.Context, client *http.Client, address string) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	url := address
	if !strings.Contains(url, "://") {
		url = "http://" + url
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(url, "/")+Path, nil)
	if err != nil {
		return Snapshot{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return Snapshot{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Snapshot{}, fmt.Errorf("answered %s", resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return Snapshot{}, err
	}
	if len(text) > maxAnswer {
		return Snapshot{}, fmt.Errorf("the answer exceeds %d bytes", maxAnswer)
	}
	var s Snapshot
	if err := json.Unmarshal(text, &s); err != nil {
		return Snapshot{}, fmt.Errorf("malformed answer: %w", err)
	}
	if len(s.Nodes) != 1 {
		return Snapshot{}, fmt.Errorf("the answer is of %d nodes instead of one", len(s.Nodes))
	}
	s.Nodes[0].Address = address
	return s, nil
}
