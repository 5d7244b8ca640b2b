package bench

import (
	"context"
	"strings"
)

// On a busy machine an answer arrives in more reads, each with its own allocations, so one measurement may exceed the
// true cost but is never below it. The minimum of several measurements is therefore as strict as one, and depends less
// on the load of the machine.

// PathMinimum measures with Path the given number of times and returns the minimum of each count, for a baseline. It
// calls report with lines of progress.
func PathMinimum(ctx context.Context, o PathOptions, measurements int,
	report func(line string)) (map[string]Counts, error) {
	never := func(map[string]Counts) bool { return false }
	return pathMinimum(ctx, o, measurements, report, never)
}

// PathWithin measures with Path until no count exceeds the baseline by more than is allowed, at most maxMeasurements
// times, and returns the minimum of each count. It calls report with lines of progress.
func PathWithin(ctx context.Context, o PathOptions, b *Baseline, maxMeasurements int,
	report func(line string)) (map[string]Counts, error) {
	withinBaseline := func(counts map[string]Counts) bool {
		risen := b.Compare(counts)
		if len(risen) > 0 {
			report(strings.Join(risen, "\n"))
		}
		return len(risen) == 0
	}
	return pathMinimum(ctx, o, maxMeasurements, report, withinBaseline)
}

// pathMinimum measures until done returns true, at most maxMeasurements times, and returns the minimum of each count.
func pathMinimum(ctx context.Context, o PathOptions, maxMeasurements int, report func(line string),
	done func(map[string]Counts) bool) (map[string]Counts, error) {
	step := func(scenario string) { report("counting " + scenario) }
	counts, err := Path(ctx, o, step)
	if err != nil {
		return nil, err
	}
	for measured := 1; measured < maxMeasurements && !done(counts); measured++ {
		again, err := Path(ctx, o, step)
		if err != nil {
			return nil, err
		}
		KeepMinimum(counts, again)
	}
	return counts, nil
}
