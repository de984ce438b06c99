package control

import (
	"crypto/tls"
	"time"

	"lovagelane/keys"
	"lovagelane/membership"
	"lovagelane/tablestore"
)

const protocol = "lovagelane-control/1"

// tlsSource provides the TLS settings of both sides of a connection; keys.Keyring implements it.
type tlsSource interface {
	ServerConfig(protocols ...string) *tls.Config
	ClientConfig(protocols ...string) *tls.Config
}

// nodeOnlyKeyring rejects operators' keys on incoming connections, because a control peer can change the view of all nodes.
type nodeOnlyKeyring struct{ *keys.Keyring }

// ServerConfig returns the keyring's server settings with an additional check that the peer has the node role.
func (n nodeOnlyKeyring) ServerConfig(protocols ...string) *tls.Config {
	c := n.Keyring.ServerConfig(protocols...)
	verify := c.VerifyConnection
	c.VerifyConnection = func(s tls.ConnectionState) error {
		if err := verify(s); err != nil {
			return err
		}
		if role, err := keys.PeerRole(s); err != nil || role != keys.RoleNode {
			return keys.PeerRefused.New("a control peer with the role %q: start it with a node's key", role)
		}
		return nil
	}
	return c
}

// tuning holds the intervals, timeouts and limits, which tests shorten.
type tuning struct {
	heartbeatInterval  time.Duration
	silenceTimeout     time.Duration
	dialTimeout        time.Duration
	floodInterval      time.Duration
	digestInterval     time.Duration
	suspicionTimeout   time.Duration
	tombstoneRetention time.Duration
	renewInterval      time.Duration
	leaseDuration      time.Duration
	// maxWriteDelay is the longest delay before a change of this node's state is written to the store. The delay batches
	// further changes and is random, so that nodes that start together do not write at the same time.
	maxWriteDelay time.Duration
	listInterval  time.Duration
	// rareListInterval is the time between two listings by a node that receives changes from its peers.
	rareListInterval  time.Duration
	pollInterval      time.Duration
	seedRetryDelay    time.Duration
	seedCheckInterval time.Duration
	backoffMin        time.Duration
	backoffMax        time.Duration
	// dialInterval is the minimum time between two dials of this node; the pacer adds a random part of up to half of it.
	dialInterval time.Duration
	// stableDuration is how long a connection must last to reset the backoff.
	stableDuration time.Duration
	storeTimeout   time.Duration
	stopTimeout    time.Duration
	refuteInterval time.Duration
	pullTimeout    time.Duration
	maxInbound     int
	tls            tlsSource
	// store replaces the HTTP client in tests.
	store tablestore.Store
}

func defaultTuning() tuning {
	return tuning{
		heartbeatInterval:  time.Second,
		silenceTimeout:     3 * time.Second,
		dialTimeout:        2 * time.Second,
		floodInterval:      100 * time.Millisecond,
		digestInterval:     10 * time.Second,
		suspicionTimeout:   membership.SuspicionTimeout,
		tombstoneRetention: membership.TombstoneRetention,
		renewInterval:      30 * time.Second,
		leaseDuration:      120 * time.Second,
		maxWriteDelay:      2 * time.Second,
		listInterval:       time.Minute,
		rareListInterval:   15 * time.Minute,
		pollInterval:       8 * time.Second,
		seedRetryDelay:     200 * time.Millisecond,
		seedCheckInterval:  30 * time.Second,
		backoffMin:         100 * time.Millisecond,
		backoffMax:         5 * time.Second,
		dialInterval:       100 * time.Millisecond,
		stableDuration:     10 * time.Second,
		storeTimeout:       3 * time.Second,
		stopTimeout:        time.Second,
		refuteInterval:     500 * time.Millisecond,
		pullTimeout:        2 * time.Second,
		maxInbound:         64,
	}
}

const (
	jitterFraction = 0.3
	// maxQueuedFrames bounds the send queue of a peer. A peer that falls further behind is disconnected and syncs on reconnect.
	maxQueuedFrames = 512
	// maxBootstrapPeers bounds the peers that a node without a configuration queries at the same time.
	maxBootstrapPeers = 5
	// expiredRowLeases is the age, in lease durations, after which a row is deleted. A frozen node rewrites its row on resume.
	expiredRowLeases = 30
	// maxExpiredRowDeletes bounds the rows that a node deletes when it reads the whole table.
	maxExpiredRowDeletes = 8
	// maxRecentCrashes is limited so that the reports fit into one frame.
	maxRecentCrashes = reportsPerFrame
	// recentCrashRetention matches the time for which a request stays quarantined.
	recentCrashRetention = 10 * time.Minute
	// maxSeenCrashes bounds the set of crash reports that were already forwarded.
	maxSeenCrashes = 8192
)
