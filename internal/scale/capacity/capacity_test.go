package capacity

import (
	"math"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"beechcart/internal/scale"
	"beechcart/internal/scale/record"
)

const (
	pagePath      = "../../../docs/CAPACITY.md"
	recordingsDir = "../../../bench/scale"
)

// TestPageMatchesRecordings checks that the tables of docs/CAPACITY.md are those rendered from the recordings.
func TestPageMatchesRecordings(t *testing.T) {
	page, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	recordings, err := record.Load(recordingsDir)
	require.NoError(t, err)
	rendered, err := Render(string(page), recordings)
	require.NoError(t, err)
	assert.Equal(t, rendered, string(page), "run: gatewayctl scale page")
}

func TestPageBeginsWithMissedBudgets(t *testing.T) {
	page, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	lines := strings.Split(string(page), "\n")
	require.Greater(t, len(lines), 2)
	assert.True(t, strings.HasPrefix(lines[0], "# "))
	assert.Equal(t, "<!-- table: "+missedTable+" -->", lines[2])
}

func TestRowsAreWellFormed(t *testing.T) {
	name := regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)+$`)
	tables := map[string]bool{}
	for _, table := range Tables(nil) {
		assert.Regexp(t, `^[a-z_]+$`, table.Name)
		assert.False(t, tables[table.Name], "table %s is defined twice", table.Name)
		tables[table.Name] = true
		rows := map[string]bool{}
		for _, r := range table.Rows {
			assert.False(t, rows[r.Label], "%s: row %q is defined twice", table.Name, r.Label)
			rows[r.Label] = true
			assert.NotEmpty(t, r.Mechanism, r.Label)
			assert.NotEmpty(t, r.Unit, r.Label)
			assert.True(t, len(r.Terms) > 0 || r.Blocker != "", "%s: row %q has neither terms nor a blocker", table.Name,
				r.Label)
			for _, quantity := range r.Quantities() {
				assert.Regexp(t, name, quantity)
			}
			for _, term := range r.Terms {
				_, err := record.Fit{Law: term.Law}.At(planningSize)
				assert.True(t, term.Quantity == "" || term.Stat == Worst || term.Stat == Least || err == nil, "%s: law %q",
					r.Label, term.Law)
				assert.True(t, term.Law != record.InRate || term.Rate > 0 || term.Stat == Slope,
					"%s: found law InRate without a rate", r.Label)
			}
		}
	}
}

// TestQuantitiesHaveRoleOfTheirTable guards against a quantity that the page shows under a role other than the recorded
// one.
func TestQuantitiesHaveRoleOfTheirTable(t *testing.T) {
	recordings, err := record.Load(recordingsDir)
	require.NoError(t, err)
	for _, table := range Tables(recordings) {
		if table.Role == "" {
			continue
		}
		for _, r := range table.Rows {
			for _, quantity := range r.Quantities() {
				for _, s := range record.Select(recordings, quantity) {
					assert.Equal(t, table.Role, s.Role, "%s: %s", table.Name, quantity)
				}
			}
		}
	}
}

// TestPageAndRunsUseSameBudgets checks that the page and gatewayctl scale judge by the same budgets.
func TestPageAndRunsUseSameBudgets(t *testing.T) {
	assert.InDelta(t, scale.BudgetBytesPerSecond, memberBytesPerSecond, 0)
	assert.InDelta(t, scale.BudgetCPUShare, memberCores, 0)
	assert.InDelta(t, scale.BudgetHeapBytes, memberBytes, 0)
	assert.InDelta(t, scale.BudgetInForceSeconds, inForceSeconds, 0)
	assert.InDelta(t, scale.BudgetPrimaryChangeSeconds, primarySeconds, 0)
}

func TestLeadsNameExistingRows(t *testing.T) {
	for _, l := range leads() {
		rows := l.rows(Tables(nil))
		assert.NotEmpty(t, rows, l.Suspicion)
		assert.True(t, len(l.Rows) == 0 || len(rows) == len(l.Rows), "%s: names %d rows, found %d", l.Suspicion,
			len(l.Rows), len(rows))
	}
}

func TestLeadIsConfirmedByMissAndRuledOutByKeptBudgets(t *testing.T) {
	recordings := []record.Recording{sweep("a_bytes_per_second", planMembers, func(float64) float64 { return 300 })}
	find := func(budget float64, more ...Row) string {
		table := Table{Name: "one", Rows: append([]Row{lineOf("a_bytes_per_second", budget)}, more...)}
		finding, _ := Lead{Table: "one"}.finding([]Table{table}, recordings)
		return finding
	}
	assert.Equal(t, "confirmed", find(200))
	assert.Equal(t, "ruled out", find(400))
	assert.Equal(t, "not measured", find(400, lineOf("b_bytes", 1)))
	assert.Equal(t, "confirmed", find(200, lineOf("b_bytes", 1)))
}

// sizes lists the numbers of front ends in a sweep.
var sizes = []int{50, 100, 200, 400, planMembers}

func sweep(quantity string, upTo int, value func(members float64) float64) record.Recording {
	r := record.Recording{Name: "test", Command: "gatewayctl scale sweep", Cores: 8}
	for _, members := range sizes {
		for repeat := 1; repeat <= 3 && members <= upTo; repeat++ {
			size := record.Size{Members: members, Engines: (members*planEngines + planMembers/2) / planMembers}
			r.Samples = append(r.Samples, record.Sample{Quantity: quantity, Role: record.FrontEnd, Size: size, Repeat: repeat,
				Value: value(float64(members))})
		}
	}
	return r
}

func lineOf(quantity string, budget float64) Row {
	return Row{Label: quantity, Terms: []Term{perMember(quantity)}, Unit: BytesPerSecond, Mechanism: "test",
		Budget: Budget{Limit: budget}}
}

func TestLineGivesValueSlopeAndVerdict(t *testing.T) {
	recordings := []record.Recording{sweep("a_bytes_per_second", planMembers,
		func(n float64) float64 { return 1000 + 2*n })}
	row := lineOf("a_bytes_per_second", 1210)
	f := row.evaluate(recordings)
	require.True(t, f.Measured)
	assert.InDelta(t, 2420, f.Value, 1e-6)
	assert.Empty(t, f.Notes)
	assert.Equal(t, []string{"test"}, f.Recordings)
	assert.Equal(t, "missed by a factor of 2", row.judge(f).String())
	assert.Equal(t, "2 B/s (2 B/s to 2 B/s) a front end; residual 0.0%; 5 sizes, 15 samples", row.slope(f))
	row.Budget.Limit = 4840
	assert.Equal(t, "within (50% of it)", row.judge(f).String())
}

func TestTermsAreSummedAndMultiplied(t *testing.T) {
	recordings := []record.Recording{
		sweep("a_bytes", planMembers, func(n float64) float64 { return 10 * n }),
		sweep("b_bytes", planMembers, func(float64) float64 { return 300 }),
	}
	row := Row{Unit: BytesPerDay, Terms: []Term{perMember("a_bytes", changesPerDay), level("b_bytes")}}
	f := row.evaluate(recordings)
	require.True(t, f.Measured)
	assert.InDelta(t, 7100*1600+300, f.Value, 1)
	assert.Equal(t, "`a_bytes` x 1,600 changes of configuration a day + `b_bytes`", row.formula())
	assert.Contains(t, row.slope(f), "16 KB a day")

	row.Terms = append(row.Terms, level("c_bytes"))
	f = row.evaluate(recordings)
	assert.False(t, f.Measured, "a sum with a missing term is not measured")
	assert.Equal(t, []string{"c_bytes"}, f.Missing)
}

func TestLineThatDoesNotFitGivesMeanAtPlanningNumbers(t *testing.T) {
	square := func(n float64) float64 { return n * n }
	row := lineOf("a_bytes_per_second", 100)
	f := row.evaluate([]record.Recording{sweep("a_bytes_per_second", planMembers, square)})
	require.True(t, f.Measured)
	assert.InDelta(t, planMembers*planMembers, f.Value, 1e-6)
	assert.Contains(t, row.value(f), "a line does not fit (residual ")
	assert.Empty(t, row.slope(f))

	f = row.evaluate([]record.Recording{sweep("a_bytes_per_second", 400, square)})
	assert.False(t, f.Measured)
	assert.Equal(t, NotMeasured, row.judge(f).Verdict)
	assert.Contains(t, row.value(f), "not measured (a line does not fit")
}

func TestConstantDoesNotFitGrowingValues(t *testing.T) {
	row := Row{Unit: Bytes, Terms: []Term{level("a_bytes")}}
	f := row.evaluate([]record.Recording{sweep("a_bytes", 400, func(n float64) float64 { return n })})
	assert.False(t, f.Measured)
	assert.Contains(t, row.value(f), "a line does not fit")
	f = row.evaluate([]record.Recording{sweep("a_bytes", 400, func(float64) float64 { return 7 })})
	assert.True(t, f.Measured)
	assert.InDelta(t, 7, f.Value, 1e-9)
}

func TestExtrapolatedLineIsMarked(t *testing.T) {
	row := lineOf("a_bytes_per_second", 100)
	f := row.evaluate([]record.Recording{sweep("a_bytes_per_second", 400, func(n float64) float64 { return n })})
	require.True(t, f.Measured)
	assert.Contains(t, row.value(f), "extrapolated: measured up to 400, here 710")
	f = row.evaluate([]record.Recording{sweep("a_bytes_per_second", 100, func(n float64) float64 { return n })})
	assert.False(t, f.Measured, "two sizes are too few for a line")
}

func TestWorstUsesOnlyPlanningNumbers(t *testing.T) {
	row := Row{Unit: Seconds, Terms: worst("a_seconds"), Budget: Budget{Limit: 4}}
	f := row.evaluate([]record.Recording{sweep("a_seconds", planMembers, func(n float64) float64 { return n / 100 })})
	assert.Equal(t, "7.1 s (worst of 3)", row.value(f))
	assert.Equal(t, Missed, row.judge(f).Verdict)
	f = row.evaluate([]record.Recording{sweep("a_seconds", 400, func(n float64) float64 { return n / 100 })})
	assert.Equal(t, "not measured (measured up to 400 x 456: 4 s there)", row.value(f))
}

func TestAtLeastBudgetWithValueZero(t *testing.T) {
	row := Row{Unit: Count, Terms: []Term{{Quantity: "a_members", Stat: Least}}, Budget: Budget{Limit: planMembers,
		AtLeast: true}}
	f := row.evaluate([]record.Recording{sweep("a_members", planMembers, func(n float64) float64 { return n })})
	assert.Equal(t, Within, row.judge(f).Verdict)
	f = row.evaluate([]record.Recording{sweep("a_members", planMembers, func(float64) float64 { return 0 })})
	assert.Equal(t, "missed by more than a factor can say", row.judge(f).String())
}

func TestEventMissingInSomeRunIsAMiss(t *testing.T) {
	row := Row{Unit: Seconds, Terms: []Term{{Quantity: "a_seconds", Stat: Worst, RunMarker: "a_members"}},
		Budget: Budget{Limit: 60}}
	runs := sweep("a_members", planMembers, func(n float64) float64 { return n })
	f := row.evaluate([]record.Recording{runs})
	assert.Equal(t, "never (never in 3 of 3 runs)", row.value(f))
	assert.Equal(t, Missed, row.judge(f).Verdict)
	occurred := sweep("a_seconds", planMembers, func(float64) float64 { return 5 })
	f = row.evaluate([]record.Recording{runs, occurred})
	assert.Equal(t, "5 s (worst of 3)", row.value(f))
	assert.Equal(t, Within, row.judge(f).Verdict)
	occurred.Samples = occurred.Samples[:len(occurred.Samples)-1]
	f = row.evaluate([]record.Recording{runs, occurred})
	assert.Equal(t, "5 s (never in 1 of 3 runs; worst of 2)", row.value(f))
	assert.Equal(t, Missed, row.judge(f).Verdict)
	assert.Equal(t, NotMeasured, row.judge(row.evaluate(nil)).Verdict)

	f = row.evaluate([]record.Recording{sweep("a_members", 400, func(n float64) float64 { return n })})
	assert.Equal(t, "not measured (never in 3 of 3 runs at 400 x 456)", row.value(f),
		"a run of a smaller fleet does not decide the verdict for the planning numbers")
	assert.Equal(t, NotMeasured, row.judge(f).Verdict)
}

func TestRunsWithUnansweredStatementsAreExcluded(t *testing.T) {
	row := lineOf("a_cpu_cores", 1)
	row.Terms[0].Unless = Condition{"a_unanswered_ratio", 0.01, "ended without rows"}
	cost := sweep("a_cpu_cores", planMembers, func(n float64) float64 { return n })
	f := row.evaluate([]record.Recording{cost, sweep("a_unanswered_ratio", planMembers,
		func(float64) float64 { return 0.01 })})
	assert.True(t, f.Measured)
	f = row.evaluate([]record.Recording{cost, sweep("a_unanswered_ratio", planMembers,
		func(float64) float64 { return 0.5 })})
	assert.Equal(t, "not measured (what was recorded says nothing: up to 50% ended without rows)", row.value(f))
	assert.Equal(t, NotMeasured, row.judge(f).Verdict)
}

func TestZeroBudgetWithSourceIsABudget(t *testing.T) {
	row := Row{Unit: Count, Terms: worst("a_count"), Budget: Budget{Source: "operators"}}
	f := row.evaluate([]record.Recording{sweep("a_count", planMembers, func(float64) float64 { return 0 })})
	assert.Equal(t, Within, row.judge(f).Verdict)
	f = row.evaluate([]record.Recording{sweep("a_count", planMembers, func(float64) float64 { return 1 })})
	assert.Equal(t, Missed, row.judge(f).Verdict)
}

func TestSharesOfPausedMembersHaveRows(t *testing.T) {
	recordings := []record.Recording{sweep("storm_share_21_percent_heard_least_members", planMembers,
		func(float64) float64 { return 9 }),
		sweep("storm_share_5_percent_heard_least_members", planMembers, func(float64) float64 { return 710 })}
	rows := stormRows(recordings)
	require.Len(t, rows, 8)
	assert.Contains(t, rows[0].Label, "5% of the front ends stand still")
	assert.Contains(t, rows[4].Label, "21% of the front ends stand still")
	assert.Len(t, stormRows(nil), 4)
}

func TestMissesWithBlockerComeFirst(t *testing.T) {
	recordings := []record.Recording{sweep("a_bytes_per_second", planMembers, func(float64) float64 { return 300 })}
	blocked := Row{Label: "impossible", Blocker: "nothing carries it"}
	tables := []Table{{Name: "one", Rows: []Row{lineOf("a_bytes_per_second", 200), lineOf("a_bytes_per_second", 301),
		lineOf("b_bytes", 1)}},
		{Name: "two", Rows: []Row{lineOf("a_bytes_per_second", 100), blocked}}}
	var factors []float64
	for _, m := range misses(tables, recordings) {
		factors = append(factors, math.Round(m.judgement.Factor*10)/10)
	}
	assert.Equal(t, []float64{math.Inf(1), 3, 1.5}, factors)
	text := renderMissed(tables, recordings)
	assert.Contains(t, text, "| 1 | impossible | nothing carries it |")
	assert.Contains(t, renderNotMeasured(tables, recordings), "no recording has `b_bytes`")
}

func TestRenderReplacesTablesAndKeepsOtherText(t *testing.T) {
	var page strings.Builder
	for name := range renderTables(nil) {
		page.WriteString("Before " + name + ".\n<!-- table: " + name + " -->\nold\n<!-- end table -->\nAfter.\n")
	}
	rendered, err := Render(page.String(), nil)
	require.NoError(t, err)
	assert.NotContains(t, rendered, "old")
	assert.Equal(t, strings.Count(page.String(), "After."), strings.Count(rendered, "After."))
	assert.Contains(t, rendered, "not measured")
	again, err := Render(rendered, nil)
	require.NoError(t, err)
	assert.Equal(t, rendered, again)

	_, err = Render(page.String()+"<!-- table: nothing -->\n<!-- end table -->\n", nil)
	require.ErrorContains(t, err, "table nothing")
	_, err = Render(page.String()+page.String(), nil)
	require.ErrorContains(t, err, "found twice")
	_, err = Render("no table at all", nil)
	assert.ErrorContains(t, err, "not on the page")
}

// TestRecordedQuantityWithoutRowIsShown guards against a row that misspells the name of a recorded quantity.
func TestRecordedQuantityWithoutRowIsShown(t *testing.T) {
	tables := []Table{{Name: "one", Rows: []Row{lineOf("a_bytes_per_second", 1)}}}
	recordings := []record.Recording{sweep("a_bytes_a_second", planMembers, func(n float64) float64 { return n })}
	text := renderOthers(tables, recordings)
	assert.Contains(t, text, "`a_bytes_a_second` | 710 to 710 | 710 x 810 | 3 | test")
}

func TestFormat(t *testing.T) {
	for want, got := range map[string]string{
		"0": number(0), "1,234,567": number(1234567), "-1,234": number(-1234), "12.3": number(12.34), "12": number(12),
		"100":    number(99.96),
		"0.0123": number(0.01234), "1.23": number(1.234), "4,096 B": bytes(4096), "67.1 MB": bytes(64 << 20),
		"16 KB a day":    format(16000, BytesPerDay),
		"1.3% of a core": format(0.013, Cores), "250 ms": format(0.25, Seconds), "12 µs of a core": format(12e-6,
			CPUSeconds), "35/s": format(35, PerSecond),
	} {
		assert.Equal(t, want, got)
	}
}
