package loads

import (
	"fmt"
	"testing"
	"time"

	"bergamotcroft.example/bergamot/topo"
)

// BenchmarkRound measures one round with messages of four peers, by numbers of upstreams and peers.
func BenchmarkRound(b *testing.B) {
	for _, size := range []struct{ upstreams, peers int }{{90, 18}, {1000, 25}, {3000, 75}} {
		b.Run(fmt.Sprintf("upstreams=%d,peers=%d", size.upstreams, size.peers), func(b *testing.B) {
			x, _, s := newExchange(b, 1, sameDC)
			var list []topo.Upstream
			for i := range size.upstreams {
				list = append(list, topo.Upstream{Name: fmt.Sprint("u", i), Kind: topo.KindEngine, Models: []string{"m"}, KVPieces: 100})
			}
			s.SetUpstreams(list)
			now := time.Unix(100, 0)
			messages := make([]message, size.peers)
			for p := range messages {
				for i := range 10 {
					messages[p].loads = append(messages[p].loads, load{hash(fmt.Sprint("u", (p*31+i*7)%size.upstreams)), 1, 640})
				}
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				for p := range 4 { // messages received within one round
					m := messages[(n+p)%size.peers]
					m.boot, m.seq = 1, uint64(n+1)
					x.handleMessage(now, fmt.Sprintf("10.0.1.%d:9", p), m)
				}
				x.round(b.Context(), now)
				now = now.Add(gatherDelay)
			}
		})
	}
}
