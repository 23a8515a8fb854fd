package policy

import "time"

// ServerKind is a kind of servers that the platform offers at different prices.
type ServerKind int

// The kinds of servers.
const (
	OnDemand    ServerKind = iota
	Preemptible            // cheap, but the platform may take all of a data centre away at once
	ServerKinds            // number of kinds
)

// String returns the kind's name in log lines and metrics.
func (k ServerKind) String() string {
	if k == Preemptible {
		return "preemptible"
	}
	return "on_demand"
}

// Servers are the servers of one kind that a service has in a data centre.
type Servers struct {
	Serving  int // without those that leave
	Starting int // ordered and not registered yet
	Leaving  int
	Price    float64 // of a server-second
	// UnavailableUntil is the time until which no more can be had.
	UnavailableUntil time.Duration
}

// Present returns the number of servers that serve or will.
func (s *Servers) Present() int { return s.Serving + s.Starting }

// ServersAt are the servers of a service in one data centre.
type ServersAt struct {
	DataCentre string
	Kinds      [ServerKinds]Servers
}

// DemandSample is the work of a service at one time, as the number of servers of mean speed that it keeps fully busy.
type DemandSample struct {
	At      time.Duration
	Servers float64
}

// ScalingState is a scaler's view of a service.
type ScalingState struct {
	Min, Max    int // servers in each data centre, both kinds together
	Startup     time.Duration
	DataCentres []ServersAt    // in the same order in each call
	Demand      []DemandSample // oldest first
	// Total is the last plan's total of an earlier holder; 0: unknown. While it replaces servers, more are there.
	Total int
}

// ServerCounts are numbers of servers by data centre, in the order of ScalingState.DataCentres, and kind.
type ServerCounts [][ServerKinds]int

// ScalingPlan is a scaler's decision.
type ScalingPlan struct {
	Desired ServerCounts
	Total   int     // servers when the plan is carried out
	Need    float64 // work for which the plan has capacity, in servers of mean speed
	Reason  string  // in a few words
}

// Scaler decides how many servers of a service are ordered. One instance decides for one service.
type Scaler interface {
	Plan(now time.Duration, s *ScalingState) ScalingPlan
}
