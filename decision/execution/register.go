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

// Phase is the progress of a request.
type Phase int

// The phases. Completed and NeverRan are final.
const (
	Registered Phase = iota // no attempt was intended or sent
	Intended                // an attempt may have been sent or may still be sent
	InDoubt                 // an attempt may have run, and no process can prove whether it did
	Completed               // an attempt ran to its end, with Outcome.Result
	NeverRan                // no attempt ran or will run: a retry is harmless
)

// Outcome is the recorded state of one request id.
type Outcome struct {
	Phase         Phase
	Attempt       int    // number of the last attempt that was intended
	Engine        string // to which that attempt was to be sent
	Process       uint64 // process of that engine
	IntendedBy    string // proposer of that attempt, as in Ballot.Proposer
	Result        []byte // if Completed: the answer of the engine, at most Settings.MaxResultBytes
	ResultOmitted bool   // if Completed: the answer was larger than Settings.MaxResultBytes
}

// Final reports whether the outcome can no longer change.
func (o Outcome) Final() bool { return o.Phase == Completed || o.Phase == NeverRan }

// Record is the state of one register at one replica.
type Record struct {
	ID              string
	StatementDigest string
	Promised        Ballot // no lower ballot is accepted
	Accepted        Ballot
	Version         uint64 // of Outcome under Accepted; 0: nothing was accepted
	Outcome         Outcome
	WrittenAt       time.Duration // time of the last accept, or of the first prepare
}

// recordOverhead is the memory of a record besides its id, digest and result, in bytes.
const recordOverhead = 200

// size returns the memory of a record in bytes.
func (r *Record) size() int {
	return recordOverhead + len(r.ID) + len(r.StatementDigest) + len(r.Outcome.Result)
}
