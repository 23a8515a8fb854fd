package main

import (
	"os"
	"syscall"
	"time"
)

const (
	// probeSignal has no effect by default. Its number is higher than those of the stop signals, so that it is delivered after
	// any that are pending.
	probeSignal   = syscall.SIGWINCH
	probeInterval = 100 * time.Millisecond
	// After a pause of the process, a probe counts only once settlingProbes further ones have come back: the thread that has a stop
	// signal may get a processor later than those that send and receive probes.
	pauseTime      = 2 * probeInterval
	settlingProbes = 3
)

// stopSignals receives the stop signals and bounds when each was sent: a process that is suspended or gets little processor time
// handles a signal late, and can't tell how late.
//
// It sends itself a probe through the same channel. Once a probe has come back, each stop signal that was sent before the probe has
// been received, unless the thread that handles it is held up.
type stopSignals struct {
	received <-chan os.Signal // stop signals and probes
	probe    func() error     // sends probeSignal to this process
	// onStop is called with each stop signal and the earliest time at which it may have been sent.
	onStop func(s os.Signal, earliest time.Time)
}

// run receives signals until received is closed. No stop signal was sent before start. Probes end with the first stop signal.
func (x *stopSignals) run(start time.Time) {
	earliest, lastReturned := start, start
	settling := 0                                    // probes until the last one counts at once
	recent := make([]time.Time, 0, settlingProbes+2) // when the probes that came back last were sent
	var probedAt time.Time                           // zero unless a probe is on its way
	probes := time.NewTicker(probeInterval)
	defer probes.Stop()
	for {
		select {
		case s, ok := <-x.received:
			switch {
			case !ok:
				return
			case s != probeSignal:
				probes.Stop()
				x.onStop(s, earliest)
			case !probedAt.IsZero():
				now := time.Now()
				if len(recent) == cap(recent) {
					recent = append(recent[:0], recent[1:]...)
				}
				recent = append(recent, probedAt)
				switch {
				case now.Sub(lastReturned) > pauseTime:
					settling = settlingProbes
				case settling > 0:
					settling--
				default:
					earliest = probedAt
				}
				if len(recent) == cap(recent) && recent[0].After(earliest) {
					earliest = recent[0] // also in a process that is paused again and again
				}
				lastReturned, probedAt = now, time.Time{}
			}
		case <-probes.C:
			if !probedAt.IsZero() {
				continue
			}
			now := time.Now()
			if x.probe() == nil { // otherwise earliest stays: the bound is wider, and still holds
				probedAt = now
			}
		}
	}
}

func sendProbe() error { return syscall.Kill(os.Getpid(), probeSignal) }
