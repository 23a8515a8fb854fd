package capacity

// The full size that the design targets, from docs/design.md section 1.8.
const (
	FullNodes          = 2200
	FullServers        = 10000
	FullAccelerators   = 80000
	FullModels         = 4
	FullRequestsPerS   = 45000.0
	FullTokensPerS     = 16e6
	FullAccounts       = 15000
	FullRegions        = 3
	FullDataCentres    = 9
	FullChangesPerDay  = 6800
	FullVMFailsPerDay  = 140
	FullRestartsPerDay = 1800
	FullPromptKVBytes  = 22e12 // bytes of KV cache of the prompts of one second
	fullPrefillShare   = 0.23  // of the engines' time
)

// The limits of control work on one node and of the store.
const (
	LimitCoreShare       = 0.029
	LimitMemoryBytes     = 256 << 20
	LimitBytesPerS       = 4 << 10
	LimitConfigInForceS  = 13.0
	LimitStoreWritesPerS = 500.0 // the requirement is "several hundred"
	LimitStoreReadsPerS  = 2000.0
)

// Bounds on the upstreams and the polls of one entry VM: the defaults of the settings upstreams.subset and upstreams.polls_per_s.
const (
	maxUpstreams = FullModels * 64
	maxPollsPerS = 64.0
)
