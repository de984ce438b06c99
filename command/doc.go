// Package command is lovagelane's command line. Each command has a file of its own and adds itself to Commands from an
// init function; see check.go for the shape.
package command
