package execution

import (
	"cmp"
	"slices"
	"time"
)

// Replica holds one member's records of registers, and accepts or rejects ballots for those registers: the acceptor of
// Paxos.
type Replica struct {
	settings     Settings
	configNumber uint64
	bootstrapped bool
	records      map[string]*Record // by id
	bytes        int                // of records
}

// NewReplica returns an empty replica that takes part at once, for a member that is new in the fleet.
func NewReplica(settings Settings, configNumber uint64) (*Replica, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &Replica{
		settings:     settings,
		configNumber: configNumber,
		bootstrapped: true,
		records:      map[string]*Record{},
	}, nil
}

// NewReplacementReplica returns an empty replica that rejects all messages until MarkBootstrapped is called, for a
// member that has lost its disk.
func NewReplacementReplica(settings Settings, configNumber uint64) (*Replica, error) {
	r, err := NewReplica(settings, configNumber)
	if err != nil {
		return nil, err
	}
	r.bootstrapped = false
	return r, nil
}

// Configure sets the number of the configuration in force. A number lower than the latest changes nothing.
func (r *Replica) Configure(number uint64) { r.configNumber = max(r.configNumber, number) }

// MarkBootstrapped lets the replica take part. Call it once every record that this member should hold has been merged.
func (r *Replica) MarkBootstrapped() { r.bootstrapped = true }

// Prepare handles a Prepare message and returns the reply.
func (r *Replica) Prepare(now time.Duration, message Prepare) Reply {
	reply := Reply{ID: message.ID, Ballot: message.Ballot}
	reply.Reason = r.checkConfig(message.ConfigNumber)
	reply.ConfigNumber = r.configNumber
	if reply.Reason != "" {
		return reply
	}
	record := r.records[message.ID]
	if record == nil {
		record = &Record{ID: message.ID, StatementDigest: message.StatementDigest, WrittenAt: now}
		if len(r.records) >= r.settings.MaxRecords || r.bytes+record.size() > r.settings.MaxBytes {
			reply.Reason = NoCapacity
			return reply
		}
		r.records[message.ID] = record
		r.bytes += record.size()
	}
	switch {
	case record.StatementDigest != message.StatementDigest:
		reply.Reason = OtherStatement
	case message.Ballot.Compare(record.Promised) < 0:
		reply.Reason, reply.Promised = Fenced, record.Promised
	default:
		record.Promised = message.Ballot
		reply.OK = true
		reply.Accepted, reply.AcceptedVersion, reply.Outcome = record.Accepted, record.Version, record.Outcome
	}
	return reply
}

// Accept handles an Accept message and returns the reply.
func (r *Replica) Accept(now time.Duration, message Accept) Reply {
	reply := Reply{ID: message.ID, Ballot: message.Ballot, Version: message.Version}
	reply.Reason = r.checkConfig(message.ConfigNumber)
	reply.ConfigNumber = r.configNumber
	if reply.Reason != "" {
		return reply
	}
	record := r.records[message.ID]
	switch {
	case record == nil:
		reply.Reason = NotPrepared
		return reply
	case record.StatementDigest != message.StatementDigest:
		reply.Reason = OtherStatement
		return reply
	case message.Ballot.Compare(record.Promised) < 0:
		reply.Reason, reply.Promised = Fenced, record.Promised
		return reply
	}
	if record.Accepted == message.Ballot && record.Version >= message.Version {
		reply.OK = true // the message is late or duplicated: this version, or a later one, is already accepted
		return reply
	}
	growth := len(message.Outcome.Result) - len(record.Outcome.Result)
	if r.bytes+growth > r.settings.MaxBytes {
		reply.Reason = NoCapacity
		return reply
	}
	r.bytes += growth
	record.Promised, record.Accepted = message.Ballot, message.Ballot
	record.Version, record.Outcome = message.Version, message.Outcome
	record.WrittenAt = now
	reply.OK = true
	return reply
}

// checkConfig returns the reason to reject a message under the configuration of that number, or "" if there is none. If
// there is none, checkConfig adopts a number that is higher than the known one.
func (r *Replica) checkConfig(number uint64) RejectReason {
	switch {
	case number < r.configNumber:
		return StaleConfig
	case !r.bootstrapped:
		return NotBootstrapped
	}
	r.configNumber = max(r.configNumber, number)
	return ""
}

// Expire drops the disposable records whose retention is over and returns the number of dropped records.
func (r *Replica) Expire(now time.Duration) (dropped int) {
	for id, record := range r.records {
		if record.disposable() && now-record.WrittenAt > r.settings.Retention {
			r.bytes -= record.size()
			delete(r.records, id)
			dropped++
		}
	}
	return dropped
}

// disposable reports whether a record may be dropped once its retention is over. No client relies on a record without
// an accepted outcome. An accepted outcome that is not final is kept, however old, because a client relies on it.
func (r *Record) disposable() bool { return r.Outcome.Final() || r.Version == 0 }

// Records returns a copy of all records, sorted by id.
func (r *Replica) Records() []Record {
	records := make([]Record, 0, len(r.records))
	for _, record := range r.records {
		records = append(records, *record)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return records
}

// Merge adopts a record of another replica if this replica has none for the id. Otherwise, Merge adopts the accepted
// outcome if its accepted ballot is later, or its version is later under the same ballot, and keeps the higher of the
// two promised ballots.
func (r *Replica) Merge(other Record) {
	own := r.records[other.ID]
	if own == nil {
		r.records[other.ID] = &other
		r.bytes += other.size()
		return
	}
	if own.Promised.Compare(other.Promised) < 0 {
		own.Promised = other.Promised
	}
	if order := own.Accepted.Compare(other.Accepted); order < 0 || (order == 0 && own.Version < other.Version) {
		r.bytes += len(other.Outcome.Result) - len(own.Outcome.Result)
		own.Accepted, own.Version, own.Outcome = other.Accepted, other.Version, other.Outcome
		own.WrittenAt = other.WrittenAt
	}
}

// Size returns the number of records and the memory of all records in bytes.
func (r *Replica) Size() (records, bytes int) { return len(r.records), r.bytes }
