package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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

// endedError says that a process ended, so that waiting for it is no use.
type endedError struct{ process, log string }

func (e endedError) Error() string {
	return "process " + e.process + " has ended, see " + e.log
}

// Until polls f until it returns nil, and returns its last error when ctx ends first or a process has ended.
func Until(ctx context.Context, what string, f func(context.Context) error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var last error
	for {
		err := f(ctx)
		if err == nil {
			return nil
		}
		if last == nil || ctx.Err() == nil {
			// A poll that the end of ctx cut off says nothing about what is awaited.
			last = err
		}
		var ended endedError
		if errors.As(err, &ended) {
			return Error.Wrap(err)
		}
		select {
		case <-ctx.Done():
			return Error.New("%s: %v", what, last)
		case <-ticker.C:
		}
	}
}
