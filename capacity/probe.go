package capacity

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"bergamotcroft.example/bergamot/membership"
)

// Series is one cost, measured at several sizes.
type Series struct {
	Role, Cost, Unit string
	SizeName         string // the quantity that Size counts
	Command          string // repeats the measurement
	Points           []Point
	Log              bool    // fit over the binary logarithm of the size
	Full             float64 // size at which the table prints the cost; 0: only the slope is used
}

// inProcess is the command of the series that are measured in this process.
const inProcess = "go run ./cmd/bergamot-replay capacity"

// cpuPerCall returns the processor time of one call of f in seconds, garbage collection included: the least of three rounds of at least
// 20 ms each.
func cpuPerCall(f func()) float64 {
	const rounds, minSpent = 3, 20 * time.Millisecond
	best := 0.0
	for round := range rounds {
		began, calls := processorTime(), 0
		spent := time.Duration(0)
		for spent < minSpent {
			f()
			calls++
			spent = processorTime() - began
		}
		if perCall := spent.Seconds() / float64(calls); round == 0 || perCall < best {
			best = perCall
		}
	}
	return best
}

// processorTime returns the user and system time of the process so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveHeap returns the heap bytes in use after a garbage collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// buildAndMeasure returns the value that build returns and the bytes of heap that it keeps in use.
func buildAndMeasure[T any](build func() T) (T, float64) {
	before := liveHeap()
	v := build()
	bytes := liveHeap() - before
	runtime.KeepAlive(v)
	return v, bytes
}

// staticMembers is a fixed member table.
type staticMembers struct {
	self    membership.Member
	members []membership.Member
}

func (l *staticMembers) Self() membership.Member                           { return l.self }
func (l *staticMembers) Members() []membership.Member                      { return slices.Clone(l.members) }
func (l *staticMembers) Subscribe(func(membership.Member)) (cancel func()) { return func() {} }
func (l *staticMembers) Broadcast(string, []byte) error                    { return nil }
func (l *staticMembers) Handle(string, func(membership.Event))             {}

// syntheticMembers returns n alive entry VMs of 2, 4 or 8 cores, spread over the data centres of the full size.
func syntheticMembers(n int) []membership.Member {
	members := make([]membership.Member, n)
	for i := range members {
		members[i] = membership.Member{
			Name: fmt.Sprintf("vm%05d", i), Boot: 1, Incarnation: 1, DataCentre: fmt.Sprintf("dc%d", i%FullDataCentres), Cores: 2 << (i % 3),
			Address: fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250), PeerAddress: fmt.Sprintf("10.%d.%d.1:7001", i/250, i%250),
			CallerAddress: fmt.Sprintf("10.%d.%d.1:8080", i/250, i%250), State: membership.Alive,
		}
	}
	return members
}

// probes are the measurements of this process, in the order of the printed table.
var probes = []func(context.Context) ([]Series, error){
	probeAddresses, probeServing, probeRelay, probePolls, probeCacheEvents, probeLimits, probeExchange, probeConfiguration, probeLeases, probeClaims,
	probeMetrics,
}

// Measure runs all probes and returns their series.
func Measure(ctx context.Context) ([]Series, error) {
	var series []Series
	for _, probe := range probes {
		s, err := probe(ctx)
		if err != nil {
			return nil, err
		}
		series = append(series, s...)
	}
	return series, nil
}
