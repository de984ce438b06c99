// Package kernel provides the base types of the other packages: clocks, goroutine groups, worker pools, the plug-in
// registry, a seeded random source and small generic containers.
package kernel
