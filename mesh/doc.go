// Package mesh implements a sidecar node for deployments whose requests carry an id and a deadline, whose backend servers
// send heartbeats to the node beside them, and whose nodes discover each other through the operators' store.
//
// A request enters at the node of its caller. That node matches the route, selects a backend server by load and place, and
// sends the call to the node beside that backend server. Only the receiving node decides what its backend server runs:
// admission control and the queue are there. A call that it refuses because it has no capacity or no backend server goes to
// another node. A call that was sent to a backend server and was rejected or lost is repeated only within the retry budget;
// a repeat is a retry on another backend server.
//
// Nodes exchange the directory, the configuration and crash reports by gossip, so that they also work while the store is
// unavailable. A Deployment translates between the deployment's protocols and this package; implementations register
// themselves in Deployments.
//
// Lock order: the locks of package link, then Node.mu. Package link calls Node.Status while a Peer is locked, so Node.mu must
// not be held during a call to package link. No lock is held during I/O.
package mesh
