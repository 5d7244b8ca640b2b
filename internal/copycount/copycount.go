// Package copycount counts, by call site, the bytes of statements and results that are copied in memory. It counts only
// in builds with the tag count; in all other builds its functions do nothing and cost nothing.
package copycount

// Site identifies a call site that copies bytes.
type Site int

// The call sites. bench/baseline.json refers to them by their names in Counts.
const (
	Pages     Site = iota // engine: from a connection's buffer into the rows of an answer
	Chunks                // engine: chunks of an answer, joined within their buffer
	Encode                // mysql: from rows into packets
	Output                // mysql: from packets into a connection's output buffer
	Statement             // mysql: from a session's buffer into a request
	Call                  // engine: from a request's statement into a call
	siteCount
)
