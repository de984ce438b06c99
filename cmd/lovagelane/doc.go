// Command lovagelane is the node and the operator's commands.
package main
