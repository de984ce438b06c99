// Package quarantine detects requests that crash the backend servers that run them, and refuses them for a time. It does no
// I/O.
package quarantine
