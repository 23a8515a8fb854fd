package capacity

import (
	"math"
	"time"

	"bergamotcroft.example/bergamot/addresses"
	"bergamotcroft.example/bergamot/lease"
	"bergamotcroft.example/bergamot/policy"
)

// Figure is a cost at the full size.
type Figure struct {
	Role, Name string
	Value      float64
	Unit       string
	Limit      float64 // 0: no limit
	Derivation string  // the formula or the source of the value
}

// Defaults, and assumptions about callers, which are named in the settings or in docs/notes.
const (
	pollsPerS         = 2   // settings upstreams.report_every, 500 ms
	ticksPerS         = 50  // the gateway ticks the scheduler every 20 ms
	treeFanOut        = 4   // of the configuration's tree in a data centre
	confirmsPerS      = 0.2 // the store's head is confirmed every 5 s
	clientsPerAccount = 10  // of an account, docs/notes/addresses.md
	vmEntryBytes      = 100 // of one VM in the platform's list, package discovery
	vmListReadsPerS   = 1 / 300.0
	callerSeriesBound = 200 // settings gateway.caller_series
	scrapesPerS       = 1 / 15.0
	claimWritesBound  = 400.0 // 8 shards, each one write in 20 ms
	claimShards       = 8
	bookingShare      = 0.01 // of the requests, an assumption: the design page states no share
	retentionS        = secondsPerDay
	meanHeadBytes     = 64 << 10 // a shard's head is sealed at 128 KB, package claims
)

