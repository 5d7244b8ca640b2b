package bench

import (
	"context"
	"strings"
)

// maxMeasurements is the number of measurements of which the minimum of each count is taken. On a busy machine an
// answer arrives in more reads, each with its own allocations, so one measurement may exceed the true cost but is never
// below it. The minimum of several measurements is therefore as strict, and depends less on the load of the machine.
const maxMeasurements = 3

// PathMinimum measures with Path maxMeasurements times and returns the minimum of each count, for a baseline. It calls
// report with a line of progress.
func PathMinimum(ctx context.Context, o PathOptions, report func(line string)) (map[string]Counts, error) {
	return pathMinimum(ctx, o, report, func(map[string]Counts) (done bool) { return false })
}

// PathWithin measures with Path until no count exceeds the baseline by more than is allowed, at most maxMeasurements
// times, and returns the minimum of each count. It calls report with a line of progress.
func PathWithin(ctx context.Context, o PathOptions, b *Baseline, report func(line string)) (map[string]Counts, error) {
	return pathMinimum(ctx, o, report, func(counts map[string]Counts) (done bool) {
		risen := b.Compare(counts)
		if len(risen) > 0 {
			report(strings.Join(risen, "\n"))
		}
		return len(risen) == 0
	})
}

// pathMinimum measures until done returns true, at most maxMeasurements times, and returns the minimum of each count.
func pathMinimum(ctx context.Context, o PathOptions, report func(line string),
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
