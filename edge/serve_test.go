package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that are taken, or still waited for, when the process is killed, because its stop signal was handled late;
// and against a port that is closed while callers hold its address.
func TestAStopThatIsLearntLate(t *testing.T) {
	const grace = 8 * time.Second
	now := time.Now()
	for _, late := range []time.Duration{0, 100 * time.Millisecond, 2 * time.Second, 5 * time.Second, 7500 * time.Millisecond, time.Minute} {
		is := is.New(t)
		p := planStop(now.Add(-late), now, grace)
		killed := now.Add(max(grace-late, 0)) // a process that still runs was sent the signal within its grace
		is.True(!p.addressesEnd.After(killed.Add(addressDrainTime - grace)))
		is.True(!p.waitingEnd.After(latest(now, killed.Add(-waitingMargin))))
		is.True(!p.answersEnd.After(latest(now, killed.Add(-answerMargin))))
		is.True(!p.closing.Before(p.answersEnd.Add(answerMargin - closeMargin))) // time to write what is ended
		is.True(!p.listenUntil.After(p.waitingEnd))
		if late < grace-waitingMargin-minDrainTime {
			is.Equal(p.listenUntil, now.Add(minDrainTime))
		}
	}
}
