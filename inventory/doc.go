// Package inventory reads the operators' inventory and rules into one immutable configuration in which every setting
// knows its file and line, checks them, and compares two configurations.
package inventory
