// Package node runs beside one backend server: it takes calls from callers, chooses backend servers for them, admits or
// refuses calls to its own backend server, and carries the calls that this backend server makes to other services.
//
// Locks are taken in this order and never held over I/O: flights, gate, choosers, peers, then the small tables (owner,
// attempts, quarantine, levels, shares), each of which is taken alone.
package node
