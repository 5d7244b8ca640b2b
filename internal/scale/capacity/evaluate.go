package capacity

import (
	"fmt"
	"slices"

	"beechcart/internal/scale/record"
)

// minSizes is the number of sizes at which a quantity must be measured before a fitted line is used.
const minSizes = 3

// Figure is the value of a row or a term at the planning numbers.
type Figure struct {
	Value      float64
	Measured   bool
	Missing    []string // quantities that are in no recording
	Notes      []string // remarks on the value for the reader of the page
	Recordings []string // names of the recordings that the value comes from
	Unbounded  bool     // true if the measured event never occurred in some run, so that the value is no upper bound
	Fits       []record.Fit
}

// evaluate sums the terms of a row.
func (r Row) evaluate(recordings []record.Recording) Figure {
	sum := Figure{Measured: len(r.Terms) > 0}
	for _, t := range r.Terms {
		f := t.evaluate(recordings, r.Unit)
		sum.Value += f.Value
		sum.Measured = sum.Measured && f.Measured
		sum.Unbounded = sum.Unbounded || f.Unbounded
		sum.Missing = append(sum.Missing, f.Missing...)
		sum.Notes = appendNew(sum.Notes, f.Notes)
		sum.Recordings = appendNew(sum.Recordings, f.Recordings)
		sum.Fits = append(sum.Fits, f.Fits...)
	}
	return sum
}

// factor returns the product of the term's planning numbers.
func (t Term) factor() float64 {
	product := 1.0
	for _, f := range t.Times {
		product *= f.Value
	}
	return product
}

// evaluate returns the term's figure from the recordings. A quantity that was not measured is not an error.
func (t Term) evaluate(recordings []record.Recording, unit Unit) Figure {
	if t.Quantity == "" {
		return Figure{Value: t.factor(), Measured: true, Notes: []string{"arithmetic, not a measurement"}}
	}
	samples, runs := record.Select(recordings, t.Quantity), record.Select(recordings, t.RunMarker)
	if len(samples) == 0 && len(runs) == 0 {
		return Figure{Missing: []string{t.Quantity}}
	}
	f := Figure{Recordings: recordedIn(recordings, t.Quantity)}
	if f.noteRunsWithout(samples, runs) {
		f.Recordings = recordedIn(recordings, t.RunMarker)
	}
	if len(samples) == 0 || f.isExcluded(recordings, t.Unless) {
		return f
	}
	switch t.Stat {
	case Worst, Least:
		f.extreme(samples, t.Stat, unit)
	default:
		f.line(samples, t)
	}
	f.Value *= t.factor()
	return f
}

// isExcluded reports whether a sample exceeds the limit of the condition, and then adds a note to the figure.
func (f *Figure) isExcluded(recordings []record.Recording, c Condition) bool {
	others := record.Select(recordings, c.Quantity)
	if len(others) == 0 {
		return false
	}
	most := extremeOf(others, Worst)
	if most <= c.Over {
		return false
	}
	f.Notes = append(f.Notes, "what was recorded says nothing: up to "+percent(most)+" "+c.Reason)
	return true
}

// noteRunsWithout notes the number of runs in which the measured event never occurred, and reports whether there are
// any. It looks at runs at the planning numbers or, if there are none, at the largest size.
func (f *Figure) noteRunsWithout(samples, runs []record.Sample) bool {
	all, present, where := atPlanning(runs), atPlanning(samples), ""
	planning := len(all) > 0
	if !planning {
		members, engines := largest(runs)
		all, present, where = ofSize(runs, members, engines), ofSize(samples, members, engines), fmt.Sprintf(" at %d x %d",
			members, engines)
	}
	if len(present) >= len(all) {
		return false
	}
	f.Unbounded = planning
	f.Notes = append(f.Notes, fmt.Sprintf("never in %d of %d runs%s", len(all)-len(present), len(all), where))
	return true
}

// extreme sets the value to the greatest or the least value measured at the planning numbers.
func (f *Figure) extreme(samples []record.Sample, stat Stat, unit Unit) {
	at := atPlanning(samples)
	if len(at) == 0 {
		members, engines := largest(samples)
		f.Notes = append(f.Notes, fmt.Sprintf("measured up to %d x %d: %s there", members, engines,
			format(extremeOf(ofSize(samples, members, engines), stat), unit)))
		return
	}
	f.Value, f.Measured = extremeOf(at, stat), true
	if stat == Worst {
		f.Notes = append(f.Notes, fmt.Sprintf("worst of %d", len(at)))
	} else {
		f.Notes = append(f.Notes, fmt.Sprintf("least of %d", len(at)))
	}
}

