package capacity

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"beechcart/internal/scale/record"
)

// The names of the page's tables that do not stand for a Table of Rows.
const (
	missedTable      = "missed"
	leadsTable       = "leads"
	planningTable    = "planning"
	notMeasuredTable = "not_measured"
	otherTable       = "other_quantities"
	recordingsTable  = "recordings"
)

// markers matches one table of the page, with its markers.
var markers = regexp.MustCompile(`(?s)<!-- table: ([a-z_]+) -->\n.*?<!-- end table -->`)

// Render returns the page with every table replaced by one rendered from the recordings. Text outside the tables stays
// unchanged. Render returns an error unless the page holds each table exactly once.
func Render(page string, recordings []record.Recording) (string, error) {
	rendered := renderTables(recordings)
	seen := map[string]bool{}
	var problem error
	page = markers.ReplaceAllStringFunc(page, func(found string) string {
		name := markers.FindStringSubmatch(found)[1]
		table, known := rendered[name]
		if !known || seen[name] {
			problem = cmp.Or(problem,
				fmt.Errorf("capacity: table %s: found twice on the page, or not one of the rendered tables", name))
			return found
		}
		seen[name] = true
		return "<!-- table: " + name + " -->\n" + table + "<!-- end table -->"
	})
	if problem != nil {
		return "", problem
	}
	for name := range rendered {
		if !seen[name] {
			problem = cmp.Or(problem, fmt.Errorf("capacity: table %s: not on the page", name))
		}
	}
	return page, problem
}

// renderTables returns every rendered table, by the name of the table.
func renderTables(recordings []record.Recording) map[string]string {
	tables := Tables(recordings)
	rendered := map[string]string{
		missedTable:      renderMissed(tables, recordings),
		leadsTable:       renderLeads(tables, recordings),
		planningTable:    markdown([]string{"planning number", "value"}, planningLines()),
		notMeasuredTable: renderNotMeasured(tables, recordings),
		otherTable:       renderOthers(tables, recordings),
		recordingsTable:  renderRecordings(recordings),
	}
	for _, t := range tables {
		rendered[t.Name] = renderRows(t, recordings)
	}
	return rendered
}

// renderRows renders a table of rows.
func renderRows(t Table, recordings []record.Recording) string {
	header := []string{"quantity", "law", "slope (of the repeats)", "at 710 x 810", "budget", "verdict", "carried by",
		"recorded in"}
	var lines [][]string
	for _, r := range t.Rows {
		f := r.evaluate(recordings)
		lines = append(lines, []string{
			r.Label + ": " + r.formula(), r.law(), r.slope(f), r.value(f), r.budget(), r.judge(f).String(), r.Mechanism,
			strings.Join(f.Recordings, ", "),
		})
	}
	return markdown(header, lines)
}

// formula returns the sum of a row's terms as text.
func (r Row) formula() string {
	var terms []string
	for _, t := range r.Terms {
		var factors []string
		switch {
		case t.Quantity != "" && t.Stat == Slope:
			factors = append(factors, "slope of `"+t.Quantity+"`")
		case t.Quantity != "":
			factors = append(factors, "`"+t.Quantity+"`")
		}
		for _, f := range t.Times {
			factors = append(factors, number(f.Value)+" "+f.Name)
		}
		terms = append(terms, strings.Join(factors, " x "))
	}
	if len(terms) == 0 {
		return "nothing to measure"
	}
	return strings.Join(terms, " + ")
}

// law returns the names of the laws of a row's terms.
func (r Row) law() string {
	var laws []string
	for _, t := range r.Terms {
		laws = appendNew(laws, []string{t.law()})
	}
	return strings.Join(laws, "; ")
}

func (t Term) law() string {
	switch {
	case t.Quantity == "":
		return "arithmetic"
	case t.Stat == Worst:
		return "worst measured"
	case t.Stat == Least:
		return "least measured"
	}
	return string(t.Law)
}

// slope returns the slope of each line of a figure as text, with the least and the greatest slope of the repeats.
func (r Row) slope(f Figure) string {
	var slopes []string
	for _, fit := range f.Fits {
		if fit.Law == record.Constant {
			slopes = append(slopes, fmt.Sprintf("level, repeats apart by %s; %d samples", deviation(fit.Spread), fit.Samples))
			continue
		}
		slopes = append(slopes, fmt.Sprintf("%s (%s to %s) %s; residual %s; %d sizes, %d samples", format(fit.Slope, r.Unit),
			format(fit.SlopeLow, r.Unit), format(fit.SlopeHigh, r.Unit), per(fit.Law), deviation(fit.Residual), fit.Sizes,
			fit.Samples))
	}
	return strings.Join(slopes, "; ")
}

// per returns the unit of a law's variable that a slope refers to, in words.
func per(law record.Law) string {
	switch law {
	case record.InMembers:
		return "a front end"
	case record.InEngines:
		return "a database"
	case record.InProduct:
		return "a pair"
	case record.InSum:
		return "a front end or database"
	case record.InSession:
		return "a session"
	case record.InRate:
		return "for each one a second"
	default: // record.Constant
		return string(law)
	}
}

