package mysql

import (
	"fmt"
	"sync"
	"time"

	"beechcart/internal/copycount"
	"beechcart/internal/membudget"
)

// refusalStartBytes is how much of a refused packet is kept until it is answered: enough for the fields of a request.
const refusalStartBytes = 256

// smallPayload is memory for the payload of a small command that need not wait for others. It is reused once the
// command has been served.
type smallPayload [1 << 10]byte

var smallPayloads = sync.Pool{New: func() any { return new(smallPayload) }}

// command is a packet of a client, or a number of packets that were refused in the same way.
type command struct {
	payload  []byte
	small    *smallPayload // the memory of payload; nil: payload has memory of its own
	reserved int           // bytes of the server's input budget, to be released after use
	sequence byte
	arrived  time.Time   // of the last byte, at the earliest
	answerBy time.Time   // when the answers before this command must be written; zero: no matter
	refused  int         // number of refused packets, whose payloads were discarded; 0: the packet is whole
	fatal    *fatalInput // the input ends here; nil: it goes on
}

// fatalInput is why no further input of a session is accepted, and the error that its client gets.
type fatalInput struct {
	code    errorCode
	message string
	reason  string // for the log
}

// size returns how much of the memory limit of the session's queue a command uses.
func (c *command) size() int { return len(c.payload) + commandOverhead }

// input assembles the packets of a session. It holds at most sessionAllowance bytes and what the server's budget
// grants. The payload of a packet for which there is no room is discarded as it arrives, and the packet is refused.
type input struct {
	budget *membudget.Budget
	// makeRoom frees memory of other sessions after a reservation has failed, and reports whether it did.
	makeRoom func() bool
	// deliver queues a command, and returns the size of the commands that wait to be served.
	deliver func(command) (queued int)

	mu        sync.Mutex
	header    [headerSize]byte // guarded by mu
	headerLen int              // guarded by mu; received bytes of the header
	payload   []byte           // guarded by mu; received bytes of the payload; nil while the payload is discarded
	small     *smallPayload    // guarded by mu; the memory of payload; nil: payload has memory of its own
	reserved  int              // guarded by mu; bytes reserved for payload
	missing   int              // guarded by mu; payload bytes that have not arrived; 0: no packet has begun
	queued    int              // guarded by mu; size of the commands that waited after the latest delivery
	refused   refusals         // guarded by mu; since no command waited
	refusing  bool             // guarded by mu; the current packet is refused, and that has not been delivered
	start     []byte           // guarded by mu; the first bytes of a packet while it is refused
	begunAt   time.Time        // guarded by mu; when the first byte of the payload was due
	arrived   time.Time        // guarded by mu; when the latest bytes may have arrived
	closed    bool             // guarded by mu; all input is discarded
}

// refusals counts refused packets and the bytes that were discarded of them.
type refusals struct{ packets, bytes int }

// discarded is what a part of the input was that was not kept.
type discarded struct {
	bytes   int
	flooded bool // so much that the input has ended
}

// receive processes bytes of the client, which may have arrived at the given time already. queued is the size of the
// commands that wait to be served. Commands are delivered once they are complete, or once their payload is discarded.
func (in *input) receive(b []byte, arrived time.Time, queued int) (d discarded) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.arrived = arrived
	if in.queued = queued; queued == 0 {
		in.refused = refusals{}
	}
	for len(b) > 0 && !in.closed {
		if in.headerLen < headerSize {
			n := copy(in.header[in.headerLen:], b)
			in.headerLen += n
			if b = b[n:]; in.headerLen == headerSize {
				in.begin()
			}
			continue
		}
		n := min(len(b), in.missing)
		if in.payload != nil && !in.keep(b[:n]) {
			in.discard()
			in.refuse()
		}
		if in.payload == nil {
			d.bytes += n
			in.refused.bytes += n
			in.start = append(in.start, b[:min(n, refusalStartBytes-len(in.start))]...)
		}
		in.missing -= n
		if in.refusing && (in.missing == 0 || len(in.start) == refusalStartBytes) {
			in.deliverRefusal()
		}
		b = b[n:]
		if in.missing == 0 {
			in.complete()
		}
		if in.refused.packets > maxRefusals || in.refused.bytes > maxRefusedBytes {
			in.end(fatalInput{errTooManyConnections, "too many commands at once", "too many commands at once"})
			d.flooded = true
		}
	}
	d.bytes += len(b)
	return d
}