func extremeOf(samples []record.Sample, stat Stat) float64 {
	values := make([]float64, 0, len(samples))
	for _, s := range samples {
		values = append(values, s.Value)
	}
	if stat == Least {
		return slices.Min(values)
	}
	return slices.Max(values)
}

// line sets the value to that of the line fitted to the samples, or to the slope of the line. If a line needs more
// sizes or does not fit, the value is the mean of the samples at the planning numbers; without such samples there is
// none.
func (f *Figure) line(samples []record.Sample, t Term) {
	fit, err := record.FitLine(samples, t.Law)
	if err != nil {
		f.Notes = append(f.Notes, err.Error())
		return
	}
	size := planningSize
	size.Rate = t.Rate
	switch {
	case t.Law != record.Constant && fit.Sizes < minSizes:
		f.Notes = append(f.Notes, fmt.Sprintf("measured at %d of %d sizes that a line needs", fit.Sizes, minSizes))
		f.mean(samples, t)
		return
	case !fit.Fits():
		f.Notes = append(f.Notes, fmt.Sprintf("a line does not fit (residual %s)", deviation(fit.Residual)))
		f.mean(samples, t)
		return
	}
	f.Fits, f.Measured = []record.Fit{scaled(fit, t.factor())}, true
	if t.Stat == Slope {
		f.Value = fit.Slope
		return
	}
	f.Value, err = fit.At(size)
	f.Measured = err == nil
	if largest := variableAt(t.Law, size); t.Law != record.Constant && fit.Largest < largest {
		f.Notes = append(f.Notes, fmt.Sprintf("extrapolated: measured up to %s, here %s", number(fit.Largest),
			number(largest)))
	}
}

// mean sets the value to the mean of the samples at the planning numbers. A slope has no mean.
func (f *Figure) mean(samples []record.Sample, t Term) {
	at := atPlanning(samples)
	if t.Law == record.InRate {
		at = slices.DeleteFunc(at, func(s record.Sample) bool { return s.Size.Rate != t.Rate })
	}
	if t.Stat == Slope || len(at) == 0 {
		return
	}
	for _, s := range at {
		f.Value += s.Value / float64(len(at))
	}
	f.Measured = true
	f.Notes = append(f.Notes, fmt.Sprintf("mean of %d measured at this size", len(at)))
}

// variableAt returns the value of a law's variable at a size; 0 if the law has none. The value is that of a line
// through the origin with slope 1.
func variableAt(law record.Law, size record.Size) float64 {
	x, err := record.Fit{Law: law, Slope: 1}.At(size)
	if err != nil {
		return 0
	}
	return x
}

// scaled returns the fit of the quantity multiplied by factor.
func scaled(f record.Fit, factor float64) record.Fit {
	f.Intercept, f.Slope, f.SlopeLow, f.SlopeHigh = f.Intercept*factor, f.Slope*factor, f.SlopeLow*factor,
		f.SlopeHigh*factor
	return f
}

// atPlanning returns the samples at the planning numbers. A size of 0 in a sample matches every number.
func atPlanning(samples []record.Sample) (at []record.Sample) {
	same := func(found, wanted int) bool { return found == 0 || found == wanted }
	for _, s := range samples {
		if same(s.Size.Members, planMembers) && same(s.Size.Engines, planEngines) && same(s.Size.Sessions,
			sessionsPerMember) {
			at = append(at, s)
		}
	}
	return at
}

// largest returns the largest measured size, compared by front ends and then by databases.
func largest(samples []record.Sample) (members, engines int) {
	for _, s := range samples {
		if s.Size.Members > members || (s.Size.Members == members && s.Size.Engines > engines) {
			members, engines = s.Size.Members, s.Size.Engines
		}
	}
	return members, engines
}

func ofSize(samples []record.Sample, members, engines int) (of []record.Sample) {
	for _, s := range samples {
		if s.Size.Members == members && s.Size.Engines == engines {
			of = append(of, s)
		}
	}
	return of
}

func recordedIn(recordings []record.Recording, quantity string) (names []string) {
	for _, r := range recordings {
		has := func(s record.Sample) bool { return s.Quantity == quantity }
		if slices.ContainsFunc(r.Samples, has) {
			names = append(names, r.Name)
		}
	}
	return names
}

func appendNew(to, more []string) []string {
	for _, s := range more {
		if !slices.Contains(to, s) {
			to = append(to, s)
		}
	}
	return to
}
