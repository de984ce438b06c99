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

// client does not reuse connections, since the processes that it sends requests to are killed and frozen.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}

// exchangeJSON sends in as JSON unless it is nil, and decodes the response into out unless that is nil.
func exchangeJSON(ctx context.Context, method, url string, in, out any) error {
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

// processExitedError reports that a process has exited, so that polling it cannot succeed.
type processExitedError struct{ process, log string }

func (e processExitedError) Error() string {
	return "process " + e.process + " has exited, see " + e.log
}

// PollUntil polls f until it returns nil. It returns the last error of f if ctx is done first or a process has exited.
func PollUntil(ctx context.Context, what string, f func(context.Context) error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var lastErr error
	for {
		err := f(ctx)
		if err == nil {
			return nil
		}
		if lastErr == nil || ctx.Err() == nil {
			// If ctx interrupted this poll, the error of the previous poll is kept, since it names the unmet condition.
			lastErr = err
		}
		var exited processExitedError
		if errors.As(err, &exited) {
			return Error.Wrap(err)
		}
		select {
		case <-ctx.Done():
			return Error.New("%s: %v", what, lastErr)
		case <-ticker.C:
		}
	}
}