// computeFigures computes the costs at the full size, role by role.
func computeFigures(c *costs, r Recorded) ([]Figure, Sum) {
	var out []Figure
	add := func(role, name string, value float64, unit string, limit float64, how string) {
		out = append(out, Figure{role, name, value, unit, limit, how})
	}
	requests, tokens := FullRequestsPerS/FullNodes, FullTokensPerS/FullNodes
	var sum Sum

	role := "serving"
	add(role, "requests at a node", requests, "requests/s", 0, "45,000 / 2,200")
	add(role, "tokens relayed by a node", tokens, "tokens/s", 0, "16 million / 2,200")
	relayCPU := tokens * (c.slope(role, "relayed_tokens_cpu") - c.slope(role, "direct_tokens_cpu"))
	add(role, "relay of tokens that come together, processor (traffic, no control)", relayCPU, "cores", 0, "tokens × (slope of relayed_tokens_cpu − direct_tokens_cpu)")
	spacedRelayCPU := tokens * (c.slope(role, "spaced_relayed_cpu") - c.slope(role, "spaced_direct_cpu"))
	add(role, "relay of tokens 37 ms apart, processor (traffic, no control)", spacedRelayCPU, "cores", 0, "tokens × (slope of spaced_relayed_cpu − spaced_direct_cpu)")
	add(role, "open streams of a node", tokens/tokensPerS, "streams", 0, "tokens / 27 a second and stream")
	schedulingCPU := requests * c.atFullSize(role, "request_cpu")
	add(role, "scheduling requests, processor", schedulingCPU, "cores", LimitCoreShare, "requests × request_cpu at the 256 upstreams of a node")
	tickCPU := ticksPerS * c.atFullSize(role, "tick_cpu")
	add(role, "scheduler ticks, processor", tickCPU, "cores", LimitCoreShare, "50/s × tick_cpu at the 256 upstreams of a node")
	setCPU := changesPerS * c.atFullSize(role, "set_upstreams_cpu")
	add(role, "new upstream lists, processor", setCPU, "cores", LimitCoreShare, "changes/s × set_upstreams_cpu at the 256 upstreams of a node")
	schedulerMemory := c.atFullSize(role, "scheduler_memory")
	add(role, "scheduler, memory", schedulerMemory, "B", LimitMemoryBytes, "scheduler_memory at the 256 upstreams of a node")
	pollBytes, pollCPU := c.slope(role, "poll_bytes"), c.slope(role, "poll_cpu")
	add(role, "polls, at their bound, traffic", maxPollsPerS*pollBytes, "B/s", LimitBytesPerS, "64/s × slope of poll_bytes")
	add(role, "polls, at their bound, processor of both ends", maxPollsPerS*pollCPU, "cores", LimitCoreShare, "64/s × slope of poll_cpu")
	add(role, "polls that one engine answers", FullNodes*maxPollsPerS*2/FullServers, "requests/s", 0, "2,200 × 64/s × 2 requests / 10,000")

	role = "membership"
	memberTraffic := membershipTraffic(c.atFullSize(role, "idle_bytes_per_s"), c.atFullSize(role, "bytes_per_restart"),
		c.atFullSize(role, "bytes_per_change"), c.atFullSize(role, "table_bytes"))
	add(role, "heartbeats, restarts and changes, traffic", memberTraffic, "B/s", LimitBytesPerS, "idle + restarts/s × bytes_per_restart + changes/s × bytes_per_change + tables")
	if measured := recordedAtSize(r, "membership", "nodes", FullNodes, "with_changes_bytes_per_s"); measured > 0 {
		add(role, "the same, as the test worked it out at 2,200 nodes", measured, "B/s", LimitBytesPerS, "recorded, from measured costs at that size without a fit")
	}
	heartbeatCPU := c.largest(role, "cpu_us_per_s") * 1e-6
	add(role, "heartbeats at rest, processor, simulator included", heartbeatCPU, "cores", LimitCoreShare, "largest recorded; the points give no slope")
	vmListTraffic := FullNodes * vmEntryBytes * vmListReadsPerS
	add(role, "reading the platform's VM list, traffic", vmListTraffic, "B/s", LimitBytesPerS, "2,200 × 100 B / 300 s; 100 B is the estimate in package discovery")

	role = "lease holder"
	reads, writes := c.atSize(role, "reads_per_s", lease.DefaultGroups), c.atSize(role, "writes_per_s", lease.DefaultGroups)
	add(role, "store reads", reads, "reads/s", LimitStoreReadsPerS, "reads_per_s at 64 groups")
	add(role, "store writes", writes, "writes/s", LimitStoreWritesPerS, "writes_per_s at 64 groups")
	leaseCPU := c.atSize(role, "cpu_per_s", lease.DefaultGroups)
	add(role, "processor, if three VMs held all groups, all together", leaseCPU, "cores", LimitCoreShare, "cpu_per_s at 64 groups")
	add(role, "time without an authority after a loss", c.largest(role, "without_authority_s"), "s", 0, "largest recorded; it does not grow with the nodes")
	add(role, "engines without an authority meanwhile, after the loss of a data centre", float64(FullServers)/FullDataCentres, "engines", 0, "10,000 / 9")

	role = "configuration fan-out"
	changeAnswer, confirm := c.atFullSize(role, "change_bytes")+callOverheadBytes, confirmsPerS*callOverheadBytes
	leafTraffic := changesPerS*changeAnswer + confirm
	add(role, "in force at the worst VM", c.atFullSize(role, "worst_s"), "s", LimitConfigInForceS, "fit over log2(nodes), modelled latencies")
	add(role, "in force at the worst VM, watcher paused", c.atFullSize(role, "worst_with_a_paused_watcher_s"), "s", LimitConfigInForceS, "fit over log2(nodes), modelled latencies")
	add(role, "traffic of a leaf of the tree", leafTraffic, "B/s", LimitBytesPerS, "changes/s × (change_bytes + 400 B) + 0.2/s × 400 B")
	innerTraffic := leafTraffic * (1 + treeFanOut)
	add(role, "traffic of a VM with four children", innerTraffic, "B/s", LimitBytesPerS, "five times that of a leaf")
	mergeCPU := changesPerS * c.atFullSize(role, "change_cpu")
	add(role, "changes, processor", mergeCPU, "cores", LimitCoreShare, "changes/s × change_cpu")
	serveCPU := treeFanOut * changesPerS * c.atFullSize(role, "serve_change_cpu")
	add(role, "answers to four children, processor", serveCPU, "cores", LimitCoreShare, "4 × changes/s × serve_change_cpu, without the network")
	configMemory := c.atFullSize(role, "memory")
	add(role, "memory of a revision", configMemory, "B", LimitMemoryBytes, "memory")
	loadBytes := c.atFullSize(role, "first_load_bytes")
	add(role, "load at a start", loadBytes, "B", 0, "first_load_bytes")
	add(role, "time of that load at 4 KB/s", loadBytes/LimitBytesPerS, "s", 0, "load / 4 KB/s")
	add(role, "starts in the fleet", restartsPerS*loadBytes, "B/s", 0, "1,940 a day × load")
	configReads := lastRecorded(r, "configuration", "at rest", "reads_per_s") + lastRecorded(r, "configuration", "at rest", "waiting")
	add(role, "store reads, 9 data centres", configReads, "reads/s", LimitStoreReadsPerS, "recorded at 128 nodes and 9 data centres: reads and one a second for each waiting watch")
	add(role, "store writes", 3*changesPerS, "writes/s", LimitStoreWritesPerS, "3 a change, docs/notes/configuration.md")

	role = "address answers"
	questions := FullAccounts * clientsPerAccount / answerLifetime().Seconds() / FullNodes
	answerCPU := questions * c.atFullSize(role, "answer_cpu")
	add(role, "questions at a node", questions, "1/s", 0, "15,000 accounts × 10 clients / keep time / 2,200; 10 is an assumption")
	add(role, "processor", answerCPU, "cores", LimitCoreShare, "questions × answer_cpu, no table prepared before")

	role = "limits"
	homeAccounts := c.find(role, "exchange_bytes_per_s").Full
	exchangeTraffic := c.atFullSize(role, "exchange_bytes_per_s")
	add(role, "accounts at home in a node", homeAccounts, "accounts", 0, "15,000 × 4 / 2,200")
	add(role, "exchange, one account in twenty above its limit, traffic", exchangeTraffic, "B/s", LimitBytesPerS, "exchange_bytes_per_s at that number")
	limitsCPU := requests*c.largest(role, "admit_cpu") + c.slope(role, "step_cpu")*homeAccounts
	add(role, "processor", limitsCPU, "cores", LimitCoreShare, "requests × largest admit_cpu + slope of step_cpu × accounts at home")
	accountsMemory := c.atFullSize(role, "memory")
	add(role, "memory, if one node sees all accounts", accountsMemory, "B", LimitMemoryBytes, "memory at 15,000 accounts")
	add(role, "step, if one node sees all accounts, processor", c.atFullSize(role, "step_cpu"), "cores", LimitCoreShare, "step_cpu at 15,000 accounts, one step a second")

	role = "booking claims"
	bookings := FullRequestsPerS * bookingShare
	bookingCPU := c.slope(role, "cpu")
	add(role, "store writes, bound", claimWritesBound, "writes/s", LimitStoreWritesPerS, "8 shards × 1 in 20 ms, package claims")
	add(role, "processor of an owner at 450 bookings/s", bookings/claimShards*bookingCPU, "cores", LimitCoreShare, "450 / 8 × slope of cpu")
	add(role, "processor of an owner at 45,000 bookings/s", FullRequestsPerS/claimShards*bookingCPU, "cores", LimitCoreShare, "45,000 / 8 × slope of cpu")
	add(role, "bookings at which an owner's processor share is used", LimitCoreShare*claimShards/bookingCPU, "bookings/s", 0, "2.9 % × 8 / slope of cpu")
	add(role, "stored for 24 h at 450 bookings/s", bookings*retentionS*c.slope(role, "store_bytes"), "B", 0, "450 × 86,400 × slope of store_bytes")
	add(role, "stored for 24 h at 45,000 bookings/s", FullRequestsPerS*retentionS*c.slope(role, "store_bytes"), "B", 0, "45,000 × 86,400 × slope of store_bytes")
	add(role, "calls to an owner at 450 bookings/s, least traffic", 2*bookings/claimShards*callOverheadBytes, "B/s", LimitBytesPerS, "2 operations × 450 / 8 × 400 B, without content")
	batches := recordedAtSize(r, "claims", "bookings_per_s", bookings, "writes_per_s") / claimShards
	add(role, "written to the store by an owner at 450 bookings/s, traffic", batches*meanHeadBytes, "B/s", LimitBytesPerS, "writes recorded at 450 bookings/s / 8 × 64 KB, half of the size at which a head is sealed")

	role = "cache-event intake"
	engine := engines(1)[0]
	prompts := promptLoad(engine.PrefillTokensPerSecond, engine.DecodeTokensPerSecond, policy.PieceTokens)
	perEngine := prompts.PiecesPerS / FullServers
	add(role, "prompt tokens of the fleet", prompts.PromptTokensPerS, "tokens/s", 0, "16 million × 23/77 × 12,000/1,100, speeds of the engines in examples/vairogs")
	add(role, "KV cache of a token", prompts.KVBytesPerToken, "B", 0, "22,000 GB/s / prompt tokens")
	add(role, "KV cache that crosses entry VMs", 0, "B/s", 0, "by design: engines exchange it, entry VMs pass identifiers")
	add(role, "pieces computed by an engine", perEngine, "pieces/s", 0, "prompt tokens / 1,000 / 10,000")
	eventTraffic := 2 * c.slope(role, "event_bytes") * perEngine
	add(role, "events of one engine, traffic without the polls", eventTraffic, "B/s", LimitBytesPerS, "pieces in and out × slope of event_bytes")
	engineTraffic := subscriptionTraffic(pollBytes, pollsPerS, c.slope(role, "event_bytes"), prompts.PiecesPerS)
	add(role, "reports and events of one engine, traffic", engineTraffic, "B/s", LimitBytesPerS, "2/s × poll_bytes + events")
	add(role, "polls and events of a node's engines, traffic", maxPollsPerS*pollBytes+maxUpstreams*eventTraffic, "B/s", LimitBytesPerS, "polls at their bound + 256 × events of one engine")
	intakeCPU := 2 * perEngine * maxUpstreams * c.slope(role, "intake_cpu")
	add(role, "intake of the events of a node's engines, processor", intakeCPU, "cores", LimitCoreShare, "2 × pieces/s of 256 engines × slope of intake_cpu, without decoding JSON")
	indexMemory := c.atFullSize(role, "index_memory")
	add(role, "full indexes of a node's engines, memory", indexMemory, "B", LimitMemoryBytes, "index_memory at 256 × 600 pieces")

	role = "metrics"
	add(role, "memory, 15,000 callers with a histogram", c.atFullSize(role, "memory"), "B", LimitMemoryBytes, "memory at 15,000")
	metricsMemory := c.atSize(role, "memory", callerSeriesBound)
	add(role, "memory, default bound of 200 callers", metricsMemory, "B", LimitMemoryBytes, "memory at 200")
	add(role, "scrape every 15 s, 15,000 callers, traffic", scrapesPerS*c.atFullSize(role, "scrape_bytes"), "B/s", LimitBytesPerS, "scrape_bytes / 15 s")
	add(role, "scrape every 15 s, 200 callers, traffic", scrapesPerS*c.atSize(role, "scrape_bytes", callerSeriesBound), "B/s", LimitBytesPerS, "scrape_bytes / 15 s")
	add(role, "scrape every 15 s, 28 callers, traffic", scrapesPerS*c.slope(role, "scrape_bytes")*(homeAccounts+1), "B/s", LimitBytesPerS, "accounts at home only")
	add(role, "scrape every 15 s, 15,000 callers, processor", scrapesPerS*c.atFullSize(role, "scrape_cpu"), "cores", LimitCoreShare, "scrape_cpu / 15 s")

	sum.LeafTraffic = memberTraffic + vmListTraffic + exchangeTraffic + leafTraffic
	sum.InnerTraffic = sum.LeafTraffic + innerTraffic - leafTraffic
	sum.Engines = (LimitBytesPerS - sum.LeafTraffic) / engineTraffic
	sum.EnginesHashesOnly = (LimitBytesPerS - sum.LeafTraffic) / (2 * 8 * perEngine)
	sum.CPU = schedulingCPU + tickCPU + setCPU + mergeCPU + serveCPU + answerCPU + limitsCPU + heartbeatCPU + leaseCPU
	sum.CPUWithEvents = sum.CPU + intakeCPU
	sum.Memory = schedulerMemory + configMemory + accountsMemory + metricsMemory
	sum.MemoryWithIndexes = sum.Memory + indexMemory
	sum.Writes = claimWritesBound + writes + 3*changesPerS
	sum.Reads = reads + configReads + FullNodes*vmListReadsPerS
	sum.EngineTraffic = engineTraffic
	sum.PolledTraffic = maxPollsPerS*pollBytes + maxUpstreams*eventTraffic
	return out, sum
}

