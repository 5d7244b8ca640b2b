package execution

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Ballot orders owners of one register.
type Ballot struct {
	Round    uint64
	Proposer string // "member/process": no two owners have the same ballot
}

// Compare orders ballots by round, then by owner.
func (b Ballot) Compare(o Ballot) int {
	if c := cmp.Compare(b.Round, o.Round); c != 0 {
		return c
	}
	return cmp.Compare(b.Proposer, o.Proposer)
}

// Phase is how far a promise has come.
type Phase int

// The phases. From Ended on nothing is sent any more.
const (
	Registered Phase = iota // it was taken, and nothing was sent
	Intended                // an attempt may be sent, or was
	InDoubt                 // an attempt may have run, and nobody can tell
	Completed               // it ran, and ended as Result says
	NeverRan                // it never ran, and a repeat is harmless
)

// Outcome is what is promised of one id.
type Outcome struct {
	Phase         Phase
	Attempt       int    // number of the last one that was intended
	Engine        string // it was intended for, as that process
	Process       uint64
	IntendedBy    string // owner that intended it
	Result        []byte // Ended: the answer, up to Settings.MostResult
	ResultOmitted bool   // Ended: the answer was larger, and is told as "it ran"
}

// Final tells a fate that does not change any more.
func (f Outcome) Final() bool { return f.Phase == Completed || f.Phase == NeverRan }

// Record is one register, as one member holds it.
type Record struct {
	ID, StatementDigest string
	Promised            Ballot
	Accepted            Ballot
	Version             uint64 // of the fate, under Accepted
	Outcome             Outcome
	WrittenAt           time.Duration // of the last write
}

func (r *Record) size() int { return 200 + len(r.ID) + len(r.StatementDigest) + len(r.Outcome.Result) }

// Settings bound what a shelf holds. [Defaults] gives each with its reason.
type Settings struct {
	Replicas          int           // of each promise
	MaxRecords        int           // on one shelf
	MaxBytes          int           // on one shelf
	MaxResultBytes    int           // bytes of an answer that are kept
	Retention         time.Duration // after its end
	EngineAbandonTime time.Duration // after which an engine has given up the queries of a process that is over
}

// Defaults are the settings of an installation that has said nothing else.
func Defaults() Settings {
	return Settings{
		Replicas:          3,        // one may be lost at any time, with its disk
		MaxRecords:        20_000,   // ten times what is open at 200 loads a second for 10 s
		MaxBytes:          64 << 20, // of a front end's memory
		MaxResultBytes:    4 << 10,  // a load's answer is short
		Retention:         5 * time.Minute,
		EngineAbandonTime: 2500 * time.Millisecond,
	}
}

// Check names the first setting that can't be used.
func (s Settings) Check() error {
	switch {
	case s.Replicas < 1 || s.Replicas%2 == 0 || s.Replicas > 7:
		return fmt.Errorf("ledger: copies: found %d, allowed is 1, 3, 5 or 7", s.Replicas)
	case s.MaxRecords < 1 || s.MaxBytes < 1 || s.MaxResultBytes < 0:
		return fmt.Errorf("ledger: most_records and most_bytes must be at least 1, most_result at least 0")
	case s.Retention <= 0 || s.EngineAbandonTime <= 0:
		return fmt.Errorf("ledger: keep_for and protocol must be more than 0")
	}
	return nil
}

// Prepare asks for a register under a ballot.
type Prepare struct {
	ID, StatementDigest string
	Ballot              Ballot
	ConfigNumber        uint64
}

// Accept puts a fate into a register that was claimed.
type Accept struct {
	ID, StatementDigest string
	Ballot              Ballot
	Version             uint64 // grows with each write of a ballot
	Outcome             Outcome
	ConfigNumber        uint64
}

// RejectReason is the reason of a no.
type RejectReason string

// The reasons of a no.
const (
	Fenced          RejectReason = "sealed"     // a greater ballot has claimed it
	OtherStatement  RejectReason = "statement"  // the id belongs to another statement
	NoCapacity      RejectReason = "full"       // there is no room
	StaleConfig     RejectReason = "stale"      // the configuration is an old one
	NotBootstrapped RejectReason = "not-filled" // this shelf came back empty, and is not filled yet
	NotPrepared     RejectReason = "unclaimed"  // a write without a claim: the claim was made to a disk that is gone
)

// Reply answers a Claim or a Write.
type Reply struct {
	ID           string
	Ballot       Ballot // of the word that is answered
	Version      uint64 // of the write that is answered; 0: a claim
	OK           bool
	Reason       RejectReason
	Promised     Ballot // Sealed: by whom
	ConfigNumber uint64 // that the shelf knows
	// A claim's: what is held.
	Accepted        Ballot
	AcceptedVersion uint64
	Outcome         Outcome
}

// Replica is what one member holds for others.
type Replica struct {
	settings     Settings
	configNumber uint64
	bootstrapped bool
	records      map[string]*Record
	bytes        int
}

