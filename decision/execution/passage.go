package execution

import (
	"fmt"
	"time"
)

// Way bounds the way of one request through its register. [DefaultWay] gives each bound with its reason.
type Way struct {
	MostWait  time.Duration // before the first byte of an attempt, or before it is told that there is none
	Again     time.Duration // words that were not answered are said again
	MostTries int           // claims of a client that came back, each above the one that it lost to
}

// DefaultWay is in force where nothing else is said.
func DefaultWay() Way {
	return Way{
		MostWait:  300 * time.Millisecond, // a tenth of a load's aim; two round trips between rooms take 3 ms
		Again:     40 * time.Millisecond,  // ten round trips, and seven times within MostWait
		MostTries: 4,                      // one owner after another died in the middle, which is more than once an hour of one id
	}
}

// Check names the first bound that can't be used.
func (w Way) Check() error {
	switch {
	case w.Again <= 0:
		return fmt.Errorf("ledger: again: found %v, allowed is more than 0", w.Again)
	case w.MostWait < w.Again:
		return fmt.Errorf("ledger: most_wait: found %v, allowed is again (%v) or more", w.MostWait, w.Again)
	case w.MostTries < 1:
		return fmt.Errorf("ledger: most_tries: found %d, allowed is 1 or more", w.MostTries)
	}
	return nil
}

// Verdict is what a front end does with a request that goes through the ledger.
type Verdict int

// The verdicts. All but Pending, Go and Ask are final.
const (
	Pending Verdict = iota // nothing yet
	Go                     // the attempt may be sent now; told once, at the last moment
	Ask                    // an attempt of another owner may have run: ask its engine under the id, and tell Learned
	Refused                // this front end has sent nothing, and will not: a repeat is harmless
	Known                  // the fate is over, as Fate tells
	InDoubt                // somebody may have sent it, or may yet: a repeat is not harmless
)

// Passage takes one request that must not run twice from its arrival to its recorded end, for one process. It holds what no owner
// alone can: the one bounded wait, what a late majority may still do, and what the client may be told.
//
//   - Go is told at most once, and only within MostWait of Begin, while the intent is held and no later owner is known of. A process that
//     was stopped in between looks at its clock here, and not only at its lease.
//   - A verdict is told within MostWait of Begin, whoever answers; none is taken back.
//   - Refused is told only to a client that asks for the first time, where no word of another owner was heard. A client that came
//     back is told InDoubt in its place: what it began elsewhere may run.
//   - What was asked for and not sent is withdrawn: an intent that a majority takes late is followed by NeverRan, or a successor
//     would find a doubt where there is none.
//   - Only a client that came back takes a register over from an owner that is ahead of it; two that ask at once do not fight: one is sealed out,
//     and its client told so.
type Passage struct {
	way   Way
	set   Settings
	id    string
	sum   string
	by    string
	room  string
	back  bool // the client came back: it has asked another front end before
	cfg   Config
	owner *Owner
	tries int

	began   time.Duration
	said    time.Duration // words were last said then; negative: not since they changed
	engine  string
	process uint64
	verdict Verdict
	told    bool     // Go was
	asked   bool     // an intent was
	over    bool     // the attempt has ended, as end says
	end     Evidence // to be written
	written bool
}

// Begin starts the way of a request that is to be sent to that engine. back tells a client that has asked another front end under this
// id before. by is "member/process", and round one that this process has not used for the id.
func Begin(now time.Duration, way Way, set Settings, id, digest, by, room string, round uint64, c Config, engine string, process uint64, back bool) (*Passage, error) {
	if err := way.Check(); err != nil {
		return nil, err
	}
	if err := set.Check(); err != nil {
		return nil, err
	}
	p := &Passage{way: way, set: set, id: id, sum: digest, by: by, room: room, back: back, cfg: c, began: now, engine: engine, process: process}
	p.claim(round)
	return p, nil
}

