package execution

import (
	"cmp"
	"time"
)

// Ballot orders the proposers of one register.
type Ballot struct {
	Round    uint64
	Proposer string // "member/process": no two proposers have the same ballot
}

// Compare orders ballots by round, then by proposer.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), cmp.Compare(b.Proposer, other.Proposer))
}

// Phase is how far a request has come.
type Phase int

// The phases. Completed and NeverRan are final.
const (
	Registered Phase = iota // nothing was sent
	Intended                // an attempt may be sent, or was
	InDoubt                 // an attempt may have run, and no process can tell
	Completed               // it ran and ended with Outcome.Result
	NeverRan                // it never ran and never will: a retry is harmless
)

// Outcome is what is promised about one request id.
type Outcome struct {
	Phase         Phase
	Attempt       int    // number of the last attempt that was intended
	Engine        string // of that attempt
	Process       uint64 // of that engine
	IntendedBy    string // proposer of that attempt, as in Ballot.Proposer
	Result        []byte // Completed: the answer, at most Settings.MaxResultBytes
	ResultOmitted bool   // Completed: the answer was larger than that
}

// Final reports whether the outcome does not change any more.
func (o Outcome) Final() bool { return o.Phase == Completed || o.Phase == NeverRan }

// Record is one register, as one replica holds it.
type Record struct {
	ID              string
	StatementDigest string
	Promised        Ballot // no lower ballot is accepted
	Accepted        Ballot
	Version         uint64 // of Outcome under Accepted; 0: nothing was accepted
	Outcome         Outcome
	WrittenAt       time.Duration // time of the last accept, or of the first prepare
}

// recordOverhead is the memory of a record beside its id, digest and result, in bytes.
const recordOverhead = 200

// size is the memory of a record in bytes.
func (r *Record) size() int {
	return recordOverhead + len(r.ID) + len(r.StatementDigest) + len(r.Outcome.Result)
}
