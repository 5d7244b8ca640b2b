// Package copycount counts the bytes of results that are copied from one buffer to another, by place, in builds with the tag
// count. In all other builds its calls are empty and cost nothing.
package copycount

// Place is one line that copies.
type Place int

// The places, on the way from an engine to a client.
const (
	Pages     Place = iota // engine/attempt.go: out of the connection's buffer, into the rows of the answer
	Chunks                 // engine/http.go: chunks of an answer moved together
	Encode                 // mysql/answer.go: rows into packets
	Output                 // mysql/answer.go: packets into the connection's output
	Statement              // mysql/statement.go: out of the session's buffer, into the request
	Call                   // engine/conn.go: the statement into the call
	places                 // how many there are
)