// NewReplica returns an empty shelf. One that is new in a fleet is filled from the start; one that came back without its disk is
// not, until Filled is told.
func NewReplica(set Settings, config uint64, filled bool) (*Replica, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	return &Replica{settings: set, configNumber: config, bootstrapped: filled, records: map[string]*Record{}}, nil
}

// Configure tells of a configuration; an older one changes nothing.
func (s *Replica) Configure(number uint64) { s.configNumber = max(s.configNumber, number) }

// MarkBootstrapped tells that all that this member should hold has been copied to it.
func (s *Replica) MarkBootstrapped() { s.bootstrapped = true }

func (s *Replica) rejectReason(config uint64) RejectReason {
	switch {
	case config < s.configNumber:
		return StaleConfig
	case !s.bootstrapped:
		return NotBootstrapped
	}
	s.configNumber = max(s.configNumber, config)
	return ""
}

// Prepare answers a claim.
func (s *Replica) Prepare(now time.Duration, c Prepare) Reply {
	a := Reply{ID: c.ID, Ballot: c.Ballot, Reason: s.rejectReason(c.ConfigNumber), ConfigNumber: s.configNumber}
	if a.Reason != "" {
		return a
	}
	r := s.records[c.ID]
	if r == nil {
		r = &Record{ID: c.ID, StatementDigest: c.StatementDigest, WrittenAt: now}
		if len(s.records) >= s.settings.MaxRecords || s.bytes+r.size() > s.settings.MaxBytes {
			a.Reason = NoCapacity
			return a
		}
		s.records[c.ID] = r
		s.bytes += r.size()
	}
	switch {
	case r.StatementDigest != c.StatementDigest:
		a.Reason = OtherStatement
	case c.Ballot.Compare(r.Promised) < 0:
		a.Reason, a.Promised = Fenced, r.Promised
	default:
		a.OK, r.Promised = true, c.Ballot
		a.Accepted, a.AcceptedVersion, a.Outcome = r.Accepted, r.Version, r.Outcome
	}
	return a
}

// Accept answers a write.
func (s *Replica) Accept(now time.Duration, w Accept) Reply {
	a := Reply{ID: w.ID, Ballot: w.Ballot, Version: w.Version, Reason: s.rejectReason(w.ConfigNumber), ConfigNumber: s.configNumber}
	if a.Reason != "" {
		return a
	}
	r := s.records[w.ID]
	switch {
	case r == nil:
		a.Reason = NotPrepared
		return a
	case r.StatementDigest != w.StatementDigest:
		a.Reason = OtherStatement
		return a
	case w.Ballot.Compare(r.Promised) < 0:
		a.Reason, a.Promised = Fenced, r.Promised
		return a
	}
	if r.Accepted == w.Ballot && r.Version >= w.Version {
		a.OK = true // it comes late, or twice: what is held says as much or more
		return a
	}
	grows := len(w.Outcome.Result) - len(r.Outcome.Result)
	if s.bytes+grows > s.settings.MaxBytes {
		a.Reason = NoCapacity
		return a
	}
	s.bytes += grows
	r.Promised, r.Accepted, r.Version, r.Outcome, r.WrittenAt = w.Ballot, w.Ballot, w.Version, w.Outcome, now
	a.OK = true
	return a
}

// Expire drops what has ended long ago, and tells how many.
func (s *Replica) Expire(now time.Duration) (dropped int) {
	for id, r := range s.records {
		// What nobody has written is dropped too: a claim without a write promises nothing. One that was written and has not ended
		// stays, however old: somebody relies on it.
		if (r.Outcome.Final() || r.Version == 0) && now-r.WrittenAt > s.settings.Retention {
			s.bytes -= r.size()
			delete(s.records, id)
			dropped++
		}
	}
	return dropped
}

// Records lists what is held, by id: for repair, and for people.
func (s *Replica) Records() []Record {
	out := make([]Record, 0, len(s.records))
	for _, r := range s.records {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Merge takes a record of another holder in repair: what is later in ballot, or in version of the same, holds. A copy never lowers
// what was promised here.
func (s *Replica) Merge(r Record) {
	own := s.records[r.ID]
	if own == nil {
		c := r
		s.records[r.ID] = &c
		s.bytes += c.size()
		return
	}
	if own.Promised.Compare(r.Promised) < 0 {
		own.Promised = r.Promised
	}
	if c := own.Accepted.Compare(r.Accepted); c < 0 || (c == 0 && own.Version < r.Version) {
		s.bytes += len(r.Outcome.Result) - len(own.Outcome.Result)
		own.Accepted, own.Version, own.Outcome, own.WrittenAt = r.Accepted, r.Version, r.Outcome, r.WrittenAt
	}
}

// Size tells records and bytes held.
func (s *Replica) Size() (records, bytes int) { return len(s.records), s.bytes }