func (p *Passage) claim(round uint64) {
	p.owner = NewOwner(p.set, p.id, p.sum, p.by, p.room, round, p.cfg)
	p.tries++
	p.said = -1
}

// Words is what to say now, and to whom; nil where nothing is due. A claim or a write that is not answered is due again after Again, also
// behind a final verdict, until Done.
func (p *Passage) Words(now time.Duration) (claim *Claim, write *Write, to []string) {
	if (p.said >= 0 && now-p.said < p.way.Again) || p.Done() {
		return nil, nil, nil
	}
	if claim, write, to = p.owner.Words(); len(to) > 0 {
		p.said = now
	}
	return claim, write, to
}

// Heard takes a holder's reply.
func (p *Passage) Heard(from string, r Reply) {
	was := p.owner.stand
	version := p.owner.version
	if p.owner.Heard(from, r); p.owner.stand != was || p.owner.version != version {
		p.said = -1
	}
}

// Reconfigure tells of other holders.
func (p *Passage) Reconfigure(c Config) {
	if c.Number > p.cfg.Number {
		p.cfg = c
		p.owner.Reconfigure(c)
		p.said = -1
	}
}

// Step tells what is to be done now. It is to be called after each reply, and every Again.
func (p *Passage) Step(now time.Duration) Verdict {
	if p.verdict != Pending || p.told {
		p.settle()
		return p.verdict
	}
	late := now-p.began >= p.way.MostWait
	stand, why := p.owner.Stand()
	switch {
	case stand == Lost && why == Sealed && p.back && p.tries < p.way.MostTries && !late:
		p.claim(p.owner.Against().Round + 1)
		return Pending
	case stand == Lost:
		return p.finish(why == Full && !p.back)
	case p.owner.May() == Answer:
		p.verdict = Known
		return Known
	case late:
		return p.finish(!p.back && p.alone())
	case p.owner.Cleared():
		p.told, p.said = true, -1
		return Go
	}
	switch p.owner.May() {
	case Send:
		if p.owner.Intend(p.engine, p.process) {
			p.asked, p.said = true, -1
		}
	case Resolve:
		return Ask
	}
	return Pending
}

// alone tells that nothing of another owner was found, or heard of, so far.
func (p *Passage) alone() bool {
	f := p.owner.found
	return f.Phase == Taken && f.By == "" && p.owner.against == (Ballot{})
}

// finish gives the attempt up before it was sent.
func (p *Passage) finish(harmless bool) Verdict {
	p.verdict = InDoubt
	if harmless {
		p.verdict = Refused
	}
	p.over, p.end = true, Evidence{SameSelf: true}
	p.settle()
	return p.verdict
}

// Learned tells what the engine of another owner's attempt says under the id; after Ask. What can't be closed by it is InDoubt.
func (p *Passage) Learned(e Evidence) {
	if p.verdict != Pending || p.told || p.owner.May() != Resolve {
		return
	}
	if p.owner.Learned(e); p.owner.next.Phase == Doubt {
		p.verdict = InDoubt
	}
	p.said = -1
}

// Ended tells how the attempt that Go let out has ended; the record of it follows.
func (p *Passage) Ended(e Evidence) {
	if p.told && !p.over {
		p.over, p.end = true, e
		p.settle()
	}
}

// settle writes the end once the register can take it.
func (p *Passage) settle() {
	if p.over && !p.written && p.owner.stand == Holding && p.owner.Learned(p.end) {
		p.written, p.said = true, -1
	}
}

// Fate is what is held; Known tells that it is over.
func (p *Passage) Fate() Fate { return p.owner.Fate() }

// Done tells that nothing more is to be said: the end is held, or a later owner has the register, or nothing was asked for.
func (p *Passage) Done() bool {
	stand, _ := p.owner.Stand()
	switch {
	case p.verdict == Pending && !p.over:
		return false
	case stand == Lost, p.verdict == Known, !p.asked:
		return true // a claim that goes on would only seal others out
	}
	return p.written && stand == Holding
}
