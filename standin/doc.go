// Package standin holds small stand-ins for what surrounds the product: the platform's table service and object store,
// backend servers, and outside callers. The product never imports it.
package standin
