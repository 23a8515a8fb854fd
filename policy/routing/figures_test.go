package routing

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against moves of KV cache that are planned with the constants although the operator states the engines' figures, and
// against figures that take effect where they are switched off or not stated.
func TestMovesFollowTheStatedFigures(t *testing.T) {
	is := is.New(t)
	p, f := newMeasured(t), measuredFleet(1, 1)
	from, to := f.Upstreams[0], f.Upstreams[1]
	from.Spec.KVBytesPerToken, from.Spec.LinkBytesPerS, to.Spec.LinkBytesPerS = 160000, 32e9, 64e9
	is.Equal(p.moveSeconds(12000, from, to), 12000*20000/12e9)
	p.UseFigures = true
	is.Equal(p.moveSeconds(12000, from, to), 12000*160000/32e9) // the slower link
	is.Equal(p.moveSeconds(12000, to, from), 12000*160000/32e9)
	to.Spec.DataCentre = "other"
	is.Equal(p.moveSeconds(12000, from, to), 2*12000*160000/32e9)
	from.Spec.KVBytesPerToken, from.Spec.LinkBytesPerS, to.Spec.LinkBytesPerS, to.Spec.DataCentre = 0, 0, 0, ""
	is.Equal(p.moveSeconds(12000, from, to), 12000*20000/12e9)
}
