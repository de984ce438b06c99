// Command demo runs a small deployment on loopback, overloads it, changes its configuration and checks the results.
package main
