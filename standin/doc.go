// Package standin implements test doubles for the external systems of a deployment: the platform's table service and
// object store, backend servers, and outside callers. The product never imports it.
package standin
