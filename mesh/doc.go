// Package mesh runs the node beside a backend server in a deployment whose requests carry their own ids and deadlines,
// whose backend servers announce themselves, and whose nodes find each other through the operators' store.
//
// A request enters at the node of its caller. That node matches the route, chooses a backend server and sends the call to
// the node beside it, which alone decides what its backend server runs. A call that was not run goes to another node. What
// the deployment calls things on the wire is up to a Deployment, which registers itself.
//
// Lock order: Node.mu, then the locks of package link. A lock is never held over I/O.
package mesh
