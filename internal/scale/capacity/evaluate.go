package capacity

import (
	"fmt"
	"slices"

	"beechcart/internal/scale/record"
)

// leastSizes is at how many sizes a quantity has to be measured for a line to say anything.
const leastSizes = 3

// Figure is the value of a row or a term at the planning numbers.
type Figure struct {
	Value      float64
	Measured   bool
	Missing    []string // quantities that no recording has
	Notes      []string // what a reader has to know of the value
	Recordings []string // that it comes from
	Never      bool     // in some run it never came, so the value is no bound
	Fits       []record.Fit
}

// evaluate sums the terms of a row.
func (r Row) evaluate(recordings []record.Recording) Figure {
	sum := Figure{Measured: len(r.Terms) > 0}
	for _, t := range r.Terms {
		f := t.evaluate(recordings, r.Unit)
		sum.Value += f.Value
		sum.Measured = sum.Measured && f.Measured
		sum.Never = sum.Never || f.Never
		sum.Missing = append(sum.Missing, f.Missing...)
		sum.Notes = appendNew(sum.Notes, f.Notes)
		sum.Recordings = appendNew(sum.Recordings, f.Recordings)
		sum.Fits = append(sum.Fits, f.Fits...)
	}
	return sum
}

// factor is the product of what the term is multiplied by.
func (t Term) factor() float64 {
	product := 1.0
	for _, f := range t.Times {
		product *= f.Value
	}
	return product
}

// evaluate takes the term's figure from the recordings. A quantity that was not measured is no error.
func (t Term) evaluate(recordings []record.Recording, unit Unit) Figure {
	if t.Quantity == "" {
		return Figure{Value: t.factor(), Measured: true, Notes: []string{"arithmetic, not a measurement"}}
	}
	samples, runs := record.Select(recordings, t.Quantity), record.Select(recordings, t.OutOf)
	if len(samples) == 0 && len(runs) == 0 {
		return Figure{Missing: []string{t.Quantity}}
	}
	f := Figure{Recordings: recordedIn(recordings, t.Quantity)}
	if f.noteAbsent(samples, runs) {
		f.Recordings = recordedIn(recordings, t.OutOf)
	}
	if len(samples) == 0 || f.isVoid(recordings, t.Unless) {
		return f
	}
	switch t.Take {
	case Worst, Least:
		f.extreme(samples, t.Take, unit)
	default:
		f.line(samples, t)
	}
	f.Value *= t.factor()
	return f
}

// isVoid notes that the quantity says nothing, where the condition holds for any sample.
func (f *Figure) isVoid(recordings []record.Recording, c Condition) bool {
	others := record.Select(recordings, c.Quantity)
	if len(others) == 0 {
		return false
	}
	most := extremeOf(others, Worst)
	if most <= c.Over {
		return false
	}
	f.Notes = append(f.Notes, "what was recorded says nothing: up to "+percent(most)+" "+c.Because)
	return true
}

// noteAbsent notes runs in which what was recorded by samples never came: those at the planning numbers, or at the
// largest size where there is none. It tells whether there were any.
func (f *Figure) noteAbsent(samples, runs []record.Sample) bool {
	all, came, where := atPlanning(runs), atPlanning(samples), ""
	planning := len(all) > 0
	if !planning {
		members, engines := largest(runs)
		all, came, where = ofSize(runs, members, engines), ofSize(samples, members, engines), fmt.Sprintf(" at %d x %d",
			members, engines)
	}
	if len(came) >= len(all) {
		return false
	}
	f.Never = planning
	f.Notes = append(f.Notes, fmt.Sprintf("never in %d of %d runs%s", len(all)-len(came), len(all), where))
	return true
}

// extreme takes the greatest or the least value that was measured at the planning numbers.
func (f *Figure) extreme(samples []record.Sample, take Take, unit Unit) {
	at := atPlanning(samples)
	if len(at) == 0 {
		members, engines := largest(samples)
		f.Notes = append(f.Notes, fmt.Sprintf("measured up to %d x %d: %s there", members, engines,
			format(extremeOf(ofSize(samples, members, engines), take), unit)))
		return
	}
	f.Value, f.Measured = extremeOf(at, take), true
	if take == Worst {
		f.Notes = append(f.Notes, fmt.Sprintf("worst of %d", len(at)))
	} else {
		f.Notes = append(f.Notes, fmt.Sprintf("least of %d", len(at)))
	}
}

func extremeOf(samples []record.Sample, take Take) float64 {
	values := make([]float64, 0, len(samples))
	for _, s := range samples {
		values = append(values, s.Value)
	}
	if take == Least {
		return slices.Min(values)
	}
	return slices.Max(values)
}

// line takes the value, or the slope, of the line over the samples. Where a line says nothing, the value is the mean
// of what was measured at the planning numbers, and there is none without such a measurement.
func (f *Figure) line(samples []record.Sample, t Term) {
	fit, err := record.FitLine(samples, t.Law)
	if err != nil {
		f.Notes = append(f.Notes, err.Error())
		return
	}
	size := planningSize
	size.Rate = t.Rate
	switch {
	case t.Law != record.Constant && fit.Sizes < leastSizes:
		f.Notes = append(f.Notes, fmt.Sprintf("measured at %d of %d sizes that a line needs", fit.Sizes, leastSizes))
		f.mean(samples, t)
		return
	case !fit.Fits():
		f.Notes = append(f.Notes, fmt.Sprintf("a line does not fit (residual %s)", deviation(fit.Residual)))
		f.mean(samples, t)
		return
	}
	f.Fits, f.Measured = []record.Fit{scaled(fit, t.factor())}, true
	if t.Take == Slope {
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

// mean takes the mean of what was measured at the planning numbers. A slope has none.
func (f *Figure) mean(samples []record.Sample, t Term) {
	at := atPlanning(samples)
	if t.Law == record.InRate {
		at = slices.DeleteFunc(at, func(s record.Sample) bool { return s.Size.Rate != t.Rate })
	}
	if t.Take == Slope || len(at) == 0 {
		return
	}
	for _, s := range at {
		f.Value += s.Value / float64(len(at))
	}
	f.Measured = true
	f.Notes = append(f.Notes, fmt.Sprintf("mean of %d measured at this size", len(at)))
}

// variableAt is the value of a law's variable at a size: that of a line through the origin with slope 1.
func variableAt(law record.Law, size record.Size) float64 {
	x, err := record.Fit{Law: law, Slope: 1}.At(size)
	if err != nil {
		return 0
	}
	return x
}

// scaled is a fit of the quantity times a factor.
func scaled(f record.Fit, factor float64) record.Fit {
	f.Intercept, f.Slope, f.SlopeLow, f.SlopeHigh = f.Intercept*factor, f.Slope*factor, f.SlopeLow*factor,
		f.SlopeHigh*factor
	return f
}

// atPlanning are the samples at the planning numbers; a number that a sample doesn't name is not asked for.
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

// largest is the largest size that was measured: by front ends, then by databases.
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
