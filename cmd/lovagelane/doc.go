// Command lovagelane runs a node, a mesh node or one of the operators' commands.
package main
