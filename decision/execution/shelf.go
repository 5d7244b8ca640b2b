package execution

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Ballot orders owners of one register.
type Ballot struct {
	Round uint64
	Owner string // "member/process": no two owners have the same ballot
}

// Compare orders ballots by round, then by owner.
func (b Ballot) Compare(o Ballot) int {
	if c := cmp.Compare(b.Round, o.Round); c != 0 {
		return c
	}
	return cmp.Compare(b.Owner, o.Owner)
}

// Phase is how far a promise has come.
type Phase int

// The phases. From Ended on nothing is sent any more.
const (
	Taken    Phase = iota // it was taken, and nothing was sent
	Intended              // an attempt may be sent, or was
	Doubt                 // an attempt may have run, and nobody can tell
	Ended                 // it ran, and ended as Result says
	NeverRan              // it never ran, and a repeat is harmless
)

// Fate is what is promised of one id.
type Fate struct {
	Phase   Phase
	Attempt int    // number of the last one that was intended
	Engine  string // it was intended for, as that process
	Process uint64
	By      string // owner that intended it
	Result  []byte // Ended: the answer, up to Settings.MostResult
	Cut     bool   // Ended: the answer was larger, and is told as "it ran"
}

// Over tells a fate that does not change any more.
func (f Fate) Over() bool { return f.Phase == Ended || f.Phase == NeverRan }

// Record is one register, as one member holds it.
type Record struct {
	ID, Digest string
	Promised   Ballot
	Accepted   Ballot
	Version    uint64 // of the fate, under Accepted
	Fate       Fate
	Since      time.Duration // of the last write
}

func (r *Record) bytes() int { return 200 + len(r.ID) + len(r.Digest) + len(r.Fate.Result) }

// Settings bound what a shelf holds. [Defaults] gives each with its reason.
type Settings struct {
	Copies      int           // of each promise
	MostRecords int           // on one shelf
	MostBytes   int           // on one shelf
	MostResult  int           // bytes of an answer that are kept
	KeepFor     time.Duration // after its end
	Protocol    time.Duration // after which an engine has given up the queries of a process that is over
}

// Defaults are the settings of an installation that has said nothing else.
func Defaults() Settings {
	return Settings{
		Copies:      3,        // one may be lost at any time, with its disk
		MostRecords: 20_000,   // ten times what is open at 200 loads a second for 10 s
		MostBytes:   64 << 20, // of a front end's memory
		MostResult:  4 << 10,  // a load's answer is short
		KeepFor:     5 * time.Minute,
		Protocol:    2500 * time.Millisecond,
	}
}

// Check names the first setting that can't be used.
func (s Settings) Check() error {
	switch {
	case s.Copies < 1 || s.Copies%2 == 0 || s.Copies > 7:
		return fmt.Errorf("ledger: copies: found %d, allowed is 1, 3, 5 or 7", s.Copies)
	case s.MostRecords < 1 || s.MostBytes < 1 || s.MostResult < 0:
		return fmt.Errorf("ledger: most_records and most_bytes must be at least 1, most_result at least 0")
	case s.KeepFor <= 0 || s.Protocol <= 0:
		return fmt.Errorf("ledger: keep_for and protocol must be more than 0")
	}
	return nil
}

// Claim asks for a register under a ballot.
type Claim struct {
	ID, Digest string
	Ballot     Ballot
	Config     uint64
}

// Write puts a fate into a register that was claimed.
type Write struct {
	ID, Digest string
	Ballot     Ballot
	Version    uint64 // grows with each write of a ballot
	Fate       Fate
	Config     uint64
}

// Why is the reason of a no.
type Why string

// The reasons of a no.
const (
	Sealed    Why = "sealed"     // a greater ballot has claimed it
	Otherwise Why = "statement"  // the id belongs to another statement
	Full      Why = "full"       // there is no room
	Stale     Why = "stale"      // the configuration is an old one
	Unfilled  Why = "not-filled" // this shelf came back empty, and is not filled yet
	Unclaimed Why = "unclaimed"  // a write without a claim: the claim was made to a disk that is gone
)

// Reply answers a Claim or a Write.
type Reply struct {
	ID       string
	Ballot   Ballot // of the word that is answered
	Version  uint64 // of the write that is answered; 0: a claim
	OK       bool
	Why      Why
	Promised Ballot // Sealed: by whom
	Config   uint64 // that the shelf knows
	// A claim's: what is held.
	Accepted Ballot
	Held     uint64
	Fate     Fate
}

// Shelf is what one member holds for others.
type Shelf struct {
	set     Settings
	config  uint64
	filled  bool
	records map[string]*Record
	bytes   int
	skipped check // tests only
}

// NewShelf returns an empty shelf. One that is new in a fleet is filled from the start; one that came back without its disk is
// not, until Filled is told.
func NewShelf(set Settings, config uint64, filled bool) (*Shelf, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	return &Shelf{set: set, config: config, filled: filled, records: map[string]*Record{}}, nil
}

