// Command standin runs the stand-ins that tests, demo and benchmarks use in place of outside systems.
package main
