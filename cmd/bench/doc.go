// Command bench measures the targets of the design against baselines, on a deployment of real processes on loopback.
package main
