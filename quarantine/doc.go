// Package quarantine recognises requests that crash the backend servers that run them. It does no I/O.
package quarantine
