package control

import (
	"crypto/tls"
	"time"

	"lovagelane/keys"
	"lovagelane/membership"
	"lovagelane/tablestore"
)

const protocol = "lovagelane-control/1"

// tlsSource is the part of keys.Keyring that control needs.
type tlsSource interface {
	Server(protocols ...string) *tls.Config
	Client(protocols ...string) *tls.Config
}

// nodesOnly is a keyring whose servers refuse operators' keys, because a control peer may change the view of all nodes.
type nodesOnly struct{ *keys.Keyring }

// Server returns the TLS settings of the keyring with the check of the role.
func (n nodesOnly) Server(protocols ...string) *tls.Config {
	c := n.Keyring.Server(protocols...)
	verify := c.VerifyConnection
	c.VerifyConnection = func(s tls.ConnectionState) error {
		if err := verify(s); err != nil {
			return err
		}
		if role, err := keys.PeerRole(s); err != nil || role != keys.RoleNode {
			return keys.Refused.New("a control peer with the role %q: start it with a node's key", role)
		}
		return nil
	}
	return c
}

// tuning holds the intervals and bounds, so that tests can run faster than operation.
type tuning struct {
	heartbeat time.Duration
	silence   time.Duration
	dial      time.Duration
	flood     time.Duration
	digest    time.Duration
	suspicion time.Duration
	tombstone time.Duration
	renew     time.Duration
	lease     time.Duration
	// gather is the longest time that a change of the own state waits before it is written to the store, for other changes
	// and so that nodes which start together do not write together.
	gather time.Duration
	list   time.Duration
	// listRare is the time between two listings of a node that hears of changes from its peers.
	listRare   time.Duration
	poll       time.Duration
	seedRetry  time.Duration
	seedCheck  time.Duration
	backoffMin time.Duration
	backoffMax time.Duration
	// dialGap is the time between two dials of this node.
	dialGap time.Duration
	// stable is the age at which a connection counts as good, so that the back-off starts again.
	stable     time.Duration
	storeWait  time.Duration
	stopWait   time.Duration
	refuteGap  time.Duration
	pullWait   time.Duration
	maxInbound int
	tls        tlsSource
	// store replaces the HTTP client in tests.
	store tablestore.Store
}

func defaultTuning() tuning {
	return tuning{
		heartbeat:  time.Second,
		silence:    3 * time.Second,
		dial:       2 * time.Second,
		flood:      100 * time.Millisecond,
		digest:     10 * time.Second,
		suspicion:  membership.SuspicionTimeout,
		tombstone:  membership.TombstoneRetention,
		renew:      30 * time.Second,
		lease:      120 * time.Second,
		gather:     2 * time.Second,
		list:       time.Minute,
		listRare:   15 * time.Minute,
		poll:       8 * time.Second,
		seedRetry:  200 * time.Millisecond,
		seedCheck:  30 * time.Second,
		backoffMin: 100 * time.Millisecond,
		backoffMax: 5 * time.Second,
		dialGap:    100 * time.Millisecond,
		stable:     10 * time.Second,
		storeWait:  3 * time.Second,
		stopWait:   time.Second,
		refuteGap:  500 * time.Millisecond,
		pullWait:   2 * time.Second,
		maxInbound: 64,
	}
}

const (
	jitter = 0.3
	// queuedFrames bounds what waits for one slow peer; a peer that lags further is disconnected and catches up later.
	queuedFrames = 512
	// askedPeers is the number of peers that a node without configuration asks at a time.
	askedPeers = 5
	// lapsedLeases is the age, in leases, at which a row is deleted; a paused node writes its row again when it resumes.
	lapsedLeases = 30
	// lapsedRows bounds how many rows a starting node deletes.
	lapsedRows = 8
	// recentCrashes fit one frame.
	recentCrashes = reportsPerFrame
	// recentSpan is the time for which a request stays quarantined.
	recentSpan = 10 * time.Minute
	// seenCrashes bounds the memory of crash reports that were already passed on.
	seenCrashes = 8192
)
