package record

import (
	"errors"
	"fmt"
	"math"
)

// Law is what a quantity grows with.
type Law string

// The laws that are fitted. Each is a straight line over one independent variable.
const (
	Constant  Law = "constant"
	InMembers Law = "front ends"
	InEngines Law = "databases"
	InProduct Law = "front ends x databases"
	InSum     Law = "front ends + databases"
	InSession Law = "sessions"
	InRate    Law = "rate"
)

// variable is the independent variable of a law at a size.
func (l Law) variable(s Size) (float64, error) {
	switch l {
	case Constant:
		return 0, nil
	case InMembers:
		return float64(s.Members), nil
	case InEngines:
		return float64(s.Engines), nil
	case InProduct:
		return float64(s.Members) * float64(s.Engines), nil
	case InSum:
		return float64(s.Members + s.Engines), nil
	case InSession:
		return float64(s.Sessions), nil
	case InRate:
		return float64(s.Rate), nil
	}
	return 0, fmt.Errorf("record: law: found %q", string(l))
}

// MaxResidual is the largest residual, as a share of the largest measured value, with which a line still counts as
// fitting.
const MaxResidual = 0.10

// Fit is a least-squares line over the samples of one quantity.
type Fit struct {
	Law       Law
	Intercept float64
	Slope     float64 // a unit of the law's variable
	SlopeLow  float64 // the least and the greatest slope of the fits of the single repeats
	SlopeHigh float64
	Residual  float64 // the largest distance of a size's mean from the line, over the largest mean
	Spread    float64 // the largest (greatest - least) over the mean among the repeats of one size
	Sizes     int     // at which something was measured
	Samples   int
	Largest   float64 // the largest value of the law's variable that was measured
}

// Fits tells whether the line describes what was measured.
func (f Fit) Fits() bool { return f.Residual <= MaxResidual }

// At is the line's value at a size.
func (f Fit) At(s Size) (float64, error) {
	x, err := f.Law.variable(s)
	return f.Intercept + f.Slope*x, err
}

// point is one value of a quantity at one value of a law's variable.
type point struct{ x, y float64 }

// line is the least-squares line; where all points share one x it is level.
func line(points []point) (intercept, slope float64) {
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX, sumY, sumXX, sumXY = sumX+p.x, sumY+p.y, sumXX+p.x*p.x, sumXY+p.x*p.y
	}
	n := float64(len(points))
	spread := n*sumXX - sumX*sumX
	if spread <= 1e-9*math.Max(n*sumXX, 1) {
		return sumY / n, 0
	}
	slope = (n*sumXY - sumX*sumY) / spread
	return (sumY - slope*sumX) / n, slope
}

// FitLine fits a law to samples of one quantity.
func FitLine(samples []Sample, law Law) (Fit, error) {
	if len(samples) == 0 {
		return Fit{}, errors.New("record: no samples to fit")
	}
	f := Fit{Law: law, Samples: len(samples), SlopeLow: math.Inf(1), SlopeHigh: math.Inf(-1)}
	var all []point
	byRepeat := map[int][]point{}
	bySize := map[Size]*sizeValues{}
	for _, s := range samples {
		x, err := law.variable(s.Size)
		if err != nil {
			return Fit{}, err
		}
		p := point{x, s.Value}
		all = append(all, p)
		byRepeat[s.Repeat] = append(byRepeat[s.Repeat], p)
		if bySize[s.Size] == nil {
			bySize[s.Size] = &sizeValues{x: x}
		}
		bySize[s.Size].values = append(bySize[s.Size].values, s.Value)
		f.Largest = math.Max(f.Largest, x)
	}
	f.Intercept, f.Slope = line(all)
	f.Sizes = len(bySize)
	for _, points := range byRepeat {
		_, slope := line(points)
		f.SlopeLow, f.SlopeHigh = math.Min(f.SlopeLow, slope), math.Max(f.SlopeHigh, slope)
	}
	f.Residual, f.Spread = deviations(bySize, f.Intercept, f.Slope)
	return f, nil
}

// sizeValues are the repeats at one size, where a law's variable is x. Sizes are kept apart also where they share it,
// as they do under Constant: the line is held against each.
type sizeValues struct {
	x      float64
	values []float64
}

// deviations tells how far the means of the sizes lie from a line, and how far the repeats of a size lie apart.
func deviations(bySize map[Size]*sizeValues, intercept, slope float64) (residual, spread float64) {
	var top float64
	for _, size := range bySize {
		mean, least, greatest := summary(size.values)
		top = math.Max(top, math.Abs(mean))
		residual = math.Max(residual, math.Abs(mean-intercept-slope*size.x))
		if mean != 0 {
			spread = math.Max(spread, (greatest-least)/math.Abs(mean))
		}
	}
	if top > 0 {
		residual /= top
	}
	return residual, spread
}

func summary(values []float64) (mean, least, greatest float64) {
	least, greatest = math.Inf(1), math.Inf(-1)
	for _, v := range values {
		mean += v / float64(len(values))
		least, greatest = math.Min(least, v), math.Max(greatest, v)
	}
	return mean, least, greatest
}
