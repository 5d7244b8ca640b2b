package execution

// Prepare asks a replica to promise a ballot and to tell what it has accepted.
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

// RejectReason tells why a replica rejects a message.
type RejectReason string

// The reasons of a rejection, as members send them to each other.
const (
	Fenced          RejectReason = "sealed"     // a greater ballot is promised
	OtherStatement  RejectReason = "statement"  // the id belongs to another statement
	NoCapacity      RejectReason = "full"       // the replica has no capacity for another record
	StaleConfig     RejectReason = "stale"      // the replica knows a later configuration
	NotBootstrapped RejectReason = "not-filled" // the replica has lost its disk and has not got all copies yet
	NotPrepared     RejectReason = "unclaimed"  // the promise was made by a disk that is lost
)

// Reply answers a Prepare or an Accept.
type Reply struct {
	ID           string
	Ballot       Ballot // of the message that is answered
	Version      uint64 // of the Accept that is answered; 0: a Prepare
	OK           bool
	Reason       RejectReason // unless OK
	Promised     Ballot       // if Fenced: the ballot that fences
	ConfigNumber uint64       // the latest that the replica knows

	// What the replica has accepted; in the reply to a Prepare only.
	Accepted        Ballot
	AcceptedVersion uint64
	Outcome         Outcome
}
