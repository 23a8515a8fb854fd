package membership

import (
	"testing"
	"time"
)

// Guards against a directory that names a VM without power longer than users allow, seven seconds on their deployments of this size.
func TestAllMembersDoubtAMemberThatIsOff(t *testing.T) {
	const bound = 7 * time.Second
	for seed := range uint64(100) {
		w := newNetwork(t, 68, seed)
		w.loss = 0.01
		w.run(13 * time.Second)
		off := w.nodes[int(seed)%len(w.nodes)]
		off.down = true
		w.runUntil(bound, "doubt of the member that is off", func(x *node) bool {
			m := x.core.table[off.name].member()
			return m.Suspect || m.State != Alive
		})
	}
}
