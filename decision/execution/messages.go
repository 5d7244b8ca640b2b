package execution

// Prepare asks a replica to promise a ballot and to return the outcome that it has accepted.
type Prepare struct {
	ID              string
	StatementDigest string
	Ballot          Ballot
	ConfigNumber    uint64
}

// Accept asks a replica to accept an outcome under a ballot that was prepared.
type Accept struct {
	ID              string
	StatementDigest string
	Ballot          Ballot
	Version         uint64 // grows with each accept under a ballot
	Outcome         Outcome
	ConfigNumber    uint64
}

// RejectReason is the reason why a replica rejects a message.
type RejectReason string

// The reject reasons, as members send them to each other.
const (
	Fenced          RejectReason = "sealed"     // the replica has promised a greater ballot
	OtherStatement  RejectReason = "statement"  // the id belongs to another statement
	NoCapacity      RejectReason = "full"       // the replica has no capacity for another record
	StaleConfig     RejectReason = "stale"      // the replica knows a later configuration than the proposer
	NotBootstrapped RejectReason = "not-filled" // the replica has lost its disk and has not received all records yet
	NotPrepared     RejectReason = "unclaimed"  // the replica has no record of the id, perhaps after the loss of its disk
)

// Reply answers a Prepare or an Accept.
type Reply struct {
	ID           string
	Ballot       Ballot // of the message that the reply answers
	Version      uint64 // of the Accept that the reply answers; 0: the reply answers a Prepare
	OK           bool
	Reason       RejectReason // unless OK
	Promised     Ballot       // if Fenced: the ballot that fences the proposer
	ConfigNumber uint64       // the latest configuration that the replica knows

	// The outcome that the replica has accepted, only in the reply to a Prepare.
	Accepted        Ballot
	AcceptedVersion uint64
	Outcome         Outcome
}
