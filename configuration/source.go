// Package configuration accepts, distributes and holds the versioned configuration.
//
// Invariants: revisions only grow; no process acts on a lower revision after a higher one.
package configuration

import (
	"time"

	"bergamotcroft.example/bergamot/topo"
)

// Freshness states whether an entry VM's configuration is confirmed as the current one.
type Freshness struct {
	Revision        uint64
	ConfirmationAge time.Duration // time since the store or a majority of known members confirmed the revision
	AllowsNewWork   bool          // ConfirmationAge is within the configured limit; new work may be taken
}

// Source provides the configuration in force on this entry VM.
type Source interface {
	// Current returns the configuration in force, or nil before the first one. It must not be changed.
	Current() *topo.Configuration
	// Subscribe calls f with each new configuration, in order, from one goroutine, beginning with the current one.
	// The returned function ends the subscription.
	Subscribe(f func(*topo.Configuration)) (cancel func())
	// Freshness returns how recently the current configuration was confirmed, and whether new work may be taken with it.
	Freshness() Freshness
}
