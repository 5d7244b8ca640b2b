package scale

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"beechcart/internal/scale/record"
)

// The planning size, from which the numbers of databases in a sweep are scaled.
const (
	planningMembers = 710
	planningEngines = 810
)

// EnginesFor returns the number of databases for a number of front ends, in the ratio of the planning size and at
// least 1.
func EnginesFor(members int) int {
	return max(1, int(math.Round(float64(members)*planningEngines/planningMembers)))
}

// Repeats are the first and the last number of a sweep's rounds over all sizes.
type Repeats struct{ First, Last int }

// Sweep runs all sizes in each repeat, and calls done after each run. If a run fails, Sweep returns the error together
// with the samples of the completed runs.
func Sweep(ctx context.Context, base Options, sizes []int, repeats Repeats,
	done func(*Result)) (samples []record.Sample, err error) {
	for repeat := repeats.First; repeat <= repeats.Last; repeat++ {
		for _, members := range sizes {
			o := base
			o.Members, o.Engines, o.Seed = members, EnginesFor(members), base.Seed+uint64(repeat)
			result, err := Run(ctx, o)
			if err != nil {
				return samples, fmt.Errorf("%d members, repeat %d: %w", members, repeat, err)
			}
			samples = append(samples, result.Samples(repeat)...)
			done(result)
		}
	}
	return samples, nil
}

// candidateLaws are the laws that Fits tries for each quantity.
var candidateLaws = []record.Law{record.Constant, record.InMembers, record.InEngines, record.InProduct}

// NamedFit is the fit of a quantity.
type NamedFit struct {
	Quantity string
	record.Fit
}

// Fits fits each quantity of the samples with every candidate law, and returns the fit with the smallest residual. Of
// laws with equal residuals, the first in candidateLaws wins.
func Fits(samples []record.Sample) (fits []NamedFit, err error) {
	var quantities []string
	by := map[string][]record.Sample{}
	for _, s := range samples {
		if by[s.Quantity] == nil {
			quantities = append(quantities, s.Quantity)
		}
		by[s.Quantity] = append(by[s.Quantity], s)
	}
	for _, quantity := range quantities {
		var tried []record.Fit
		for _, law := range candidateLaws {
			fit, err := record.FitLine(by[quantity], law)
			if err != nil {
				return nil, err
			}
			tried = append(tried, fit)
		}
		best := slices.MinFunc(tried, func(a, b record.Fit) int {
			switch {
			case a.Residual < b.Residual-1e-9:
				return -1
			case a.Residual > b.Residual+1e-9:
				return 1
			}
			return 0
		})
		fits = append(fits, NamedFit{quantity, best})
	}
	return fits, nil
}

// WriteFits prints fits as a table.
func WriteFits(w io.Writer, fits []NamedFit) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "QUANTITY\tGROWS WITH\tINTERCEPT\tSLOPE\tSLOPES OF REPEATS\tRESIDUAL\tSPREAD\tFITS")
	for _, f := range fits {
		fmt.Fprintf(table, "%s\t%s\t%.5g\t%.5g\t%.5g to %.5g\t%.1f%%\t%.1f%%\t%v\n", f.Quantity, f.Law, f.Intercept, f.Slope,
			f.SlopeLow, f.SlopeHigh, 100*f.Residual, 100*f.Spread, f.Fits())
	}
	return table.Flush()
}
