// Package link multiplexes calls between nodes over TCP connections. A call survives the loss of its connection, and the
// receiver runs it at most once, however often it is sent.
//
// A sender numbers its calls. When a connection is lost or unresponsive, the sender opens another one and resends the
// unanswered calls under the same numbers. The receiver deduplicates by the sender's incarnation and the call number: it
// attaches a resent call to the running one, or resends the stored answer. A receiver that has restarted since has no
// record of these calls; the sender then reports that they may have run.
//
// Lock order: Transport.mu, then Peer.mu or session.mu, then conn.mu.
package link
