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
	Limit      float64 // 0: none is stated
	How        string  // what it is computed from
}

// Values of today's defaults and assumptions about callers; the settings or the notes name them.
const (
	pollsPerS        = 2   // settings upstreams.report_every, 500 ms
	ticksPerS        = 50  // gateway, every 20 ms
	fanOut           = 4   // of the configuration's tree in a data centre
	confirmsPerS     = 0.2 // the store's head is confirmed every 5 s
	clients          = 10  // of an account, docs/notes/addresses.md
	vmEntryBytes     = 100 // of one VM in the platform's list, package discovery
	vmListReadsPerS  = 1 / 300.0
	seriesBound      = 200 // settings gateway.caller_series
	scrapesPerS      = 1 / 15.0
	claimWritesBound = 400.0 // 8 shards, one write in 20 ms each
	claimShards      = 8
	bookingShare     = 0.01 // of the requests; the sizes of the design page give none
	retentionS       = day
	meanHeadBytes    = 64 << 10 // a shard's head is sealed at 128 KB, package claims
)

// figures works out the costs at the full size, role by role.
func figures(c *costs, r Recorded) ([]Figure, Sum) {
	var out []Figure
	add := func(role, name string, value float64, unit string, limit float64, how string) {
		out = append(out, Figure{role, name, value, unit, limit, how})
	}
	requests, tokens := FullRequestsPerS/FullNodes, FullTokensPerS/FullNodes
	var sum Sum

	role := "serving"
	add(role, "requests at a node", requests, "requests/s", 0, "45,000 / 2,200")
	add(role, "tokens relayed by a node", tokens, "tokens/s", 0, "16 million / 2,200")
	relay := tokens * (c.slope(role, "relayed_tokens_cpu") - c.slope(role, "direct_tokens_cpu"))
	add(role, "relay of tokens that come together, processor (traffic, no control)", relay, "cores", 0, "tokens × (slope of relayed_tokens_cpu − direct_tokens_cpu)")
	spaced := tokens * (c.slope(role, "spaced_relayed_cpu") - c.slope(role, "spaced_direct_cpu"))
	add(role, "relay of tokens 37 ms apart, processor (traffic, no control)", spaced, "cores", 0, "tokens × (slope of spaced_relayed_cpu − spaced_direct_cpu)")
	add(role, "open streams of a node", tokens/tokensPerS, "streams", 0, "tokens / 27 a second and stream")
	route := requests * c.full(role, "request_cpu")
	add(role, "scheduling requests, processor", route, "cores", LimitCoreShare, "requests × request_cpu at the 256 upstreams of a node")
	tick := ticksPerS * c.full(role, "tick_cpu")
	add(role, "scheduler ticks, processor", tick, "cores", LimitCoreShare, "50/s × tick_cpu at the 256 upstreams of a node")
	set := changesPerS * c.full(role, "set_upstreams_cpu")
	add(role, "new upstream lists, processor", set, "cores", LimitCoreShare, "changes/s × set_upstreams_cpu at the 256 upstreams of a node")
	upstreams := c.full(role, "scheduler_memory")
	add(role, "scheduler, memory", upstreams, "B", LimitMemoryBytes, "scheduler_memory at the 256 upstreams of a node")
	pollBytes, pollCPU := c.slope(role, "poll_bytes"), c.slope(role, "poll_cpu")
	add(role, "polls, at their bound, traffic", pollsBound*pollBytes, "B/s", LimitBytesPerS, "64/s × slope of poll_bytes")
	add(role, "polls, at their bound, processor of both ends", pollsBound*pollCPU, "cores", LimitCoreShare, "64/s × slope of poll_cpu")
	add(role, "polls that one engine answers", FullNodes*pollsBound*2/FullServers, "requests/s", 0, "2,200 × 64/s × 2 requests / 10,000")

	role = "membership"
	beat := membershipBytes(c.full(role, "idle_bytes_per_s"), c.full(role, "bytes_per_restart"), c.full(role, "bytes_per_change"), c.full(role, "table_bytes"))
	add(role, "heartbeats, restarts and changes, traffic", beat, "B/s", LimitBytesPerS, "idle + restarts/s × bytes_per_restart + changes/s × bytes_per_change + tables")
	if measured := recordedAt(r, "membership", "nodes", FullNodes, "with_changes_bytes_per_s"); measured > 0 {
		add(role, "the same, as the test worked it out at 2,200 nodes", measured, "B/s", LimitBytesPerS, "recorded, from measured costs at that size without a fit")
	}
	probes := c.most(role, "cpu_us_per_s") * 1e-6
	add(role, "heartbeats at rest, processor, simulator included", probes, "cores", LimitCoreShare, "largest recorded; the points give no slope")
	vmList := FullNodes * vmEntryBytes * vmListReadsPerS
	add(role, "reading the platform's VM list, traffic", vmList, "B/s", LimitBytesPerS, "2,200 × 100 B / 300 s; 100 B is the estimate in package discovery")

	role = "lease holder"
	reads, writes := c.at(role, "reads_per_s", lease.DefaultGroups), c.at(role, "writes_per_s", lease.DefaultGroups)
	add(role, "store reads", reads, "reads/s", LimitStoreReadsPerS, "reads_per_s at 64 groups")
	add(role, "store writes", writes, "writes/s", LimitStoreWritesPerS, "writes_per_s at 64 groups")
	leases := c.at(role, "cpu_per_s", lease.DefaultGroups)
	add(role, "processor, if three VMs held all groups, all together", leases, "cores", LimitCoreShare, "cpu_per_s at 64 groups")
	add(role, "time without an authority after a loss", c.most(role, "without_authority_s"), "s", 0, "largest recorded; it does not grow with the nodes")
	add(role, "engines without an authority meanwhile, after the loss of a data centre", float64(FullServers)/FullDataCentres, "engines", 0, "10,000 / 9")

	role = "configuration fan-out"
	answer, confirm := c.full(role, "change_bytes")+callOverhead, confirmsPerS*callOverhead
	link := changesPerS*answer + confirm
	add(role, "in force at the worst VM", c.full(role, "worst_s"), "s", LimitConfigInForceS, "fit over log2(nodes), modelled latencies")
	add(role, "in force at the worst VM, watcher paused", c.full(role, "worst_with_a_paused_watcher_s"), "s", LimitConfigInForceS, "fit over log2(nodes), modelled latencies")
	add(role, "traffic of a leaf of the tree", link, "B/s", LimitBytesPerS, "changes/s × (change_bytes + 400 B) + 0.2/s × 400 B")
	inner := link * (1 + fanOut)
	add(role, "traffic of a VM with four children", inner, "B/s", LimitBytesPerS, "five times that of a leaf")
	merge := changesPerS * c.full(role, "change_cpu")
	add(role, "changes, processor", merge, "cores", LimitCoreShare, "changes/s × change_cpu")
	serve := fanOut * changesPerS * c.full(role, "serve_change_cpu")
	add(role, "answers to four children, processor", serve, "cores", LimitCoreShare, "4 × changes/s × serve_change_cpu, without the network")
	config := c.full(role, "memory")
	add(role, "memory of a revision", config, "B", LimitMemoryBytes, "memory")
	load := c.full(role, "first_load_bytes")
	add(role, "load at a start", load, "B", 0, "first_load_bytes")
	add(role, "time of that load at 4 KB/s", load/LimitBytesPerS, "s", 0, "load / 4 KB/s")
	add(role, "starts in the fleet", restartsPerS*load, "B/s", 0, "1,940 a day × load")
	confReads := recorded(r, "configuration", "at rest", "reads_per_s") + recorded(r, "configuration", "at rest", "waiting")
	add(role, "store reads, 9 data centres", confReads, "reads/s", LimitStoreReadsPerS, "recorded at 128 nodes and 9 data centres: reads and one a second for each waiting watch")
	add(role, "store writes", 3*changesPerS, "writes/s", LimitStoreWritesPerS, "3 a change, docs/notes/configuration.md")

	role = "address answers"
	asks := FullAccounts * clients / keep().Seconds() / FullNodes
	answers := asks * c.full(role, "answer_cpu")
	add(role, "questions at a node", asks, "1/s", 0, "15,000 accounts × 10 clients / keep time / 2,200; 10 is an assumption")
	add(role, "processor", answers, "cores", LimitCoreShare, "questions × answer_cpu, no table prepared before")

	role = "limits"
	home := c.get(role, "exchange_bytes_per_s").Full
	exchange := c.full(role, "exchange_bytes_per_s")
	add(role, "accounts at home in a node", home, "accounts", 0, "15,000 × 4 / 2,200")
	add(role, "exchange, one account in twenty above its limit, traffic", exchange, "B/s", LimitBytesPerS, "exchange_bytes_per_s at that number")
	admit := requests*c.most(role, "admit_cpu") + c.slope(role, "step_cpu")*home
	add(role, "processor", admit, "cores", LimitCoreShare, "requests × largest admit_cpu + slope of step_cpu × accounts at home")
	accounts := c.full(role, "memory")
	add(role, "memory, if one node sees all accounts", accounts, "B", LimitMemoryBytes, "memory at 15,000 accounts")
	add(role, "step, if one node sees all accounts, processor", c.full(role, "step_cpu"), "cores", LimitCoreShare, "step_cpu at 15,000 accounts, one step a second")

	role = "booking claims"
	bookings := FullRequestsPerS * bookingShare
	each := c.slope(role, "cpu")
	add(role, "store writes, bound", claimWritesBound, "writes/s", LimitStoreWritesPerS, "8 shards × 1 in 20 ms, package claims")
	add(role, "processor of an owner at 450 bookings/s", bookings/claimShards*each, "cores", LimitCoreShare, "450 / 8 × slope of cpu")
	add(role, "processor of an owner at 45,000 bookings/s", FullRequestsPerS/claimShards*each, "cores", LimitCoreShare, "45,000 / 8 × slope of cpu")
	add(role, "bookings at which an owner's processor share is used", LimitCoreShare*claimShards/each, "bookings/s", 0, "2.9 % × 8 / slope of cpu")
	add(role, "stored for 24 h at 450 bookings/s", bookings*retentionS*c.slope(role, "store_bytes"), "B", 0, "450 × 86,400 × slope of store_bytes")
	add(role, "stored for 24 h at 45,000 bookings/s", FullRequestsPerS*retentionS*c.slope(role, "store_bytes"), "B", 0, "45,000 × 86,400 × slope of store_bytes")
	add(role, "calls to an owner at 450 bookings/s, least traffic", 2*bookings/claimShards*callOverhead, "B/s", LimitBytesPerS, "2 operations × 450 / 8 × 400 B, without content")
	batches := recordedAt(r, "claims", "bookings_per_s", bookings, "writes_per_s") / claimShards
	add(role, "written to the store by an owner at 450 bookings/s, traffic", batches*meanHeadBytes, "B/s", LimitBytesPerS, "writes recorded at 450 bookings/s / 8 × 64 KB, half of the size at which a head is sealed")

	role = "cache-event intake"
	e := engines(1)[0]
	prompts := promptLoad(e.PrefillTokensPerSecond, e.DecodeTokensPerSecond, policy.PieceTokens)
	perEngine := prompts.PiecesPerS / FullServers
	add(role, "prompt tokens of the fleet", prompts.PromptTokensPerS, "tokens/s", 0, "16 million × 23/77 × 12,000/1,100, speeds of the engines in examples/vairogs")
	add(role, "KV cache of a token", prompts.KVBytesPerToken, "B", 0, "22,000 GB/s / prompt tokens")
	add(role, "KV cache that crosses entry VMs", 0, "B/s", 0, "by design: engines exchange it, entry VMs pass identifiers")
	add(role, "pieces computed by an engine", perEngine, "pieces/s", 0, "prompt tokens / 1,000 / 10,000")
	events := 2 * c.slope(role, "event_bytes") * perEngine
	add(role, "events of one engine, traffic without the polls", events, "B/s", LimitBytesPerS, "pieces in and out × slope of event_bytes")
	one := subscription(pollBytes, pollsPerS, c.slope(role, "event_bytes"), prompts.PiecesPerS)
	add(role, "reports and events of one engine, traffic", one, "B/s", LimitBytesPerS, "2/s × poll_bytes + events")
	add(role, "polls and events of a node's engines, traffic", pollsBound*pollBytes+subsetUpstreams*events, "B/s", LimitBytesPerS, "polls at their bound + 256 × events of one engine")
	intake := 2 * perEngine * subsetUpstreams * c.slope(role, "intake_cpu")
	add(role, "intake of the events of a node's engines, processor", intake, "cores", LimitCoreShare, "2 × pieces/s of 256 engines × slope of intake_cpu, without decoding JSON")
	index := c.full(role, "index_memory")
	add(role, "full indexes of a node's engines, memory", index, "B", LimitMemoryBytes, "index_memory at 256 × 600 pieces")

	role = "metrics"
	add(role, "memory, 15,000 callers with a histogram", c.full(role, "memory"), "B", LimitMemoryBytes, "memory at 15,000")
	bounded := c.at(role, "memory", seriesBound)
	add(role, "memory, default bound of 200 callers", bounded, "B", LimitMemoryBytes, "memory at 200")
	add(role, "scrape every 15 s, 15,000 callers, traffic", scrapesPerS*c.full(role, "scrape_bytes"), "B/s", LimitBytesPerS, "scrape_bytes / 15 s")
	add(role, "scrape every 15 s, 200 callers, traffic", scrapesPerS*c.at(role, "scrape_bytes", seriesBound), "B/s", LimitBytesPerS, "scrape_bytes / 15 s")
	add(role, "scrape every 15 s, 28 callers, traffic", scrapesPerS*c.slope(role, "scrape_bytes")*(home+1), "B/s", LimitBytesPerS, "accounts at home only")
	add(role, "scrape every 15 s, 15,000 callers, processor", scrapesPerS*c.full(role, "scrape_cpu"), "cores", LimitCoreShare, "scrape_cpu / 15 s")

	sum.Bytes = beat + vmList + exchange + link
	sum.Inner = sum.Bytes + inner - link
	sum.Subset = (LimitBytesPerS - sum.Bytes) / one
	sum.Compact = (LimitBytesPerS - sum.Bytes) / (2 * 8 * perEngine)
	sum.CPU = route + tick + set + merge + serve + answers + admit + probes + leases
	sum.WithEvents = sum.CPU + intake
	sum.Memory = upstreams + config + accounts + bounded
	sum.WithIndexes = sum.Memory + index
	sum.Writes = claimWritesBound + writes + 3*changesPerS
	sum.Reads = reads + confReads + FullNodes*vmListReadsPerS
	sum.One = one
	sum.Polled = pollsBound*pollBytes + subsetUpstreams*events
	return out, sum
}

// Sum is what one node and the store carry in all.
type Sum struct {
	Bytes, Inner        float64 // of a leaf and of an inner VM of the tree, before any upstream is polled
	One                 float64 // reports and events of one engine
	Polled              float64 // those of the engines of a node, with polls at their bound
	Subset, Compact     float64 // engines that the rest carries: as wired, and with eight bytes a piece and no other cost
	CPU, WithEvents     float64 // without and with the intake of the cache events of a node's engines
	Memory, WithIndexes float64
	Reads, Writes       float64
}

func keep() time.Duration { return addresses.Options{}.KeepTime() }

// recordedAt returns the figure of the line of a size, or not a number.
func recordedAt(r Recorded, section, size string, at float64, value string) float64 {
	for _, l := range r[section].Lines {
		if l.Values[size] == at {
			return l.Values[value]
		}
	}
	return math.NaN()
}

// recorded returns the figure of the last line of a kind, that of the largest run.
func recorded(r Recorded, section, kind, value string) float64 {
	last := 0.0
	for _, l := range r[section].Lines {
		if l.Kind == kind {
			last = l.Values[value]
		}
	}
	return last
}
