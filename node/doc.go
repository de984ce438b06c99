// Package node implements the proxy beside one backend server. It accepts requests from callers, balances them over the
// backend servers of their service, applies admission control to calls for its own backend server, and forwards the calls
// that this backend server makes to other services.
//
// Locks are acquired in this order and never held over I/O: flights, gate, choosers, peers, then the small tables
// (ticketOwner, attemptTable, quarantineTable, entryAdmission, resendTracker), each of which is locked alone. The lock of a
// single flight, chooser or peer comes after that of its table, and the lock of the backend after that of choosers.
package node
