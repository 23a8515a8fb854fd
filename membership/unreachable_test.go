package membership

import (
	"testing"
	"time"
)

// Guards against a directory that names a VM without power longer than users allow, seven seconds on their deployments of this size.
func TestAllMembersDoubtAMemberThatIsOff(t *testing.T) {
	const bound = 7 * time.Second
	late, worst := 0, time.Duration(0)
	for seed := range uint64(100) {
		w := newNetwork(t, 68, seed)
		w.loss = 0.01
		w.run(13 * time.Second)
		off := w.nodes[int(seed)%len(w.nodes)]
		off.down = true
		took := w.runUntil(time.Minute, "doubt", func(x *node) bool {
			m := x.core.table[off.name].member()
			return m.Suspect || m.State != Alive
		})
		worst = max(worst, took)
		if took > bound {
			late++
		}
	}
	t.Logf("late in %d of 100 runs, at most %s", late, worst)
	if late > 0 {
		t.Fail()
	}
}
