// Command standin runs stand-ins for the platform, backend servers and callers. Tests, the demo and the benchmarks use them
// instead of the external systems.
package main
