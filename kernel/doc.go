// Package kernel holds what every other package builds on: the clock, the group that starts goroutines, worker pools,
// the registry of plug-ins, seeded randomness and small generic value types.
package kernel
