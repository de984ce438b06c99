// Package fleet reaches the nodes of a deployment with an operator's key, for the operator's commands.
package fleet
