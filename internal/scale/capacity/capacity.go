// Package capacity renders the tables of docs/CAPACITY.md from the recordings under bench/scale. Each line of a table
// is a [Row], which names the recorded quantities, the law by which they grow, the mechanism and the budget. All
// figures come from the recordings. A row whose quantities are in no recording is shown as "not measured".
package capacity

import "beechcart/internal/scale/record"

// Unit is the unit of a row's value. Prefixes on the page are decimal: 10 KB is 10,000 bytes.
type Unit string

// The units of rows.
const (
	Bytes          Unit = "bytes"
	BytesPerSecond Unit = "bytes a second"
	BytesPerDay    Unit = "bytes a day"
	Cores          Unit = "cores"
	CPUSeconds     Unit = "seconds of a core"
	Seconds        Unit = "seconds"
	Count          Unit = "count"
	PerSecond      Unit = "a second"
	Share          Unit = "share"
)

// Stat selects the figure of a recorded quantity that a term uses.
type Stat int

// The statistics of a quantity.
const (
	Planned Stat = iota // the fitted line's value at the planning numbers
	Slope               // the fitted line's slope alone
	Worst               // the greatest value measured at the planning numbers
	Least               // the least value measured at the planning numbers
)

// Factor is a planning number that a term is multiplied by.
type Factor struct {
	Name  string
	Value float64
}

// Condition excludes a recorded quantity if the value of another quantity exceeds a limit in any run.
type Condition struct {
	Quantity string
	Over     float64
	Reason   string // the end of the note that the page shows, after the value of Quantity
}

// Term is one recorded quantity, multiplied by planning numbers. A term without a quantity is arithmetic on planning
// numbers and constants of the code, and the page marks it as such.
type Term struct {
	Quantity string
	Law      record.Law // the law by which Quantity grows; not used by Worst and Least
	Stat     Stat
	Rate     int // the planning rate, with the law InRate
	Times    []Factor
	Unless   Condition
	// RunMarker names a quantity that every run records. In a run that records RunMarker without Quantity, the event
	// that Quantity measures never occurred.
	RunMarker string
}

// Budget is the limit of a value. The zero value means that there is no budget.
type Budget struct {
	Limit   float64
	AtLeast bool   // true: the value must be at least Limit; false: at most Limit
	Source  string // who set the budget, or the page that states it
}

// Row is one line of a table: the sum of its terms against its budget.
type Row struct {
	Label     string
	Terms     []Term
	Unit      Unit
	Mechanism string // the mechanism that causes the value, with its package or file
	Budget    Budget
	Blocker   string // why no mechanism can meet the budget, whatever is measured; empty: none
}

// Table is a named table of rows. Its marker on the page has the same name.
type Table struct {
	Name string
	Role record.Role // the role that records the quantities; empty: several roles
	Rows []Row
}

// Quantities returns the names of the recorded quantities that a row uses, including those of conditions.
func (r Row) Quantities() (names []string) {
	for _, t := range r.Terms {
		if t.Quantity != "" {
			names = append(names, t.Quantity)
		}
		if t.Unless.Quantity != "" {
			names = append(names, t.Unless.Quantity)
		}
	}
	return names
}

// Tables returns all tables of rows, in the order of the page. The storm table has rows for each share of paused
// members in the recordings.
func Tables(recordings []record.Recording) []Table {
	var tables []Table
	tables = append(tables, frontEndTables(recordings)...)
	tables = append(tables, controlTables()...)
	tables = append(tables, otherRoleTables()...)
	tables = append(tables, eventTables()...)
	return tables
}
