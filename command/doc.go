// Package command implements the lovagelane command line. Each command has its own file and registers itself in Commands
// from an init function; check.go is the simplest example.
package command
