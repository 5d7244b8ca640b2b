package discovery

import (
	"time"

	"github.com/zeebo/xxh3"
)

// Endpoint is one engine as a catalogue reports it.
type Endpoint struct {
	Key         string // node and service id; identifies the engine at every front end
	Addr        string // host:port
	Zone, Kind  string
	Cell        int
	Weight      float64
	CreateIndex uint64        // of the registration; see replacedBy for what a new value means
	ModifyIndex uint64        // of the last change
	Incarnation string        // identifies the start of the process, as the process reports; empty: not reported
	StartedAt   time.Duration // Unix time at which the process started; 0: not reported
	Drain       bool          // command: the engine must get no new work
	Passing     bool          // evidence: none of the engine's checks fails
}

// Observation is one response of a catalogue.
type Observation struct {
	Index       uint64        // of the response; 0: no index was reported, and the response is not trusted
	HasLeader   bool          // the catalogue knows its leader
	LastContact time.Duration // time since the responding server last heard from its leader
	Endpoints   []Endpoint
}

// State is what a front end may do with an endpoint.
type State int

// The states.
const (
	Ready    State = iota // may get new work
	Draining              // gets no new work; attempts in flight continue
	Removed               // gets no new work; attempts in flight have lost their engine
)

// String returns the state as shown to operators.
func (s State) String() string { return [...]string{"ready", "draining", "gone"}[s] }

// Reason explains the state of an endpoint to operators.
type Reason string

// The reasons, as listed in docs/consul.md.
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
	StartedAt time.Duration // Unix time; 0: long ago. A new value means a new process.
}

// senderFields returns the change reduced to the fields that matter to the sender of a request.
func (c Change) senderFields() Change {
	c.Reason, c.Passing, c.Drain = "", false, false
	c.CreateIndex, c.Incarnation, c.Endpoint.StartedAt = 0, "", 0
	return c
}

// Notice informs operators of an event that concerns the list as a whole.
type Notice struct {
	Kind   NoticeKind
	Count  int // affected endpoints
	Detail string
}

// NoticeKind is the event that a Notice reports.
type NoticeKind string

// The kinds of notice, as listed in docs/consul.md.
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

// Update is the result of an event: changes, which the caller carries out in order, and notices for operators.
type Update struct {
	Changes []Change
	Notices []Notice
}

// notify adds a notice.
func (u *Update) notify(kind NoticeKind, count int, detail string) {
	u.Notices = append(u.Notices, Notice{Kind: kind, Count: count, Detail: detail})
}

// EndpointID returns the id of the endpoint with the given key: the low 32 bits of the key's XXH3 hash. The controller
// identifies endpoints by this id.
func EndpointID(key string) uint32 { return uint32(xxh3.HashString(key)) }
