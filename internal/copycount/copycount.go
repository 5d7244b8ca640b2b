// Package copycount counts the bytes of statements and results that are copied from one buffer to another, by call
// site, in builds with the tag count. In all other builds its calls are empty and cost nothing.
package copycount

// Site is a call site that copies.
type Site int

// The call sites. Their names in Counts are those that bench/baseline.json reads.
const (
	Pages     Site = iota // engine: out of a connection's buffer, into the rows of an answer
	Chunks                // engine: chunks of an answer moved together
	Encode                // mysql: rows into packets
	Output                // mysql: packets into a connection's output
	Statement             // mysql: out of a session's buffer, into a request
	Call                  // engine: a statement into a call
	siteCount
)