// Configure tells of a configuration; an older one changes nothing.
func (s *Shelf) Configure(number uint64) { s.config = max(s.config, number) }

// Filled tells that all that this member should hold has been copied to it.
func (s *Shelf) Filled() { s.filled = true }

func (s *Shelf) refuses(config uint64) Why {
	switch {
	case config < s.config && !s.skip(checkConfig):
		return Stale
	case !s.filled && !s.skip(checkFilled):
		return Unfilled
	}
	s.config = max(s.config, config)
	return ""
}

// Claim answers a claim.
func (s *Shelf) Claim(now time.Duration, c Claim) Reply {
	a := Reply{ID: c.ID, Ballot: c.Ballot, Why: s.refuses(c.Config), Config: s.config}
	if a.Why != "" {
		return a
	}
	r := s.records[c.ID]
	if r == nil {
		r = &Record{ID: c.ID, Digest: c.Digest, Since: now}
		if len(s.records) >= s.set.MostRecords || s.bytes+r.bytes() > s.set.MostBytes {
			a.Why = Full
			return a
		}
		s.records[c.ID] = r
		s.bytes += r.bytes()
	}
	switch {
	case r.Digest != c.Digest && !s.skip(checkDigest):
		a.Why = Otherwise
	case c.Ballot.Compare(r.Promised) < 0 && !s.skip(checkClaim):
		a.Why, a.Promised = Sealed, r.Promised
	default:
		a.OK, r.Promised = true, c.Ballot
		a.Accepted, a.Held, a.Fate = r.Accepted, r.Version, r.Fate
	}
	return a
}

// Write answers a write.
func (s *Shelf) Write(now time.Duration, w Write) Reply {
	a := Reply{ID: w.ID, Ballot: w.Ballot, Version: w.Version, Why: s.refuses(w.Config), Config: s.config}
	if a.Why != "" {
		return a
	}
	r := s.records[w.ID]
	switch {
	case r == nil:
		a.Why = Unclaimed
		return a
	case r.Digest != w.Digest:
		a.Why = Otherwise
		return a
	case w.Ballot.Compare(r.Promised) < 0 && !s.skip(checkSeal):
		a.Why, a.Promised = Sealed, r.Promised
		return a
	}
	if r.Accepted == w.Ballot && r.Version >= w.Version {
		a.OK = true // it comes late, or twice: what is held says as much or more
		return a
	}
	grows := len(w.Fate.Result) - len(r.Fate.Result)
	if s.bytes+grows > s.set.MostBytes {
		a.Why = Full
		return a
	}
	s.bytes += grows
	r.Promised, r.Accepted, r.Version, r.Fate, r.Since = w.Ballot, w.Ballot, w.Version, w.Fate, now
	a.OK = true
	return a
}

// Sweep drops what has ended long ago, and tells how many.
func (s *Shelf) Sweep(now time.Duration) (dropped int) {
	for id, r := range s.records {
		keep := s.set.KeepFor
		if s.skip(checkKeep) {
			keep = 0
		}
		// What nobody has written is dropped too: a claim without a write promises nothing. One that was written and has not ended
		// stays, however old: somebody relies on it.
		if (r.Fate.Over() || r.Version == 0) && now-r.Since > keep {
			s.bytes -= r.bytes()
			delete(s.records, id)
			dropped++
		}
	}
	return dropped
}

// Records lists what is held, by id: for repair, and for people.
func (s *Shelf) Records() []Record {
	out := make([]Record, 0, len(s.records))
	for _, r := range s.records {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Copy takes a record of another holder in repair: what is later in ballot, or in version of the same, holds. A copy never lowers
// what was promised here.
func (s *Shelf) Copy(r Record) {
	own := s.records[r.ID]
	if own == nil {
		c := r
		s.records[r.ID] = &c
		s.bytes += c.bytes()
		return
	}
	if own.Promised.Compare(r.Promised) < 0 {
		own.Promised = r.Promised
	}
	if c := own.Accepted.Compare(r.Accepted); c < 0 || (c == 0 && own.Version < r.Version) {
		s.bytes += len(r.Fate.Result) - len(own.Fate.Result)
		own.Accepted, own.Version, own.Fate, own.Since = r.Accepted, r.Version, r.Fate, r.Since
	}
}

// Size tells records and bytes held.
func (s *Shelf) Size() (records, bytes int) { return len(s.records), s.bytes }

// check names a check, so that tests can show what breaks without it.
type check int

// The checks that tests leave out, one at a time.
const (
	checkNone check = iota
	checkSeal
	checkClaim
	checkDigest
	checkConfig
	checkFilled
	checkKeep
	checkMajority
	checkBefore
	checkWriteBack
	checkDoubt
	checkProtocol
	checkFind
)

func (s *Shelf) skip(c check) bool { return s.skipped == c }
