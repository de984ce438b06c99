package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	pollInterval   = 20 * time.Millisecond
	requestTimeout = 5 * time.Second
)

// client keeps no connections, since the processes that it asks are killed and frozen.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}

// exchange sends in as JSON, unless it is nil, and reads the answer into out, unless that is nil.
func exchange(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return Error.Wrap(err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return Error.Wrap(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return Error.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return Error.New("%s %s: status %d: %s", method, url, resp.StatusCode, bytes.TrimSpace(b))
	}
	if out == nil {
		return nil
	}
	return Error.Wrap(json.Unmarshal(b, out))
}

// Until polls f until it returns nil, and returns its last error when ctx ends first.
func Until(ctx context.Context, what string, f func(context.Context) error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := f(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.New("%s: %v", what, err)
		case <-ticker.C:
		}
	}
}
