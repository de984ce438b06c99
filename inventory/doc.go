// Package inventory parses and validates the operators' inventory and rules files into one immutable configuration, in
// which every setting records the file and line that it came from. It also computes the difference of two configurations.
package inventory
