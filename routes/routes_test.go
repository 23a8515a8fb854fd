package routes

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against engines with few slots that keep prompts away from their streams: on the large deployment, first events were late.
func TestStrictPaceNeedsManySlots(t *testing.T) {
	for _, x := range []struct {
		slots  int
		pause  time.Duration
		strict bool
	}{{64, 250, true}, {16, 250, false}, {64, 400, false}, {64, 0, false}} {
		is := is.New(t)
		service := &Service{Engine: &Engine{Slots: x.slots, TokensPerEvent: 15}}
		route := Route{Kind: Stream, MaxPause: x.pause * time.Millisecond, Splits: []Split{{Service: "s"}}}
		New(1, []Route{route}, map[string]*Service{"s": service}, Limits{})
		is.Equal(service.Engine.StrictPace, x.strict)
	}
}
