// Package capacity renders the tables of docs/CAPACITY.md from the recordings under bench/scale. What the page says
// of a quantity is defined here as a [Row]: which recorded quantities it is made of, what it grows with, what carries
// it and what it may be. The figures come from the recordings alone, and a row whose quantities no recording has says
// "not measured".
package capacity

import "beechcart/internal/scale/record"

// Unit is what a row's value is counted in. Prefixes on the page are decimal: 10 KB is 10,000 bytes.
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

// Take tells which figure of a recorded quantity a term uses.
type Take int

// The figures of a quantity.
const (
	Planned Take = iota // the fitted line's value at the planning numbers
	Slope               // the fitted line's slope alone
	Worst               // the greatest value that was measured at the planning numbers
	Least               // the least value that was measured at the planning numbers
)

// Factor is a planning number that a term is multiplied by.
type Factor struct {
	Name  string
	Value float64
}

// Condition tells when a recorded quantity says nothing: where another one, of the same runs, is over a bound.
type Condition struct {
	Quantity string
	Over     float64
	Because  string // what the other quantity is then
}

// Term is one recorded quantity, multiplied by planning numbers. One without a quantity is arithmetic on planning
// numbers and on constants of the code, and the page says so.
type Term struct {
	Quantity string
	Law      record.Law // what it grows with; not used by Worst and Least
	Take     Take
	Rate     int // the planning rate, with the law InRate
	Times    []Factor
	Unless   Condition
	OutOf    string // a quantity that each run records: a run of it without Quantity is one in which that never came
}

// Budget is what a value may be. The zero budget is none.
type Budget struct {
	Limit   float64
	AtLeast bool   // the value must not be under the limit; else it must not be over it
	Source  string // who set it
}

// Row is one line of a table: the sum of its terms against its budget.
type Row struct {
	What      string
	Terms     []Term
	Unit      Unit
	Mechanism string // that carries it, with its file
	Budget    Budget
	Absent    string // why it cannot be done at all, whatever is measured; empty: it can
}

// Table is a named table of rows. The name is the one of its marker on the page.
type Table struct {
	Name string
	Role record.Role // whose quantities these are; empty: of several
	Rows []Row
}

// Quantities names the recorded quantities that a row is made of.
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

// Tables returns all tables of rows, in the order of the page. Which shares of paused members have rows depends on
// the recordings.
func Tables(recordings []record.Recording) []Table {
	var tables []Table
	tables = append(tables, frontEndTables(recordings)...)
	tables = append(tables, controlTables()...)
	tables = append(tables, otherRoleTables()...)
	tables = append(tables, eventTables()...)
	return tables
}
