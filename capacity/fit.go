// Package capacity measures how the cost of each role grows with the size and extrapolates it to the full size.
//
// A measurement runs the project's own code at three or more sizes and fits a straight line to the points. The tables
// show the points, the line, and the value at the full size against its limit.
package capacity

import "math"

// Point is one measurement.
type Point struct {
	Size  float64 // the varied quantity, for example the number of entry VMs
	Value float64
}

// Line is a least-squares fit: Value = Intercept + Slope × Size.
type Line struct {
	Intercept, Slope float64
	R2               float64 // share of the variance that the line explains; 1 for equal values
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Fit returns the least-squares line through the points.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	det := n*sxx - sx*sx
	if det == 0 {
		return Line{Intercept: sy / math.Max(n, 1), R2: 1}
	}
	l := Line{Slope: (n*sxy - sx*sy) / det}
	l.Intercept = (sy - l.Slope*sx) / n
	l.R2 = rSquared(points, l, sy/n)
	return l
}

func rSquared(points []Point, l Line, mean float64) float64 {
	var residual, total float64
	for _, p := range points {
		residual += (p.Value - l.At(p.Size)) * (p.Value - l.At(p.Size))
		total += (p.Value - mean) * (p.Value - mean)
	}
	if total == 0 {
		return 1
	}
	return 1 - residual/total
}
