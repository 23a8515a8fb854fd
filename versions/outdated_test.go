package versions

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against streams that a VM, cut off for less than contactTTL, takes up by its old plan while others begin them by a new one.
func TestAnEntryVMThatIsCutOffForAMoment(t *testing.T) {
	for _, cutBefore := range []time.Duration{0, 700 * time.Millisecond, 2 * time.Second} {
		inVirtualTime(t, 5, func(f *fleetTest) {
			f.serve(map[string]int{"v1": 3}, 0)
			time.Sleep(time.Minute)
			lost := f.all[4]
			f.confirms = f.all
			lost.cutOff.Store(true)
			f.all = f.all[:4]
			time.Sleep(cutBefore)
			f.serve(bothVersions, 0)
			for round := range 80 { // 8 s
				name := fmt.Sprint("round ", round, " stream ")
				for i, v := range f.begin(name, 20) {
					lost.goesOn(f.t, fmt.Sprint(name, i), v)
				}
				time.Sleep(100 * time.Millisecond)
			}
			f.True(slices.Contains(f.begin("later", 100), "v2")) // the wait is bounded
			f.all = append(f.all, lost)
		})
	}
}

// Guards against a wait for a new plan although all entry VMs have it.
func TestAPlanThatAllHaveIsInForce(t *testing.T) {
	inVirtualTime(t, 5, func(f *fleetTest) {
		f.serve(map[string]int{"v1": 3}, 0)
		time.Sleep(time.Minute)
		f.confirms = f.all
		f.serve(bothVersions, 0)
		time.Sleep(time.Second)
		f.tellRevisions()
		time.Sleep(time.Second)
		f.True(slices.Contains(f.begin("a", 100), "v2"))
	})
}

// Guards against streams that a VM takes up by an outdated plan when it resumes after a suspension.
func TestAnEntryVMThatWasSuspended(t *testing.T) {
	for _, suspended := range []time.Duration{1200 * time.Millisecond, 3800 * time.Millisecond, time.Minute} {
		inVirtualTime(t, 3, func(f *fleetTest) {
			f.serve(map[string]int{"v1": 3}, 0)
			time.Sleep(time.Minute)
			late := f.all[2]
			f.all = f.all[:2] // the third one hears nothing of what the others do
			f.serve(bothVersions, 0)
			time.Sleep(400 * time.Millisecond)
			began := f.begin("a", 100)
			f.all = append(f.all, late)
			late.ahead.Add(int64(suspended))
			late.SetServices(map[string]Service{service: {Serving: bothVersions, Lifetime: lifetime}})
			late.NoteContact() // an answer that was sent before the suspension
			wentOn := 0
			for i, v := range began {
				if late.goesOn(f.t, fmt.Sprint("a", i), v) {
					wentOn++
				}
			}
			f.True(wentOn >= 50) // the plan is read at once
		})
	}
}
