// Command lovagelane is the node and the operator's commands.
package main

import (
	"fmt"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "lovagelane: no command yet")
	os.Exit(2)
}
