// Package tablestore is the client of the platform's table service and object store.
package tablestore
