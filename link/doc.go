// Package link carries calls between nodes over TCP: many calls share a connection, a call that was sent survives the loss
// of its connection, and the receiver runs it once however often it is sent.
//
// A sender numbers its calls. When a connection is lost or silent, the sender opens another one and sends the calls that
// have no answer again under their numbers. The receiver knows the numbers of each start of a sender: it attaches a
// repeated call to the running one, or repeats the kept answer. Only a receiver that has started anew since knows nothing
// of them; then the sender is told that they may have run.
//
// Lock order: Transport.mu, then Peer.mu or session.mu, then conn.mu.
package link
