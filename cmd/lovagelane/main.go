// Command lovagelane is the node and the operator's commands.
package main

import (
	"os"

	"lovagelane/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], &command.Env{Out: os.Stdout, Err: os.Stderr}))
}
