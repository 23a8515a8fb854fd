package policy

import "time"

// DataCentreLoad is what an entry VM knows of the engines of one data centre that serve one model.
type DataCentreLoad struct {
	DataCentre string
	Engines    int           // that accept work
	Wait       float64       // seconds until a new request gets its turn, on average over the engines
	Age        time.Duration // of the newest report of load at these engines
	// Heard is set if any entry VM of the data centre has been heard from recently. Without it the load there is unknown.
	Heard bool
}

// SpillReason is the reason why a request goes to another data centre.
type SpillReason int

// Reasons for sending a request to another data centre.
const (
	SpillNone     SpillReason = iota
	SpillShortage             // the own data centre's engines are too few
	SpillPrefix               // the prompt's prefix is cached there
	SpillOnly                 // no engine of the own data centre can take the request
)

// SpillOffer compares the best engines of two data centres for one request. Scores are expected times in seconds.
type SpillOffer struct {
	To          string
	Here, There float64
	KVBytes     float64 // KV cache that has to be fetched from another data centre
	Prefix      bool    // more of the prompt's prefix is cached there than here
	Only        bool    // no engine here can take the request
}

// Spill decides which requests go to engines of another data centre.
type Spill interface {
	// Plan sets the shares of the own data centre's demand for a model that may go to each other one. All entry VMs of a data
	// centre get about the same loads, and so about the same shares. alone is set if no other entry VM is heard from.
	Plan(now time.Duration, model, here string, loads []DataCentreLoad, alone bool)
	// Target returns the data centre to which the shares assign r, or "". It is the same for each call while the shares stay
	// the same.
	Target(r *Request) string
	// Charge returns what it costs to send r there, in seconds.
	Charge(r *Request, kvBytes float64) float64
	// Goes returns the reason for which r goes to o.To, or SpillNone.
	Goes(r *Request, o SpillOffer) SpillReason
	// Sent records a request that was sent to another data centre.
	Sent(r *Request, from, to string, reason SpillReason)
}
