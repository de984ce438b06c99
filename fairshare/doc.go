// Package fairshare divides room that is too small among accounts, max-min fair and by work. Level is the division itself, and
// Usage tells which part of the demand of an account is beyond its share. The package does no I/O.
package fairshare
