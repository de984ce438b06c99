package control

import (
	"context"

	"lovagelane/event"
	"lovagelane/inventory"
	"lovagelane/kernel"
	"lovagelane/keys"
	"lovagelane/membership"
	"lovagelane/quarantine"
)

// Options are what a Control needs from its node.
type Options struct {
	Self    membership.Member
	Listen  string
	Seeds   []string
	Store   string
	Keyring *keys.Keyring
	Clock   kernel.Clock
	Rand    *kernel.Rand
	Log     *event.Log
	Metrics *event.Metrics
	// OnMembers is called after the view changed, with all members but the own one.
	OnMembers func([]membership.Member)
	// OnConfig is called when a configuration takes force; versions only grow.
	OnConfig func(*inventory.Config)
	// OnCrash is called for each new crash report of another node.
	OnCrash func(quarantine.Report)
}

// Control is the running control part of a node.
type Control struct{}

// Start listens, joins by seeds and store, and keeps running until Stop or the end of ctx.
func Start(ctx context.Context, o Options) (*Control, error) { return &Control{}, nil }

// Address returns the UDP address in use.
func (c *Control) Address() string { return "" }

// Members returns the members of the current view without the own one.
func (c *Control) Members() []membership.Member { return nil }

// SetState announces a new state of the own member.
func (c *Control) SetState(s membership.State) {}

// SpreadCrash sends crash reports to all nodes.
func (c *Control) SpreadCrash(reports []quarantine.Report) {}

// PollStore looks for a new configuration now instead of at the next poll.
func (c *Control) PollStore() {}

// Stop announces StateLeft when the node has drained, closes the connections and waits.
func (c *Control) Stop() error { return nil }
