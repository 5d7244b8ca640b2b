package execution

import (
	"slices"
	"time"
)

// Stand is where an owner stands.
type Stand int

// The stands of an owner.
const (
	Claiming  Stand = iota // it asks for the register
	Restoring              // it writes back what it found
	Holding                // the register is its own, and what it wrote last is held
	Writing                // it has asked to write more
	Lost                   // a later owner has it, or it was refused: it may do nothing more
)

// Owner is one attempt of one process to act for a promise.
type Owner struct {
	set     Settings
	id      string
	digest  string
	ballot  Ballot
	room    string
	config  Config
	stand   Stand
	why     Why
	against Ballot // Lost to it
	said    map[string]bool
	found   Fate
	foundAt Ballot
	foundV  uint64
	version uint64
	fate    Fate // that is held
	next    Fate // that is being written
	skipped check
}

// NewOwner begins a claim. by is "member/process" and must be this process's alone; round must be greater than any that
// this process has used for the id.
func NewOwner(set Settings, id, digest, by, room string, round uint64, c Config) *Owner {
	return &Owner{set: set, id: id, digest: digest, ballot: Ballot{round, by}, room: room, config: c, said: map[string]bool{}}
}

// Stand tells where it stands, and for Lost why.
func (o *Owner) Stand() (Stand, Why) { return o.stand, o.why }

// Against is the ballot that it lost to, or would have to pass.
func (o *Owner) Against() Ballot { return o.against }

// Fate is what is held, once it holds the register.
func (o *Owner) Fate() Fate { return o.fate }

// Holders are those whose word counts now.
func (o *Owner) Holders() []string {
	var out []string
	for _, group := range o.groups() {
		for _, m := range group {
			if !slices.Contains(out, m.Name) {
				out = append(out, m.Name)
			}
		}
	}
	return out
}

// groups are the sets of holders each of which must agree.
func (o *Owner) groups() [][]Member {
	g := [][]Member{Holders(o.id, o.config.Members, o.set.Copies)}
	if len(o.config.Before) > 0 && o.skipped != checkBefore {
		g = append(g, Holders(o.id, o.config.Before, o.set.Copies))
	}
	return g
}

// quorum tells whether those that have said yes are enough: a majority of each group, and one of another room than the
// owner's where the group has one.
func (o *Owner) quorum() bool {
	for _, group := range o.groups() {
		yes, away, rooms := 0, false, false
		for _, m := range group {
			rooms = rooms || m.Room != o.room
			if o.said[m.Name] {
				yes++
				away = away || m.Room != o.room
			}
		}
		need := len(group)/2 + 1
		if o.skipped == checkMajority {
			need = 1
		}
		if len(group) == 0 || yes < need || (rooms && !away && o.skipped != checkMajority) {
			return false
		}
	}
	return true
}

// Words is what to say to each holder that has not answered yet; nil where nothing is asked. It may be said any number of times.
func (o *Owner) Words() (claim *Claim, write *Write, to []string) {
	switch o.stand {
	case Claiming:
		claim = &Claim{o.id, o.digest, o.ballot, o.config.Number}
	case Restoring, Writing:
		write = &Write{o.id, o.digest, o.ballot, o.version, o.next, o.config.Number}
	default:
		return nil, nil, nil
	}
	for _, h := range o.Holders() {
		if !o.said[h] {
			to = append(to, h)
		}
	}
	return claim, write, to
}

// Heard takes a holder's reply.
func (o *Owner) Heard(from string, r Reply) {
	if r.ID != o.id || r.Ballot != o.ballot || !slices.Contains(o.Holders(), from) {
		return
	}
	switch {
	case o.stand == Claiming && r.Version == 0:
	case (o.stand == Restoring || o.stand == Writing) && r.Version == o.version:
	default:
		return // of an earlier word
	}
	if !r.OK {
		switch r.Why {
		case Sealed:
			o.lose(r.Why)
			o.against = r.Promised
		case Otherwise, Full:
			o.lose(r.Why)
		}
		return // one that is stale or not filled yet is asked again
	}
	o.said[from] = true
	if o.stand == Claiming {
		if c := o.foundAt.Compare(r.Accepted); c < 0 || (c == 0 && o.foundV < r.Held) {
			if o.skipped != checkFind {
				o.found, o.foundAt, o.foundV = r.Fate, r.Accepted, r.Held
			}
		}
	}
	if !o.quorum() {
		return
	}
	switch o.stand {
	case Claiming:
		o.write(o.found, Restoring) // what was promised is made this ballot's own before anything rests on it
		if o.skipped == checkWriteBack {
			o.stand, o.fate = Holding, o.found
		}
	default:
		o.stand, o.fate = Holding, o.next
	}
}

