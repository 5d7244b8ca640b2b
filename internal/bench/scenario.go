package bench

import (
	"fmt"
	"strconv"
	"time"

	"beechcart/internal/fake/engine"
	"beechcart/internal/faulttest"
)

// Scenario is one kind of request whose cost is counted.
type Scenario struct {
	Name        string
	class       string
	deadline    time.Duration // the client's time limit
	sessionEach bool          // each request on its own session: connect, login with query, quit
}

const rejectionScenario = "refusal"

// Scenarios are the kinds of request that Path counts.
var Scenarios = []Scenario{
	lookupScenario,
	{"report", "report", 8 * time.Second, false},
	{"large", "load", 8 * time.Second, false},
	{rejectionScenario, "lookup", 10 * time.Millisecond, false},
	{"session", "lookup", 2500 * time.Millisecond, true},
}

var lookupScenario = Scenario{"lookup", "lookup", 2500 * time.Millisecond, false}

// engineClasses are the classes of the fake engines: results of 1 KB, 48 KB in 8 pages, and 0.95 MB in 140 pages.
var engineClasses = map[string]engine.Class{
	"lookup": {Threads: 1, Rows: 42},
	"report": {Threads: 1, Rows: 240, Pages: 8},
	"load":   {Threads: 1, Rows: 200, Pages: 140},
}

// statement returns the query of a request with an id.
func (s Scenario) statement(id uint64) string {
	return faulttest.Statement(s.class, fmt.Sprintf("%016x", id), s.deadline, int(id%faulttest.Schemas))
}

// rows returns the number of rows of one result.
func (s Scenario) rows() int {
	class := engineClasses[s.class]
	return max(1, class.Pages) * max(1, class.Rows)
}

// resultBytes returns the size of one result as sent by the engine.
func (s Scenario) resultBytes() float64 {
	const idBytes, lengthBytes = 16, 1 // each of the three cells begins with its length
	n := 0
	for row := range s.rows() {
		n += lengthBytes + idBytes
		n += lengthBytes + len(engineName(0))
		n += lengthBytes + len(strconv.Itoa(row))
	}
	return float64(n)
}

// repeats returns the number of requests in one count. Scenarios with larger results make fewer requests.
func (s Scenario) repeats(lookups int) int {
	switch s.Name {
	case "report":
		return max(20, lookups/5)
	case "large":
		return max(10, lookups/50)
	}
	return lookups
}