func (r Row) value(f Figure) string {
	text := "not measured"
	switch {
	case f.Measured:
		text = format(f.Value, r.Unit)
	case f.Unbounded:
		text = "never"
	}
	if len(f.Notes) > 0 {
		text += " (" + strings.Join(f.Notes, "; ") + ")"
	}
	return text
}

func (r Row) budget() string {
	switch {
	case r.Budget == Budget{}:
		return ""
	case r.Budget.AtLeast:
		return "at least " + format(r.Budget.Limit, r.Unit) + " (" + r.Budget.Source + ")"
	}
	return format(r.Budget.Limit, r.Unit) + " (" + r.Budget.Source + ")"
}

// miss is a row that misses its budget.
type miss struct {
	row       Row
	figure    Figure
	judgement Judgement
}

// misses returns the rows that miss their budgets. Rows with a blocker, whose verdict is CannotBeDone, come first. The
// others follow by decreasing factor.
func misses(tables []Table, recordings []record.Recording) (list []miss) {
	for _, t := range tables {
		for _, r := range t.Rows {
			f := r.evaluate(recordings)
			if j := r.judge(f); j.Verdict == Missed || j.Verdict == CannotBeDone {
				list = append(list, miss{r, f, j})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b miss) int { // CannotBeDone is the greater verdict
		return cmp.Or(cmp.Compare(b.judgement.Verdict, a.judgement.Verdict), cmp.Compare(b.judgement.Factor,
			a.judgement.Factor))
	})
	return list
}

func renderMissed(tables []Table, recordings []record.Recording) string {
	var lines [][]string
	for i, m := range misses(tables, recordings) {
		value := m.row.value(m.figure)
		if m.row.Blocker != "" {
			value = m.row.Blocker
		}
		lines = append(lines, []string{number(float64(i + 1)), m.row.Label, value, m.row.budget(), m.judgement.String()})
	}
	return markdown([]string{"", "budget that is missed", "at 710 x 810", "budget", "verdict"}, lines)
}

func renderNotMeasured(tables []Table, recordings []record.Recording) string {
	var lines [][]string
	for _, t := range tables {
		for _, r := range t.Rows {
			f := r.evaluate(recordings)
			if f.Measured || f.Unbounded || len(r.Terms) == 0 {
				continue
			}
			why := strings.Join(f.Notes, "; ")
			if len(f.Missing) > 0 {
				why = "no recording has `" + strings.Join(f.Missing, "`, `") + "`"
			}
			lines = append(lines, []string{r.Label, t.Name, why})
		}
	}
	return markdown([]string{"row", "table", "why"}, lines)
}

// renderOthers renders the recorded quantities that no row uses, so that no recorded quantity is hidden, and a quantity
// that a row misspells shows up.
func renderOthers(tables []Table, recordings []record.Recording) string {
	used := map[string]bool{}
	for _, t := range tables {
		for _, r := range t.Rows {
			for _, name := range r.Quantities() {
				used[name] = true
			}
		}
	}
	samples := map[string][]record.Sample{}
	for _, r := range recordings {
		for _, s := range r.Samples {
			if !used[s.Quantity] {
				samples[s.Quantity] = append(samples[s.Quantity], s)
			}
		}
	}
	var lines [][]string
	for name, all := range samples {
		members, engines := largest(all)
		at := ofSize(all, members, engines)
		span := number(extremeOf(at, Least)) + " to " + number(extremeOf(at, Worst))
		lines = append(lines, []string{"`" + name + "`", span, fmt.Sprintf("%d x %d", members, engines),
			number(float64(len(at))),
			strings.Join(recordedIn(recordings, name), ", ")})
	}
	slices.SortFunc(lines, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	return markdown([]string{"quantity", "least to greatest", "at front ends x databases", "samples there",
		"recorded in"}, lines)
}

func renderRecordings(recordings []record.Recording) string {
	var lines [][]string
	for _, r := range recordings {
		lines = append(lines, []string{r.Name, "`" + r.Command + "`", r.At.UTC().Format("2006-01-02 15:04"), r.Commit,
			number(float64(r.Cores)),
			strings.Join(append(slices.Clone(r.Notes), r.Settings), " ")})
	}
	return markdown([]string{"recording", "command", "at (UTC)", "commit", "cores", "notes"}, lines)
}

// markdown returns a Markdown table, or "None." if there are no lines.
func markdown(header []string, lines [][]string) string {
	var b strings.Builder
	write := func(cells []string) {
		b.WriteString("|")
		for _, c := range cells {
			b.WriteString(" " + strings.NewReplacer("|", "\\|", "\n", " ").Replace(strings.TrimSpace(c)) + " |")
		}
		b.WriteString("\n")
	}
	write(header)
	write(slices.Repeat([]string{"---"}, len(header)))
	for _, line := range lines {
		write(line)
	}
	if len(lines) == 0 {
		return "None.\n"
	}
	return b.String()
}
