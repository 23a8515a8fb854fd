package edge

import (
	"time"

	"bergamotcroft.example/bergamot/platform"
)

const (
	// defaultConfirmationTTL applies if the settings do not bound the time until a configuration is in force, or bound it higher.
	defaultConfirmationTTL = 4 * time.Second
	// confirmationMargin covers the way of the store's answer, which usually takes 4 ms.
	confirmationMargin = 150 * time.Millisecond
	// listPause is the longest time from the end of a watch to the list that follows a failed one: a pause of 50 ms before the call, or
	// 200 ms until a follower notices that its watcher is not answered, and the call itself.
	listPause = 250 * time.Millisecond
	// minConfirmationTTL is the longest time between two confirmations of a VM that one connection to the store has failed. Without a
	// failure it is that of a watch, two seconds, and the ways of the answers.
	minConfirmationTTL = platform.WatchTimeout + listPause
)

// confirmationTTL returns how long a confirmation of the configuration counts, if a configuration has to be in force within a time after it
// was acknowledged; 0: not bounded. A VM that the store has left unanswered for longer refuses what it can't decide by an old
// configuration. With a bound below minConfirmationTTL, a VM without faults would do so between two answers of the store.
func confirmationTTL(inForceWithin time.Duration) time.Duration {
	if inForceWithin <= 0 {
		return defaultConfirmationTTL
	}
	return min(max(inForceWithin-confirmationMargin, minConfirmationTTL), defaultConfirmationTTL)
}
