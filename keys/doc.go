// Package keys loads the TLS keys of a process, reloads them when they change, and issues keys for tests and new
// deployments.
//
// A process has a certificate with the role "node" or "operator" in the subject's organisational unit, the matching
// private key, and the certificates of the authorities that sign all certificates of the deployment. Both ends of a
// connection verify the peer's certificate against those authorities. Host names are not verified, since nodes are
// addressed by IP number.
//
// A replaced instance loses all its data, and a process never writes or requests a key. The platform starts each
// instance with settings that name the certificate, key, authority and ticket key files, and provides these files from
// its own secret store before the process starts.
//
// To rotate a node's key, replace the files and call Reload. To rotate the authority, add the new authority's
// certificate to the authority file of all processes, then replace their certificates and keys, then remove the old
// authority's certificate. Start each step after all processes have reloaded the files of the step before.
package keys
