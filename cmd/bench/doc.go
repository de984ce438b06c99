// Command bench compares a deployment of real processes on loopback with the design targets and with baselines.
package main
