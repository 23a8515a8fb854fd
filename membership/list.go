// Package membership maintains the table of entry VMs on each entry VM.
//
// It is a SWIM-type protocol: in each period a VM probes one other member, and updates are piggybacked on the probes,
// so that the cost of a VM does not grow with the fleet. A member that can't be reached is uncertain, not gone.
//
// Invariants: a member is declared gone only by itself, or after a long silence that the platform's list does not
// contradict; only a member itself raises its incarnation; every message, table and queue is bounded.
package membership

import "time"

// State is the state of a member as one VM sees it.
type State int

// The states of a member.
const (
	Alive     State = iota
	Uncertain       // unreachable; may be partitioned, paused or dead
	Leaving         // shutting down gracefully; takes no new work
	Gone            // ended, or unreachable for long and not in the platform's list
)

func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Uncertain:
		return "uncertain"
	case Leaving:
		return "leaving"
	default:
		return "gone"
	}
}

// Member is an entry VM.
type Member struct {
	Name           string
	Boot           uint64 // incarnation at the start of the process; the same until the process ends
	Incarnation    uint64 // grows with each start of the process and each refutation
	Address        string // host:port for heartbeats (UDP)
	PeerAddress    string // host:port of the peer service
	CallerAddress  string // host:port of the caller listener
	DataCentre     string
	Cores          int
	State          State
	Suspect        bool   // has missed a probe and not refuted yet; State is still Alive
	ConfigRevision uint64 // highest revision known to be in force on the member
	Since          time.Time
}

// Event is an application event that is piggybacked on heartbeats, for example a leaving mark of an upstream.
type Event struct {
	Kind    string // registered by the package that uses it, for example "upstream_leaving"
	Origin  string // name of the member that sent it
	Payload []byte // at most MaxEventBytes
}

// MaxEventBytes bounds an event's payload, so that it fits into a heartbeat beside membership updates.
const MaxEventBytes = 256

// List is the membership as one entry VM sees it.
type List interface {
	Self() Member
	// Members returns a copy of the table without Gone members, sorted by name, with this VM in it.
	Members() []Member
	// Subscribe calls f with each changed member, in order, from one goroutine, until cancel is called.
	Subscribe(f func(Member)) (cancel func())
	// Broadcast sends an event to all members, each at least once with high probability, within seconds.
	Broadcast(kind string, payload []byte) error
	// Handle registers the receiver of a kind of event. A receiver gets each event once and must not block.
	Handle(kind string, f func(Event))
}
