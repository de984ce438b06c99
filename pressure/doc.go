// Package pressure keeps, at the node where a request enters, the admission levels learned from answers and the fair
// shares of callers. It does no I/O.
package pressure
