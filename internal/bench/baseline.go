package bench

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/google/renameio/v2"
)

// BaselineSchema is the version of a baseline file.
const BaselineSchema = 1

// MaxRelativeRise is the largest allowed rise of a count, as a share of its baseline. MaxAbsoluteRise is the largest
// allowed rise in units of the count; it applies to counts of single events, where the relative limit alone would let
// one allocation more pass at a baseline of 20.
const (
	MaxRelativeRise = 0.10
	MaxAbsoluteRise = 0.5
)

// allowed returns the largest allowed value of a count. The number of reads that deliver a large result, and with it
// the number of allocations, varies between runs, so only the relative limit applies to the allocations of the large
// scenario, as it does to bytes.
func allowed(scenario, name string, baseline float64) float64 {
	if name == "alloc_bytes" || (scenario == "large" && name == "allocs") {
		return baseline * (1 + MaxRelativeRise)
	}
	return baseline + min(baseline*MaxRelativeRise, MaxAbsoluteRise)
}

// gatedCounts are the names of the counts that a baseline contains. Times are left out.
var gatedCounts = []string{"allocs", "alloc_bytes", "copied"}

// Baseline is a recording of the cost of one request, by scenario.
type Baseline struct {
	Schema  int               `json:"schema"`
	Lookups int               `json:"lookups"` // number of lookups in each count
	Counts  map[string]Counts `json:"counts"`  // by scenario
}

// ReadBaseline reads a baseline file. A file that is missing, empty or of another schema is an error.
func ReadBaseline(path string) (*Baseline, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("baseline: %w", err)
	}
	var b Baseline
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, fmt.Errorf("baseline %s: %w", path, err)
	}
	if b.Schema != BaselineSchema {
		return nil, fmt.Errorf("baseline %s: schema: found %d, allowed is %d", path, b.Schema, BaselineSchema)
	}
	if len(b.Counts) == 0 {
		return nil, fmt.Errorf("baseline %s: counts: found none, at least one is required", path)
	}
	return &b, nil
}

// WriteBaseline writes a baseline file with the counts in gatedCounts, rounded to two decimals.
func WriteBaseline(path string, counts map[string]Counts, o PathOptions) error {
	b := Baseline{Schema: BaselineSchema, Lookups: o.Lookups, Counts: map[string]Counts{}}
	for scenario, c := range counts {
		b.Counts[scenario] = Counts{}
		for _, name := range gatedCounts {
			if v, ok := c[name]; ok {
				b.Counts[scenario][name] = float64(int(v*100+0.5)) / 100
			}
		}
	}
	text, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return fmt.Errorf("baseline: %w", err)
	}
	return renameio.WriteFile(path, append(text, '\n'), 0o644)
}

// Compare returns a line for each count that has risen by more than is allowed, and for each count of the baseline that
// was not counted.
func (b *Baseline) Compare(counts map[string]Counts) (risen []string) {
	for _, scenario := range slices.Sorted(maps.Keys(b.Counts)) {
		for _, name := range slices.Sorted(maps.Keys(b.Counts[scenario])) {
			baseline := b.Counts[scenario][name]
			count, ok := counts[scenario][name]
			switch {
			case !ok:
				risen = append(risen, fmt.Sprintf("%s %s: not counted; the baseline is %.2f", scenario, name, baseline))
			case count > allowed(scenario, name, baseline):
				risen = append(risen, fmt.Sprintf(
					"%s %s: found %.2f, the baseline is %.2f, allowed is at most %.2f; 'make cheap' counts it "+
						"again",
					scenario, name, count, baseline, allowed(scenario, name, baseline)))
			}
		}
	}
	return risen
}

// KeepMinimum lowers each count to the value of a second measurement of the same program, if that value is smaller.
// Counts that only one of the two measurements contains stay as they are.
func KeepMinimum(counts, second map[string]Counts) {
	for scenario, c := range counts {
		for name, value := range c {
			if other, ok := second[scenario][name]; ok {
				c[name] = min(value, other)
			}
		}
	}
}
