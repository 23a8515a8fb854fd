package capacity

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "bergamotcroft.example/bergamot/internal/fixedseed"
)

// Guards against a wrong slope or intercept: every figure at the full size depends on them.
func TestFitRecoversLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := rapid.Float64Range(-100, 100).Draw(t, "intercept")
		b := rapid.Float64Range(-10, 10).Draw(t, "slope")
		var points []Point
		for _, x := range []float64{8, 32, 128} {
			points = append(points, Point{x, a + b*x})
		}
		l := Fit(points)
		if math.Abs(l.Intercept-a) > 1e-6 || math.Abs(l.Slope-b) > 1e-6 {
			t.Fatalf("fit %+v, want %v + %v x", l, a, b)
		}
	})
}

// Guards against a division by zero if all points have the same size or the same value.
func TestFitDegenerate(t *testing.T) {
	is := is.New(t)
	is.Equal(Fit([]Point{{5, 2}, {5, 4}}).At(100), 3.0)
	is.Equal(Fit([]Point{{1, 2}, {2, 2}, {3, 2}}).R2, 1.0)
}
