// Package settings parses and validates the settings of one process: its addresses, availability zone, keys, seeds and store.
//
//	[node]
//	service = nursery
//	availability-zone = rn-1
//	backend-server = 127.0.0.1:8080
//	callers-listen = 10.1.0.5:7000
//	backend-listen = 127.0.0.1:7001
//	calls-listen = 10.1.0.5:7002
//	control-listen = 10.1.0.5:7003
//	admin-listen = 127.0.0.1:7004
//	seeds = 10.1.0.6:7003, 10.2.0.5:7003
//	store = http://10.1.0.2:8000
//
//	[keys]
//	certificate = node.pem
//	key = node-key.pem
//	authority = authority.pem
//	ticket-key = ticket-key
//
// admin-listen and seeds are optional. An optional section [baselines] with limiter, policy and retries selects other
// plug-ins for baseline measurements.
//
// A node whose deployment uses its own protocols has a single section [mesh] instead; see Mesh.
package settings
