// Command lovagelane runs a node or one of the operators' commands.
package main
