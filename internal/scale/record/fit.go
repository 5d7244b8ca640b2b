package record

import (
	"errors"
	"fmt"
	"math"
)

// Law names the independent variable that a quantity grows with.
type Law string

// The laws that FitLine fits, each a straight line over one independent variable of a Size.
const (
	Constant  Law = "constant"
	InMembers Law = "front ends"
	InEngines Law = "databases"
	InProduct Law = "front ends x databases"
	InSum     Law = "front ends + databases"
	InSession Law = "sessions"
	InRate    Law = "rate"
)

// variable returns the value of the law's independent variable at a size.
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
	return 0, fmt.Errorf("record: law: found %q, allowed is one of the laws of this package", string(l))
}

// MaxResidual is the largest Fit.Residual with which a line counts as fitting.
const MaxResidual = 0.10

// Fit is a least-squares line over the samples of one quantity.
type Fit struct {
	Law       Law
	Intercept float64
	Slope     float64 // per unit of the law's variable
	SlopeLow  float64 // the smallest slope among the fits of the single repeats
	SlopeHigh float64 // the largest slope among the fits of the single repeats
	Residual  float64 // the largest distance of a size's mean from the line, divided by the largest mean
	Spread    float64 // the largest relative spread of the repeats at one size: (maximum - minimum) / mean
	Sizes     int     // number of sizes with samples
	Samples   int
	Largest   float64 // the largest measured value of the law's variable
}

// Fits reports whether the line describes the samples: its Residual is at most MaxResidual.
func (f Fit) Fits() bool { return f.Residual <= MaxResidual }

// At returns the line's value at a size, or an error if the law is unknown.
func (f Fit) At(s Size) (float64, error) {
	x, err := f.Law.variable(s)
	return f.Intercept + f.Slope*x, err
}

// point is one sample: the value y of a quantity where the law's variable is x.
type point struct{ x, y float64 }

// leastSquares returns the least-squares line through points. If all points share one x, the slope is 0 and the
// intercept is the mean of the values.
func leastSquares(points []point) (intercept, slope float64) {
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

// FitLine fits a law to samples of one quantity. It returns an error if there are no samples or the law is unknown.
func FitLine(samples []Sample, law Law) (Fit, error) {
	if len(samples) == 0 {
		return Fit{}, errors.New("record: fit: found no samples, at least one is needed")
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
	f.Intercept, f.Slope = leastSquares(all)
	f.Sizes = len(bySize)
	for _, points := range byRepeat {
		_, slope := leastSquares(points)
		f.SlopeLow, f.SlopeHigh = math.Min(f.SlopeLow, slope), math.Max(f.SlopeHigh, slope)
	}
	f.Residual, f.Spread = deviations(bySize, f.Intercept, f.Slope)
	return f, nil
}

// sizeValues holds the values of the repeats at one size, where the law's variable is x. Sizes with equal x, as all
// have under Constant, stay separate: the residual is taken for the mean of each size.
type sizeValues struct {
	x      float64
	values []float64
}

// deviations returns Fit.Residual and Fit.Spread of a line for samples grouped by size.
func deviations(bySize map[Size]*sizeValues, intercept, slope float64) (residual, spread float64) {
	var largestMean float64
	for _, size := range bySize {
		mean, least, greatest := summarize(size.values)
		largestMean = math.Max(largestMean, math.Abs(mean))
		residual = math.Max(residual, math.Abs(mean-intercept-slope*size.x))
		if mean != 0 {
			spread = math.Max(spread, (greatest-least)/math.Abs(mean))
		}
	}
	if largestMean > 0 {
		residual /= largestMean
	}
	return residual, spread
}

func summarize(values []float64) (mean, least, greatest float64) {
	least, greatest = math.Inf(1), math.Inf(-1)
	for _, v := range values {
		mean += v / float64(len(values))
		least, greatest = math.Min(least, v), math.Max(greatest, v)
	}
	return mean, least, greatest
}
