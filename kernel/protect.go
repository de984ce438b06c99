package kernel

import (
	"fmt"
	"runtime/debug"
)

// Protect calls f and returns a panic in it as an error with the stack. It is meant for parsers of bytes from outside; f must
// not hold a lock.
func Protect(f func() error) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v\n%s", r, debug.Stack())
		}
	}()
	return f()
}
