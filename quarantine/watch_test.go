package quarantine

import (
	"runtime"
	"testing"

	"github.com/matryer/is"

	"bergamotcroft.example/bergamot/internal/liveheap"
	"bergamotcroft.example/bergamot/result"
)

// Guards against watches whose memory is many times that of the parts that a request lists.
func TestWatchesTakeLittleMemory(t *testing.T) {
	is := is.New(t)
	p := NewPartLedger(PartLedgerOptions{})
	const requests, listed, bound = 100, 1000, 1 << 20
	parts := make([][]PartID, requests)
	for n := range parts {
		for i := range listed {
			parts[n] = append(parts[n], PartID(n*listed+i+1))
		}
	}
	before := liveheap.Bytes()
	stops := make([]func(), requests)
	for n := range parts {
		stops[n] = p.Watch(parts[n], func(*result.Error) {})
	}
	is.True(liveheap.Bytes() < before+bound)
	for _, stop := range stops {
		stop()
	}
	is.Equal(len(p.watches), 0)
	runtime.KeepAlive(parts)
}
