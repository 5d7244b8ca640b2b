package discovery

import (
	"time"

	"github.com/zeebo/xxh3"
)

// Entry is one engine as a catalogue tells of it.
type Entry struct {
	Key        string // names the engine, alike at every front end: node and service id
	Addr       string // host:port
	Zone, Kind string
	Cell       int
	Weight     float64
	Created    uint64        // the index of the registration: another one is another process, unless Mark tells
	Changed    uint64        // the index of its last change
	Mark       string        // what the process tells of its start; empty: nothing
	Started    time.Duration // Unix time of the start of the process, where it is told; else 0
	Drain      bool          // a command holds it back
	Passing    bool          // evidence: none of its checks fails
}

// Observation is one answer of a catalogue.
type Observation struct {
	Index   uint64        // of the answer; 0: none was told, and the answer is not trusted
	Leader  bool          // the catalogue knows its leader
	Lag     time.Duration // since the server that answered last heard of its leader
	Entries []Entry
}

// State is what a front end may do with an engine.
type State int

// The states.
const (
	Ready    State = iota // new work
	Draining              // nothing new; what runs there goes on
	Gone                  // nothing: attempts that are still out have lost their engine
)

func (s State) String() string { return [...]string{"ready", "draining", "gone"}[s] }

// Reason tells why an engine is in its state.
type Reason string

// The reasons, in the words of the logs and of the operators' page.
const (
	Passing      Reason = "passing"
	Restored     Reason = "from the last good list"
	Kept         Reason = "failing, kept: too many are out"
	KeptFlapping Reason = "flapping, kept: too many are out"
	Doubted      Reason = "missing, list in doubt"
	KeptEmpty    Reason = "missing, an empty list is not obeyed"
	Commanded    Reason = "drain commanded"
	Failing      Reason = "check failing"
	Flapping     Reason = "flapping"
	Deregistered Reason = "deregistered"
	AddrTaken    Reason = "address taken by a later registration"
	AddrDrains   Reason = "an engine at this address drains"
)

// Change is a new belief of one engine.
type Change struct {
	ID uint32
	Entry
	State   State
	Reason  Reason
	Started time.Duration // Unix time, or 0: long ago; another one than before is another process
}

// plain is what of a change matters to those who send.
func (c Change) plain() Change {
	c.Reason, c.Passing, c.Drain, c.Created, c.Mark, c.Entry.Started = "", false, false, 0, "", 0
	return c
}

// Notice is a line for people: what happened to the list as a whole.
type Notice struct {
	Kind   NoticeKind
	Count  int // engines it is about
	Detail string
}

// NoticeKind says what a Notice tells.
type NoticeKind string

// The kinds of notice.
const (
	DoubtBegun   NoticeKind = "list doubted"
	DoubtCleared NoticeKind = "doubt cleared: the engines are back"
	DoubtSettled NoticeKind = "doubted list confirmed"
	DoubtExpired NoticeKind = "doubted list obeyed: its time is up"
	EmptyKept    NoticeKind = "empty list not obeyed"
	OldWord      NoticeKind = "older or untrusted answer, only its drains were taken"
	EpochBegun   NoticeKind = "index reset accepted"
	Malformed    NoticeKind = "entries passed over"
)

// Answer is what an event leads to: changes to carry out in order, and lines for people.
type Answer struct {
	Changes []Change
	Notices []Notice
}

// Number is the number by which the controller knows the engine of a key: the low 32 bits of its XXH3.
func Number(key string) uint32 { return uint32(xxh3.HashString(key)) }
