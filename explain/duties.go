package explain

// The types in this file are the JSON of the endpoint /explain/duties on the metrics listener of an entry VM.

// PathDuties is the path of the endpoint.
const PathDuties = "/explain/duties"

// Duties are the jobs that one entry VM at a time performs, as one VM knows them.
type Duties struct {
	VM     string `json:"vm"`
	Lease  Lease  `json:"lease"` // one lease covers all duties
	Duties []Duty `json:"duties"`
}

// Lease is what a VM knows of the lease.
type Lease struct {
	Held          bool   `json:"held"`             // by this VM
	Fencing       uint64 `json:"fencing"`          // of the holder
	Holder        string `json:"holder,omitempty"` // as far as is known
	Released      bool   `json:"released,omitempty"`
	StoreFailures int    `json:"store_failures,omitempty"` // consecutive failed calls to the store
}

// Duty is the state of one duty. Times are in milliseconds from the answer on.
type Duty struct {
	Name       string  `json:"name"`    // roles, usage or capacity
	Enabled    bool    `json:"enabled"` // the settings ask for it
	Stepped    bool    `json:"stepped"` // this VM has performed it since its start
	AgeMS      float64 `json:"age_ms"`  // of the last step
	Earlier    bool    `json:"earlier_lease,omitempty"`
	Plans      []Plan  `json:"plans"`
	Unanswered []Call  `json:"unanswered"`
	Blocks     []Block `json:"blocks"` // what prevents sending; empty: nothing does
}

// Plan is what a duty aims at for one subject. Due are the orders that would be sent now if nothing prevented it.
type Plan struct {
	Subject string `json:"subject"`
	Text    string `json:"plan"`
	Reason  string `json:"reason,omitempty"`
	Due     []Call `json:"due"`
}

// Call is an order or a report.
type Call struct {
	Subject string `json:"subject"`
	Text    string `json:"order"`
}

// Block is a reason for which nothing is sent.
type Block struct {
	Subject string  `json:"subject,omitempty"` // empty: all
	Reason  string  `json:"reason"`
	EndsMS  float64 `json:"ends_ms,omitempty"` // 0: not known
}
