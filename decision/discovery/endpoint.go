package discovery

import (
	"time"

	"github.com/zeebo/xxh3"
)

// Endpoint is one engine as a catalogue reports it.
type Endpoint struct {
	Key         string // names the engine, alike at every front end: node and service id
	Addr        string // host:port
	Zone, Kind  string
	Cell        int
	Weight      float64
	CreateIndex uint64        // of the registration: another one is another process, unless Incarnation tells
	ModifyIndex uint64        // of the last change
	Incarnation string        // what the process reports about its start; empty: nothing
	StartedAt   time.Duration // Unix time of the start of the process, where it is reported; else 0
	Drain       bool          // a command holds it back
	Passing     bool          // evidence: none of its checks fails
}

// Observation is one answer of a catalogue.
type Observation struct {
	Index       uint64        // of the answer; 0: none was reported, and the answer is not trusted
	HasLeader   bool          // the catalogue knows its leader
	LastContact time.Duration // since the server that answered last heard from its leader
	Endpoints   []Endpoint
}

// State is what a front end may do with an endpoint.
type State int

// The states.
const (
	Ready    State = iota // new work
	Draining              // nothing new; what runs there goes on
	Removed               // nothing: attempts in flight have lost their engine
)

// String returns the state as operators read it.
func (s State) String() string { return [...]string{"ready", "draining", "gone"}[s] }

// Reason tells why an endpoint is in its state.
type Reason string

// The reasons, as the operators' page (docs/consul.md) has them.
const (
	ReasonPassing          Reason = "passing"
	ReasonCached           Reason = "from the last good list"
	ReasonFailingKept      Reason = "failing, kept: too many are out"
	ReasonFlappingKept     Reason = "flapping, kept: too many are out"
	ReasonMissingSuspect   Reason = "missing, list in doubt"
	ReasonMissingEmptyList Reason = "missing, an empty list is not obeyed"
	ReasonDrainRequested   Reason = "drain commanded"
	ReasonCheckFailing     Reason = "check failing"
	ReasonFlapping         Reason = "flapping"
	ReasonDeregistered     Reason = "deregistered"
	ReasonAddressReused    Reason = "address taken by a later registration"
	ReasonAddressDraining  Reason = "an engine at this address drains"
)

// Change is a new state of one endpoint.
type Change struct {
	ID uint32
	Endpoint
	State     State
	Reason    Reason
	StartedAt time.Duration // Unix time, or 0: long ago; another one than before is another process
}

// sentPart is the part of a change that matters to those who send.
func (c Change) sentPart() Change {
	c.Reason, c.Passing, c.Drain = "", false, false
	c.CreateIndex, c.Incarnation, c.Endpoint.StartedAt = 0, "", 0
	return c
}

// Notice tells operators what happened to the list as a whole.
type Notice struct {
	Kind   NoticeKind
	Count  int // of endpoints concerned
	Detail string
}

// NoticeKind says what a Notice tells.
type NoticeKind string

// The kinds of notice, as the operators' page (docs/consul.md) has them.
const (
	NoticeListSuspect      NoticeKind = "list doubted"
	NoticeSuspicionCleared NoticeKind = "doubt cleared: the engines are back"
	NoticeListConfirmed    NoticeKind = "doubted list confirmed"
	NoticeSuspicionExpired NoticeKind = "doubted list obeyed: its time is up"
	NoticeEmptyList        NoticeKind = "empty list not obeyed"
	NoticeUntrusted        NoticeKind = "older or untrusted answer, only its drains were taken"
	NoticeIndexReset       NoticeKind = "index reset accepted"
	NoticeMalformed        NoticeKind = "entries passed over"
)

// Update is what an event leads to: changes to carry out in order, and notices for operators.
type Update struct {
	Changes []Change
	Notices []Notice
}

// notify adds a notice.
func (u *Update) notify(kind NoticeKind, count int, detail string) {
	u.Notices = append(u.Notices, Notice{Kind: kind, Count: count, Detail: detail})
}

// EndpointID returns the number by which the controller knows the endpoint of a key: the low 32 bits of its XXH3.
func EndpointID(key string) uint32 { return uint32(xxh3.HashString(key)) }