func (o *Owner) lose(why Why) { o.stand, o.why = Lost, why }

func (o *Owner) write(f Fate, s Stand) {
	o.version++
	o.next, o.stand = f, s
	clear(o.said)
}

// Reconfigure tells of a later configuration: what is asked is asked anew of those that hold now.
func (o *Owner) Reconfigure(c Config) {
	if c.Number <= o.config.Number || o.stand == Lost {
		return
	}
	o.config = c
	switch o.stand {
	case Claiming:
		clear(o.said)
	case Holding:
		// What is held under the old holders is held under the new ones before more is done: as a claim first, since those
		// have not promised this ballot anything.
		o.found, o.foundAt, o.foundV, o.stand = o.fate, o.ballot, o.version, Claiming
		clear(o.said)
	default:
		o.found, o.foundAt, o.foundV, o.stand = o.next, o.ballot, o.version, Claiming
		clear(o.said)
	}
}

// May is what an owner may do next with its promise.
type May int

// What an owner may do.
const (
	Wait    May = iota // nothing yet
	Answer             // the fate is over: tell it
	Send               // nothing of it has run, nor will: an attempt may be intended
	Resolve            // an attempt of another owner may have run: ask its engine, and tell Learned
)

// May tells what may be done now.
func (o *Owner) May() May {
	switch {
	case o.stand != Holding:
		return Wait
	case o.fate.Over():
		return Answer
	case o.fate.Phase == Taken:
		return Send
	case o.fate.By == o.ballot.Owner:
		return Wait // its own attempt is out
	}
	return Resolve
}

// Intend asks for an attempt; it may be sent once Cleared tells so. False where it must not be asked for.
func (o *Owner) Intend(engine string, process uint64) bool {
	if o.May() != Send {
		return false
	}
	f := o.fate
	f.Phase, f.Engine, f.Process, f.By = Intended, engine, process, o.ballot.Owner
	f.Attempt++
	o.write(f, Writing)
	return true
}

// Cleared tells, at the last moment, that the attempt that was intended may be sent.
func (o *Owner) Cleared() bool {
	return o.stand == Holding && o.fate.Phase == Intended && o.fate.By == o.ballot.Owner
}

// Evidence is what is known of an attempt that another owner intended.
type Evidence struct {
	Ran      bool // its engine has run it, or runs it
	Ended    bool // ... to its end, with this result
	Result   []byte
	Unknown  bool          // its engine does not know the id
	OverFor  time.Duration // since when its owner's process is proved to be over; 0: it may live
	SameSelf bool          // it was this owner's own attempt, and is proved not to have been sent or to have ended
}

// Learned closes a doubt as far as the evidence goes: Ended, NeverRan (then nothing of it will ever run), or Doubt.
func (o *Owner) Learned(e Evidence) bool {
	if o.stand != Holding || o.fate.Over() || o.fate.Phase == Taken {
		return false
	}
	f := o.fate
	proved := e.OverFor > o.set.Protocol || (e.OverFor > 0 && o.skipped == checkProtocol) || o.skipped == checkDoubt
	switch {
	case e.Ended:
		f.Phase, f.Result = Ended, e.Result
		if len(f.Result) > o.set.MostResult {
			f.Result, f.Cut = nil, true
		}
	case e.SameSelf && f.By == o.ballot.Owner && !e.Ran:
		f.Phase = NeverRan
	case e.Unknown && !e.Ran && proved:
		f.Phase = NeverRan
	default:
		if f.Phase == Doubt {
			return false
		}
		f.Phase = Doubt
	}
	o.write(f, Writing)
	return true
}
