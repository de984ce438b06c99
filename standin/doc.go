// Package standin implements stand-ins for the external systems of a deployment: the platform's table service and object
// store, backend servers, and external callers. The product never imports it.
package standin
