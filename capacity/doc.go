// Package capacity learns at which concurrency a backend server does the most work, and how long a call of a route takes
// there now. It does no I/O and takes the time as an argument. docs/design/learned-capacity.md has the reasons.
package capacity
