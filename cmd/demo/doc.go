// Command demo runs a small deployment on loopback, overloads it, changes its configuration and checks what must hold.
package main
