// Package fleet is the client with which the operator's commands query and control the nodes of a deployment.
package fleet
