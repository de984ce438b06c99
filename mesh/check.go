package mesh

import (
	"context"

	"lovagelane/directory"
	"lovagelane/routing"
)

// NodeLimits returns the limits of a node on what callers send, which hold whatever the configuration says.
func NodeLimits() routing.Limits {
	return routing.Limits{BodyBytes: maxBodyBytes, HeaderBytes: maxHeaderBytes, HeaderTimeout: requestReadTimeout,
		IdleTimeout: callerIdleTimeout}
}

// StoredConfig reads the operators' configuration from a store. It reports false if there is none.
func StoredConfig(ctx context.Context, d Deployment) ([]byte, bool, error) {
	table, key := d.ConfigRow()
	rows, _, err := d.Store().List(ctx, table)
	if err != nil {
		return nil, false, err
	}
	for _, row := range rows {
		if row.Key == key {
			return row.Value, true, row.Err
		}
	}
	return nil, false, nil
}

// BackendServers returns the number of backend servers of each service that a store lists. Rows that can't be read count for
// nothing, as they do at a node.
func BackendServers(ctx context.Context, d Deployment) (map[string]int, error) {
	rows, _, err := d.Store().List(ctx, nodesTable)
	if err != nil {
		return nil, err
	}
	counts := map[string]int{}
	for _, row := range rows {
		var node directory.Node
		if row.Err == nil && decode(row.Value, &node) == nil && node.Valid() {
			counts[node.Service]++
		}
	}
	return counts, nil
}