// end delivers the command that ends the input. All further input is discarded.
func (in *input) end(fatal fatalInput) {
	in.discard()
	in.closed = true
	in.deliver(command{sequence: in.nextSequence(), arrived: in.arrived, fatal: &fatal})
}

// complete delivers the current packet, unless it has been refused.
func (in *input) complete() {
	if in.payload != nil {
		in.queued = in.deliver(command{
			payload: in.payload, small: in.small, reserved: in.reserved, sequence: in.nextSequence(), arrived: in.arrived,
		})
	}
	in.headerLen, in.payload, in.small, in.reserved = 0, nil, nil, 0
}

// begin starts a packet whose header is complete, or refuses it.
func (in *input) begin() {
	in.missing, in.begunAt = packetSize(in.header[:]), in.arrived
	if in.missing == 0 || in.missing > maxPacketBytes {
		reason := fmt.Sprintf("packet of %d bytes", in.missing)
		in.end(fatalInput{errPacketTooLarge, "packet size is out of bounds", reason})
		return
	}
	first := min(in.missing, sessionAllowance)
	needed := 0
	if in.queued > 0 { // the allowance covers one command
		needed = first + commandOverhead
	}
	if needed > 0 && (in.queued+in.missing+commandOverhead > maxPipelinedBytes || !in.reserve(needed)) {
		in.start = in.start[:0]
		in.refuse()
		return
	}
	in.reserved = needed
	if in.queued == 0 && in.missing <= len(smallPayload{}) {
		in.small = smallPayloads.Get().(*smallPayload)
		in.payload = in.small[:0]
	} else {
		in.payload = make([]byte, 0, first)
	}
}

// keep appends bytes to the payload. It returns false if there is no memory for them.
func (in *input) keep(b []byte) bool {
	if need := len(in.payload) + len(b); need > cap(in.payload) {
		size := min(max(need, 2*cap(in.payload)), len(in.payload)+in.missing)
		more := size - cap(in.payload)
		if !in.reserve(more) {
			return false
		}
		in.reserved += more
		grown := make([]byte, len(in.payload), size)
		copy(grown, in.payload)
		in.payload = grown
	}
	in.payload = append(in.payload, b...)
	if in.small == nil {
		copycount.Add(copycount.Statement, len(b))
	}
	return true
}

func (in *input) reserve(n int) bool {
	return in.budget.TryReserve(n) || (in.makeRoom() && in.budget.TryReserve(n))
}

// discard frees the payload of the current packet, except for its start. The rest of the packet is discarded as it
// arrives.
func (in *input) discard() {
	in.start = append(in.start[:0], in.payload[:min(len(in.payload), refusalStartBytes)]...)
	in.budget.Release(in.reserved)
	if in.small != nil {
		smallPayloads.Put(in.small)
	}
	in.payload, in.small, in.reserved = nil, nil, 0
}

// refuse refuses the current packet, whose payload is discarded.
func (in *input) refuse() {
	in.refusing = true
	in.refused.packets++
}

// deliverRefusal delivers the command for a refused packet, once its start shows how much time it has.
func (in *input) deliverRefusal() { in.queued = in.deliver(in.refusal()) }

func (in *input) refusal() command {
	c := command{payload: in.start, sequence: in.nextSequence(), arrived: in.begunAt, refused: 1}
	c.answerBy = answerTime(c)
	c.payload, in.refusing, in.start = nil, false, in.start[:0]
	return c
}

// nextSequence returns the sequence number of the first packet of the answer.
func (in *input) nextSequence() byte { return in.header[headerSize-1] + 1 }

// partial reports whether a packet has been partly received.
func (in *input) partial() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.headerLen > 0 && !in.closed
}

// hasEnded reports whether all input is discarded.
func (in *input) hasEnded() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.closed
}

// shed discards a partly received packet that has begun before the given time and has reserved memory. refusal is the
// command for it. It does not wait for a packet that is being received.
func (in *input) shed(begunBefore time.Time) (refusal command, ok bool) {
	if !in.mu.TryLock() {
		return command{}, false
	}
	defer in.mu.Unlock()
	if in.reserved == 0 || !in.begunAt.Before(begunBefore) {
		return command{}, false
	}
	in.discard()
	return in.refusal(), true
}

// close frees what is held. All further input is discarded.
func (in *input) close() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.discard()
	in.closed = true
}