// Sum is the total load of one node and of the store.
type Sum struct {
	LeafTraffic, InnerTraffic  float64 // of a leaf and of an inner VM of the tree, without polls of upstreams
	EngineTraffic              float64 // load reports and cache events of one engine
	PolledTraffic              float64 // the same of a node's engines, with polls at their bound
	Engines, EnginesHashesOnly float64 // engines whose reports and events fit into a leaf's remaining traffic: as encoded today, and at eight bytes a piece
	CPU, CPUWithEvents         float64 // in cores, without and with the intake of the cache events of a node's engines
	Memory, MemoryWithIndexes  float64
	Reads, Writes              float64
}

func answerLifetime() time.Duration { return addresses.Options{}.KeepTime() }

// recordedAtSize returns the figure of the first line with a size, or NaN if there is none.
func recordedAtSize(r Recorded, section, size string, at float64, value string) float64 {
	for _, l := range r[section].Lines {
		if l.Values[size] == at {
			return l.Values[value]
		}
	}
	return math.NaN()
}

// lastRecorded returns the figure of the last line of a kind, which is the line of the largest size.
func lastRecorded(r Recorded, section, kind, value string) float64 {
	last := 0.0
	for _, l := range r[section].Lines {
		if l.Kind == kind {
			last = l.Values[value]
		}
	}
	return last
}
